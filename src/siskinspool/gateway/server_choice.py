"""A server chosen for a model, with what the choice expects."""

from __future__ import annotations

import attrs

from .managed_server import ManagedServer


@attrs.frozen
class ServerChoice:
    """A server for a model and the models that have to go first."""

    server: ManagedServer
    eviction_candidates: tuple[str, ...]
    # Estimated time until the model is ready; the same with all costs beside.
    ready_in_s: float
    cost_s: float
    # Part of the costs that is due to the victims.
    eviction_cost_s: float
