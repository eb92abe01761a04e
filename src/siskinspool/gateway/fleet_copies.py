"""Copies of model weights in a fleet, and the effect of a load on them.

A server keeps copies on its disk and in its memory. A load from the weight store writes
the weights to the disk. If the disk is full, the least recently used copy there is
deleted. If that was the only copy in the fleet, the next request for its model needs
the weight store, too. The order of use on the disk is not known, but copies of models
that are loaded or in memory were used later than the others.

A server that loads from the weight store can load nothing else for seconds, so models
whose only copy is on its disk are unavailable meanwhile.

Servers that are briefly silent count, since their disks survive a restart, and so do
servers whose registry entries have just lapsed. Servers that are draining and those in
an evacuated zone do not count.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from .desired_state import EngineSpec
from .managed_server import ManagedServer
from .servers import Holdings


@attrs.frozen
class _Contribution:
    """What one server adds to the copies of a fleet."""

    copies: frozenset[str]
    # It does not load from the weight store.
    is_free: bool

    @classmethod
    def from_server(cls, server: ManagedServer) -> _Contribution:
        """Return the copies of a server that stays."""
        loading = server.loading_model
        is_free = loading is None or not server.needs_store(loading)
        return cls(server.holdings.copies, is_free)


class FleetCopies:
    """The weight copies of each model on the servers of one service."""

    def __init__(
        self,
        engine: EngineSpec,
        servers: list[ManagedServer],
        lapsed: Iterable[ManagedServer] = (),
    ) -> None:
        self._engine = engine
        self._servers_by_model: Counter[str] = Counter()
        # Servers that do not load from the weight store.
        self._free_servers_by_model: Counter[str] = Counter()
        for server in servers:
            self.add(_Contribution.from_server(server))
        for server in lapsed:
            self.add(_Contribution(server.holdings.copies, is_free=False))

    def add(self, contribution: _Contribution) -> None:
        """Count the copies of a server."""
        self._servers_by_model.update(contribution.copies)
        if contribution.is_free:
            self._free_servers_by_model.update(contribution.copies)

    def remove(self, contribution: _Contribution) -> None:
        """Count the copies of a server no more."""
        self._servers_by_model.subtract(contribution.copies)
        if contribution.is_free:
            self._free_servers_by_model.subtract(contribution.copies)

    def models_blocked_by_load(
        self, server: ManagedServer, model: str, evictions: tuple[str, ...]
    ) -> list[str]:
        """Return the models that no server could load while one loads ``model``.

        The load evicts some models first. Other models that are ready stay ready.
        """
        ready = server.holdings.model_by_name.keys() - set(evictions)
        return [
            name
            for name in server.copies() - ready
            if name != model
            and self._free_servers_by_model[name] == 1
            and name in self._engine.model_by_name
        ]

    def count(self, model: str) -> int:
        """Return how many servers have a copy of a model."""
        return self._servers_by_model[model]

    def has_single_copy(self, model: str) -> bool:
        """Return whether a configured model has a copy on exactly one server."""
        return self.count(model) == 1 and model in self._engine.model_by_name

    def expected_models_lost(
        self, server: ManagedServer, model: str, evictions: tuple[str, ...]
    ) -> float:
        """Return the expected number of models that a load leaves without a copy.

        The load of ``model`` evicts models of which the server may have no copy outside
        the accelerator.
        """
        holdings = server.holdings
        kept = holdings.in_memory | holdings.on_disk
        unloaded = sum(
            self.has_single_copy(name) and name not in kept for name in evictions
        )
        if not server.needs_store(model) or self._disk_has_room(server, model):
            return float(unloaded)
        deletable = (
            holdings.on_disk - holdings.in_memory - holdings.model_by_name.keys()
        )
        if not deletable:
            return float(unloaded)
        single_copies = sum(self.has_single_copy(name) for name in deletable)
        return unloaded + single_copies / len(deletable)

    def _disk_has_room(self, server: ManagedServer, model: str) -> bool:
        spec_by_name = self._engine.model_by_name
        names = {*server.holdings.on_disk, model}
        used_mb = sum(
            spec_by_name[name].weights_mb for name in names & spec_by_name.keys()
        )
        return used_mb <= self._engine.disk_mb


@attrs.define
class _KnownServer:
    """A server as it was counted last."""

    holdings: Holdings
    loading_model: str | None
    is_lapsed: bool
    contribution: _Contribution

    def is_current(self, server: ManagedServer, is_lapsed: bool) -> bool:
        """Return whether nothing has changed since; holdings are never modified."""
        return (
            self.holdings is server.holdings
            and self.loading_model == server.loading_model
            and self.is_lapsed == is_lapsed
        )


class FleetCopiesCache:
    """Keeps the `FleetCopies` of a service up to date as its servers change."""

    def __init__(self) -> None:
        self._engine: EngineSpec | None = None
        self._copies: FleetCopies | None = None
        self._known_by_id: dict[str, _KnownServer] = {}

    def copies(
        self,
        engine: EngineSpec,
        servers: list[ManagedServer],
        lapsed: list[ManagedServer],
    ) -> FleetCopies:
        """Return the copies on the servers; only changed servers are counted again."""
        if self._copies is None or engine is not self._engine:
            self._engine, self._copies = engine, FleetCopies(engine, [])
            self._known_by_id.clear()
        for server in servers:
            self._update(self._copies, server, is_lapsed=False)
        for server in lapsed:
            self._update(self._copies, server, is_lapsed=True)
        if len(self._known_by_id) > len(servers) + len(lapsed):
            present = {one.record.server_id for one in (*servers, *lapsed)}
            for server_id in self._known_by_id.keys() - present:
                self._copies.remove(self._known_by_id.pop(server_id).contribution)
        return self._copies

    def _update(
        self, copies: FleetCopies, server: ManagedServer, *, is_lapsed: bool
    ) -> None:
        server_id = server.record.server_id
        known = self._known_by_id.get(server_id)
        if known is not None:
            if known.is_current(server, is_lapsed):
                return
            copies.remove(known.contribution)
        contribution = _Contribution.from_server(server)
        if is_lapsed:
            contribution = attrs.evolve(contribution, is_free=False)
        copies.add(contribution)
        self._known_by_id[server_id] = _KnownServer(
            server.holdings, server.loading_model, is_lapsed, contribution
        )
