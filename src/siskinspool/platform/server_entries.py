"""Decodes servers' descriptions of themselves: registry entries and reports.

An entry may come from a foreign writer. An entry with a missing field, a field of a
wrong type or out of range, or an unknown state is `UnreadableValue` and is not used.
"""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal

import msgspec

from ..core.malformed import MALFORMED_ERRORS, Count
from ..gateway.servers import HeldModel, Holdings, ServerRecord, ServerState
from .desired_state import MS_PER_S, UnreadableValue

SERVERS_PREFIX: Final = "servers/"
# Larger values are rejected as errors: a server with so many slots would always look
# free, and one that is cold for so long would never be used.
MAX_SLOTS: Final = 100_000
MAX_COLD_MS: Final = 3_600_000
MAX_PORT: Final = 65_535

_ADDRESS: Final = re.compile(
    r"([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})", re.ASCII
)


class _HeldModel(msgspec.Struct):
    name: str
    version: Count = 0
    adapters: list[str] = []


class _Available(msgspec.Struct):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _SelfDescription(msgspec.Struct, kw_only=True):
    """The fields that entries and reports share."""

    # Start of the server in Unix milliseconds.
    born: Count | None = None
    models: list[_HeldModel] = []
    # Weight copies in the server's memory and on its disk.
    available: _Available = msgspec.field(default_factory=_Available)


class _Entry(_SelfDescription, kw_only=True):
    service: str
    addr: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0


class _Report(_SelfDescription, kw_only=True):
    # Orders accepted since the start. In registry entries, the field of the same name
    # counts the writes of the entry.
    seq: Count
    busy: bool = False
    # Adapters that are being loaded, as MODEL/NAME@VERSION.
    loading: list[str] = []


_entry_decoder: Final = msgspec.json.Decoder(_Entry)
_report_decoder: Final = msgspec.json.Decoder(_Report)


def decode_server_entry(key: str, data: bytes) -> ServerRecord | UnreadableValue:
    """Return the server described by a registry entry."""
    try:
        entry = _entry_decoder.decode(data)
    except MALFORMED_ERRORS as error:
        return UnreadableValue(str(error))
    address = _ADDRESS.fullmatch(entry.addr)
    port = 0 if address is None else int(address[2])
    if address is None or not 0 < port <= MAX_PORT:
        return UnreadableValue("the address is not HOST:PORT")
    return ServerRecord(
        server_id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        host=address[1],
        port=port,
        zone=entry.zone,
        slots=entry.slots,
        state=ServerState(entry.state),
        cold_s=max(entry.cold_ms, 0) / MS_PER_S,
        holdings=_holdings(entry, None, busy=False, loading=[]),
    )


def decode_report(data: bytes) -> Holdings | UnreadableValue:
    """Return the holdings in a server's report."""
    try:
        report = _report_decoder.decode(data)
    except MALFORMED_ERRORS as error:
        return UnreadableValue(str(error))
    return _holdings(report, report.seq, busy=report.busy, loading=report.loading)


def _holdings(
    description: _SelfDescription,
    order_count: int | None,
    *,
    busy: bool,
    loading: list[str],
) -> Holdings:
    models = [
        HeldModel(model.name, model.version, frozenset(model.adapters))
        for model in description.models
    ]
    return Holdings(
        born_ms=description.born,
        order_count=order_count,
        model_by_name={model.name: model for model in models},
        in_memory=frozenset(description.available.in_memory),
        on_disk=frozenset(description.available.on_disk),
        busy=busy,
        loading_adapters=frozenset(_loading_adapter(text) for text in loading),
    )


def _loading_adapter(text: str) -> tuple[str, str]:
    model, _, adapter = text.partition("@")[0].partition("/")
    return model, adapter
