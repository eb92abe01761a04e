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
from operator import is_

from .desired_state import EngineSpec
from .managed_server import ManagedServer


class FleetCopies:
    """The weight copies of each model on the servers of one service."""

    def __init__(
        self,
        engine: EngineSpec,
        servers: list[ManagedServer],
        lapsed: Iterable[ManagedServer] = (),
    ) -> None:
        self._engine = engine
        self._servers_by_model = Counter(
            name for server in (*servers, *lapsed) for name in server.copies()
        )

        self._free_servers_by_model = Counter(
            name
            for server in servers
            if server.loading_model is None
            or not server.needs_store(server.loading_model)
            for name in server.copies()
        )

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


class FleetCopiesCache:
    """Caches the `FleetCopies` of a service until its servers' holdings change."""

    def __init__(self) -> None:
        self._engine: EngineSpec | None = None
        self._cache_key: list[object] = []
        self._copies: FleetCopies | None = None

    def copies(
        self,
        engine: EngineSpec,
        servers: list[ManagedServer],
        lapsed: list[ManagedServer],
    ) -> FleetCopies:
        """Return the copies on the servers, recounted only after a change.

        Changes are detected by identity, since servers replace their holdings rather
        than modify them.
        """
        cache_key: list[object] = [server.holdings for server in servers]
        cache_key += [server.loading_model for server in servers]
        cache_key += [server.holdings for server in lapsed]
        unchanged = len(cache_key) == len(self._cache_key) and all(
            map(is_, cache_key, self._cache_key)
        )
        if self._copies is None or engine is not self._engine or not unchanged:
            self._engine, self._cache_key = engine, cache_key
            self._copies = FleetCopies(engine, servers, lapsed)
        return self._copies
