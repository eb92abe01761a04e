"""Decoding of what servers say of themselves: registry entries and reports.

An entry may come from another writer. One that lacks a field, has one of another type
or names an unknown state is `Unreadable`; it names no server to use.
"""

from __future__ import annotations

from typing import Final, Literal

import msgspec

from ..gateway.servers import HeldModel, Holdings, ServerRecord, ServerState
from .desired_state import MS_PER_S, Unreadable

SERVERS_PREFIX: Final = "servers/"


class _HeldModel(msgspec.Struct):
    name: str
    version: int = 0
    adapters: list[str] = []


class _Available(msgspec.Struct):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _SelfDescription(msgspec.Struct, kw_only=True):
    """The fields that entries and reports share."""

    # Unix milliseconds of the server's start.
    born: int | None = None
    models: list[_HeldModel] = []
    # Copies of weights in the server's memory and on its disk.
    available: _Available = msgspec.field(default_factory=_Available)


class _Entry(_SelfDescription, kw_only=True):
    service: str
    addr: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    cold_ms: float = 0


class _Report(_SelfDescription, kw_only=True):
    # Orders accepted since the start. In entries, the same name counts the writes of
    # the entry.
    seq: int
    busy: bool = False
    # MODEL/NAME@VERSION of adapters on their way.
    loading: list[str] = []


_entry_decoder: Final = msgspec.json.Decoder(_Entry)
_report_decoder: Final = msgspec.json.Decoder(_Report)


def decode_server_entry(key: str, data: bytes) -> ServerRecord | Unreadable:
    """Return the server that a registry entry describes."""
    try:
        entry = _entry_decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        return Unreadable(str(error))
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        return Unreadable("the address is not HOST:PORT")
    if entry.slots < 1:
        return Unreadable("a server without slots")
    return ServerRecord(
        server_id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        host=host,
        port=int(port),
        zone=entry.zone,
        slots=entry.slots,
        state=ServerState(entry.state),
        cold_s=max(entry.cold_ms, 0) / MS_PER_S,
        holdings=_holdings(entry, None, busy=False, loading=[]),
    )


def decode_report(data: bytes) -> Holdings | Unreadable:
    """Return what a server's report says it holds."""
    try:
        report = _report_decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        return Unreadable(str(error))
    return _holdings(report, report.seq, busy=report.busy, loading=report.loading)


def _holdings(
    said: _SelfDescription, order_count: int | None, *, busy: bool, loading: list[str]
) -> Holdings:
    models = [
        HeldModel(model.name, model.version, frozenset(model.adapters))
        for model in said.models
    ]
    return Holdings(
        born_ms=said.born,
        order_count=order_count,
        model_by_name={model.name: model for model in models},
        in_memory=frozenset(said.available.in_memory),
        on_disk=frozenset(said.available.on_disk),
        busy=busy,
        loading_adapters=frozenset(_loading_adapter(text) for text in loading),
    )


def _loading_adapter(text: str) -> tuple[str, str]:
    model, _, adapter = text.partition("@")[0].partition("/")
    return model, adapter
