"""Servers as they describe themselves: registry entries and reports."""

from __future__ import annotations

from enum import StrEnum
from functools import cached_property

import attrs

from ..core.message import Message
from ..server_signals.observations import ServerStart


class ServerState(StrEnum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class HeldModel:
    """A model that a server holds, with the adapters loaded for it."""

    name: str
    version: int
    adapters: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Holdings:
    """The models and weight copies of a server, and its progress with orders."""

    # Start of the server in Unix milliseconds; None if not stated.
    born_ms: int | None
    # Orders accepted since that start; None from the registry, which does not state it.
    order_count: int | None
    model_by_name: dict[str, HeldModel]
    # Weight copies outside the accelerator.
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    # A model is being loaded or unloaded.
    busy: bool = False
    # Adapters that are being loaded, as (model, adapter).
    loading_adapters: frozenset[tuple[str, str]] = frozenset()

    @cached_property
    def copies(self) -> frozenset[str]:
        """The models with a weight copy here, loaded or not."""
        return self.in_memory | self.on_disk | self.model_by_name.keys()


@attrs.frozen(kw_only=True)
class ServerRecord(Message):
    """The registry entry of one server."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    # Version of the server's software. Versions have no order.
    software_version: str
    slots: int
    state: ServerState
    # How much longer the server is cold, from the time the entry was written.
    cold_s: float
    holdings: Holdings
    # How often the server has written the entry since its start; None if not stated.
    write_count: int | None = None

    @property
    def start(self) -> ServerStart:
        """The start of the server that the entry describes."""
        return ServerStart(self.server_id, self.holdings.born_ms, self.host, self.port)


@attrs.frozen
class ServerRemoved(Message):
    """The registry entry of a server was removed."""

    server_id: str


@attrs.frozen
class ZoneEvacuated(Message):
    """The evacuation of a zone has started or ended.

    No requests are sent to the servers of an evacuated zone.
    """

    zone: str
    evacuated: bool


@attrs.frozen
class RegistryListed(Message):
    """All entries of the registry have been read again after an interruption."""


@attrs.frozen
class RegistryInterrupted(Message):
    """Changes of the registry do not arrive at the moment."""


@attrs.frozen(kw_only=True)
class ServerLoad:
    """A server's load as stated in an answer."""

    running: int
    waiting: int
    slots: int
    # How long work takes at present, relative to the usual time; None if not stated.
    slowdown: float | None = None
