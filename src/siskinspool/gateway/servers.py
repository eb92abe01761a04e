"""Servers as they describe themselves: registry entries and reports."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message


class ServerState(StrEnum):
    """Whether a server takes new requests."""

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
    """What a server holds."""

    # Unix milliseconds of the server's start; None if it does not say.
    born_ms: int | None
    # Orders accepted since that start; None in the registry, which does not say.
    order_count: int | None
    model_by_name: dict[str, HeldModel]
    # Copies of weights outside the accelerator.
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    # A model is being loaded or unloaded.
    busy: bool = False
    # Adapters on their way, as (model, adapter).
    loading_adapters: frozenset[tuple[str, str]] = frozenset()


@attrs.frozen(kw_only=True)
class ServerRecord(Message):
    """The registry entry of one server."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: ServerState
    # How much longer the server is cold, counted from the entry's writing.
    cold_s: float
    holdings: Holdings


@attrs.frozen
class ServerRemoved(Message):
    """The registry entry of a server is gone."""

    server_id: str


@attrs.frozen
class ZoneEvacuated(Message):
    """Nothing more is to be sent to the servers of a zone, or that has ended."""

    zone: str
    evacuated: bool


@attrs.frozen
class RegistryListed(Message):
    """All entries of the registry have been read again after an interruption."""


@attrs.frozen
class RegistryInterrupted(Message):
    """Changes of the registry do not arrive at present."""


@attrs.frozen(kw_only=True)
class ServerLoad:
    """A server's load as it stands in an answer."""

    running: int
    waiting: int
    slots: int
