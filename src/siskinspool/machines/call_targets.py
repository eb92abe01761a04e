"""Targets of calls: a model or adapter, or a route of plain services."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from ..manifest.model import Catalog


@attrs.frozen
class ReplicaKey:
    """A model, or an adapter on a model (empty for the base model)."""

    model: str
    adapter: str


@attrs.frozen
class Target(ABC):
    """The resolved target of a call."""

    @property
    @abstractmethod
    def queue_name(self) -> str:
        """Return the queue in which calls for this target wait."""


@attrs.frozen
class ReplicaTarget(Target):
    """A model or adapter, served by the servers of a pool that have it loaded."""

    key: ReplicaKey
    pool: str

    @property
    def queue_name(self) -> str:
        """Return the queue of the pool, since its models compete for its servers."""
        return f"pool:{self.pool}"


@attrs.frozen
class RouteTarget(Target):
    """A route of plain services."""

    route_id: str
    service_ids: tuple[str, ...]

    @property
    def queue_name(self) -> str:
        """Return the queue of the route."""
        return f"route:{self.route_id}"


def resolve_target(catalog: Catalog, target_id: str) -> Target | None:
    """Resolve the id of a model, adapter or route; None if it is unknown."""
    model = catalog.base_model(target_id)
    if model is not None:
        adapter = target_id if target_id in catalog.adapter_by_id else ""
        return ReplicaTarget(ReplicaKey(model.id, adapter), model.pool)
    route = catalog.route_by_id.get(target_id)
    if route is not None:
        return RouteTarget(route.id, route.services)
    return None
