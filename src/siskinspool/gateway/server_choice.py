"""The server chosen for a load, with the expected time and costs."""

from __future__ import annotations

import attrs

from .managed_server import ManagedServer


@attrs.frozen
class ServerChoice:
    """A server chosen for a model, and the models to evict from it first."""

    server: ManagedServer
    eviction_candidates: tuple[str, ...]
    # Estimated time until the model is ready, and that time plus all other costs.
    ready_in_s: float
    cost_s: float
    # Part of the cost that is caused by the evictions.
    eviction_cost_s: float

    @property
    def preference(self) -> tuple[float, str]:
        """Return the sort key of choices; the lowest is best."""
        return self.cost_s, self.server.record.server_id
