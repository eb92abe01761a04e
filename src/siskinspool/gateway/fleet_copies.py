"""Which copies of models' weights a fleet has, and what a load would drop.

A server keeps copies on its disk and in its memory. A load from the weight store puts
its weights on the disk, and the least recently used copy there yields to it if the disk
is full. If that was the only copy in the fleet, its model has to come from the store,
too, when a request asks for it. Which copy was used least recently is not known; those
of models that are loaded or in memory were used later than the others.

A server that loads from the store can load nothing else for seconds, so what only its
disk has is out of reach meanwhile.

Servers that do not answer for a moment count, since their disks outlive a restart, and
so do those whose entries have just lapsed. Servers that leave do not, nor those in an
evacuated zone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from operator import is_

from .desired_state import EngineSpec
from .managed_server import ManagedServer


class FleetCopies:
    """The copies of each model on the servers of one service."""

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
        self, server: ManagedServer, model: str, victims: tuple[str, ...]
    ) -> list[str]:
        """Return the models that no server could load while one loads ``model``.

        The load unloads ``eviction_candidates`` first; other models that are ready stay so.
        """
        ready = server.holdings.model_by_name.keys() - set(victims)
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
        """Return whether one server has the only copy of a model that is in use."""
        return self.count(model) == 1 and model in self._engine.model_by_name

    def expected_models_lost(
        self, server: ManagedServer, model: str, victims: tuple[str, ...]
    ) -> float:
        """Return how many models are expected to have no copy after a load.

        The load of ``model`` unloads ``eviction_candidates``, of which the server may have no copy
        outside the accelerator.
        """
        held = server.holdings
        kept = held.in_memory | held.on_disk
        unloaded = sum(
            self.has_single_copy(name) and name not in kept for name in victims
        )
        if not server.needs_store(model) or self._disk_has_room(server, model):
            return float(unloaded)
        first_to_go = held.on_disk - held.in_memory - held.model_by_name.keys()
        if not first_to_go:
            return float(unloaded)
        only = sum(self.has_single_copy(name) for name in first_to_go)
        return unloaded + only / len(first_to_go)

    def _disk_has_room(self, server: ManagedServer, model: str) -> bool:
        spec_by_name = self._engine.model_by_name
        names = {*server.holdings.on_disk, model}
        used_mb = sum(
            spec_by_name[name].weights_mb for name in names & spec_by_name.keys()
        )
        return used_mb <= self._engine.disk_mb


class FleetCopiesCache:
    """Counts the copies of a fleet anew only when something there has changed."""

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
        """Return the copies on some servers, which replace their holdings to change."""
        seen: list[object] = [server.holdings for server in servers]
        seen += [server.loading_model for server in servers]
        seen += [server.holdings for server in lapsed]
        unchanged = len(seen) == len(self._cache_key) and all(
            map(is_, seen, self._cache_key)
        )
        if self._copies is None or engine is not self._engine or not unchanged:
            self._engine, self._cache_key = engine, seen
            self._copies = FleetCopies(engine, servers, lapsed)
        return self._copies
