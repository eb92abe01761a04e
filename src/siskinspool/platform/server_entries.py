"""Decodes servers' descriptions of themselves: registry entries and reports.

An entry may have been written by another program. An entry with a missing field, a
field of a wrong type or out of range, or an unknown state is `UnreadableValue` and is
not used.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Final, Literal

import msgspec

from ..core.malformed import MALFORMED_ERRORS, Count
from ..gateway.servers import HeldModel, Holdings, ServerRecord, ServerState
from ..settings import Endpoint
from .desired_state import MS_PER_S, UnreadableValue

SERVERS_PREFIX: Final = "servers/"
# Larger values are rejected as errors: a server with so many slots would always look
# free, and one that is cold for so long would never be used.
MAX_SLOTS: Final = 100_000
MAX_COLD_MS: Final = 3_600_000
MAX_PORT: Final = 65_535

# An IPv4 address, or an IPv6 address in brackets, and a port.
_ADDRESS: Final = re.compile(
    r"(?:([0-9.]+)|\[([0-9A-Fa-f:.]+)\]):([0-9]{1,5})", re.ASCII
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
    # Of the server's software, not of its weights.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0
    # Counts the writes of the entry.
    seq: Count | None = None


class _Report(_SelfDescription, kw_only=True):
    # Orders accepted since the start.
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
    endpoint = _decode_address(entry.addr)
    if endpoint is None:
        return UnreadableValue("the address is not IP:PORT")
    return ServerRecord(
        server_id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        host=endpoint.host,
        port=endpoint.port,
        zone=entry.zone,
        software_version=entry.version,
        slots=entry.slots,
        state=ServerState(entry.state),
        cold_s=max(entry.cold_ms, 0) / MS_PER_S,
        holdings=_holdings(entry, None, busy=False, loading=[]),
        write_count=entry.seq,
    )


def _decode_address(text: str) -> Endpoint | None:
    """Return the endpoint that an entry names, or None for any other text.

    Names are not looked up: servers are known by their IP addresses, and a look-up has
    no time limit.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return None
    host, port = match[1] or match[2], int(match[3])
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return None
    if address.is_unspecified or address.is_multicast or not 0 < port <= MAX_PORT:
        return None
    return Endpoint(host=str(address), port=port)


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
