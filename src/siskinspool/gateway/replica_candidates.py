"""Which models are to get one more replica.

A model is a candidate while each of its replicas, with those that are still to be
loaded, has more than a certain demand. Replicas of a model are added one at a time,
unless its servers would be overloaded even with the planned ones.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import Final

from .service_fleet import ServiceFleet

# Prompt tokens per second of each replica above which another is added. Requests start
# to queue well below the rate at which a server processes prompts.
REPLICA_TOKENS_PER_S: Final = 10_000.0
# Above this rate requests spend more time in the queue of a server than in execution.
OVERLOAD_TOKENS_PER_S: Final = 20_000.0
# Prompt tokens per second above which a model gets a second replica.
SECOND_REPLICA_TOKENS_PER_S: Final = 1_500.0
# Each candidate that is considered costs a comparison of all servers.
MAX_CANDIDATES: Final = 8


class ReplicaCandidates(ABC):
    """Chooses the models that are to get one more replica."""

    @abstractmethod
    def models(
        self, fleet: ServiceFleet, pending: Collection[str], now: float
    ) -> list[str]:
        """Return the models, the one with the most demand for each replica first.

        ``pending`` are the models with preloads that have not finished.
        """


class BusiestModel(ReplicaCandidates):
    """Only the busiest model gets replicas."""

    def models(
        self, fleet: ServiceFleet, pending: Collection[str], now: float
    ) -> list[str]:
        """Return the busiest model if it has enough demand."""
        by_demand = _models_by_demand(fleet, pending, now)
        return [model for model in by_demand[:1] if _has_demand(fleet, model, now)]


class AllBusyModels(ReplicaCandidates):
    """Each busy model may get replicas.

    The busiest model may have its only copy on the server that holds it. It must not
    keep the other models from getting the replicas that their copies allow.
    """

    def models(
        self, fleet: ServiceFleet, pending: Collection[str], now: float
    ) -> list[str]:
        """Return the busiest models that have enough demand."""
        by_demand = _models_by_demand(fleet, pending, now)
        busy = [model for model in by_demand if _has_demand(fleet, model, now)]
        return busy[:MAX_CANDIDATES]


def _models_by_demand(
    fleet: ServiceFleet, pending: Collection[str], now: float
) -> list[str]:
    """Return the models that may get a replica, busiest first."""
    eligible = [
        model
        for model in fleet.engine.model_by_name
        if 0 < fleet.planned_replicas(model) < len(fleet.servers)
        and (
            model not in pending
            or _replica_tokens_per_s(fleet, model, now) >= OVERLOAD_TOKENS_PER_S
        )
    ]
    return sorted(
        eligible,
        key=lambda model: _replica_tokens_per_s(fleet, model, now),
        reverse=True,
    )


def _replica_tokens_per_s(fleet: ServiceFleet, model: str, now: float) -> float:
    """Return the demand for each replica of a model, including planned ones."""
    return fleet.demand.tokens_per_s(model, now) / fleet.planned_replicas(model)


def _has_demand(fleet: ServiceFleet, model: str, now: float) -> bool:
    """Return whether the demand for a model is worth another replica."""
    has_single_replica = fleet.planned_replicas(model) == 1
    min_tokens_per_s = (
        SECOND_REPLICA_TOKENS_PER_S if has_single_replica else REPLICA_TOKENS_PER_S
    )
    return _replica_tokens_per_s(fleet, model, now) >= min_tokens_per_s
