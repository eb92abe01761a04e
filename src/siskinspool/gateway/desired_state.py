"""The operator's desired state: routes, services, teams and limits.

The types say what the fields mean to this system; how a platform spells them is for
its adapter. `DesiredState.find_route` chooses the route of a request: among the routes
of the host, the one with the longest prefix that begins the path.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    # May run more than once.
    SAFE = "safe"
    # May run at most once for each attempt of a requester.
    UNSAFE = "unsafe"
    # A series of events; may be repeated only by resuming, where the route allows it.
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service with its share of a route's requests."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """Where the requests of one host and path prefix go."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Time to the answer, of a stream to its first event, that earns the full worth.
    target_latency_s: float
    # 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...]
    # Servers to which one attempt of a requester may be sent.
    max_attempts: int
    # No key is needed.
    public: bool
    # A broken stream may go on at another server.
    resumable: bool
    # Longest pause between events that is on time; None if the route is no stream.
    gap_target_s: float | None

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run a second time."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model that servers of a service can load."""

    name: str
    weights_mb: float
    # Time to load from the weight store, the server's disk and its memory.
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float


@attrs.frozen(kw_only=True)
class EngineSpec:
    """What each model server of a service can hold."""

    slots: int
    # Tokens of running requests and cached prompt parts.
    token_capacity: int
    # Weights of models and adapters together.
    weights_mb: float
    # Copies of weights on the disk.
    disk_mb: float
    adapter_slots: int
    # Loads from the weight store a second, over all servers.
    store_loads_per_s: float
    model_by_name: dict[str, ModelSpec]


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A set of servers that answer the same requests."""

    name: str
    health_path: str
    # How long a server counts as cold after its start.
    cold_s: float
    # Requests a second that a cold server bears; 0 means no limit.
    cold_per_s: float
    # None for a plain service.
    engine: EngineSpec | None


@attrs.frozen(kw_only=True)
class Team:
    """A customer with its keys and its cap on tokens."""

    name: str
    priority: int | None
    # 0 means no cap.
    tokens_per_s: float
    burst_tokens: float
    # What a request without a token count is charged.
    plain_tokens: int

    @property
    def has_cap(self) -> bool:
        """Return whether the team has a cap."""
        return self.tokens_per_s > 0


@attrs.frozen(kw_only=True)
class RequestLimits:
    """What a requester may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen(kw_only=True)
class DesiredState(Message):
    """One version of what the operator wants."""

    version: int
    # Sorted by falling length of the prefix.
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceSpec]
    team_by_name: dict[str, Team]
    # Empty if requests need no key.
    team_name_by_key: dict[str, str] = attrs.field(repr=False)
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }
