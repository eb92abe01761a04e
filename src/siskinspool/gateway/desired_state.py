"""The operator's desired state: routes, services, teams and limits.

The types define the meaning of the fields; a platform's adapter decodes its own format
into them. `DesiredState.find_route` chooses the route of a request: among the routes
of the host, the one with the longest prefix of the path.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message


class RouteKind(StrEnum):
    """Whether requests of a route may be repeated."""

    # May run more than once.
    SAFE = "safe"
    # May run at most once for each attempt of a requester.
    UNSAFE = "unsafe"
    # An event stream; may be repeated only by resuming, where the route allows it.
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service with its share of a route's requests."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """The services and rules for the requests of one host and path prefix."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Target for the time to the answer, or to the first event of a stream; later
    # answers are worth less to the requester.
    target_latency_s: float
    # 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...]
    # Number of servers to which one attempt of a requester may be sent.
    max_attempts: int
    # No key is needed.
    public: bool
    # A broken stream may be resumed at another server.
    resumable: bool
    # Target for the longest pause between events; None if the route is no stream.
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
    # Load times from the weight store, the server's disk and its memory.
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float


@attrs.frozen(kw_only=True)
class EngineSpec:
    """The capacity of each model server of a service."""

    slots: int
    # Tokens of running requests and cached prompt parts.
    token_capacity: int
    # Capacity for the weights of models and adapters together.
    weights_mb: float
    # Capacity for weight copies on the disk.
    disk_mb: float
    adapter_slots: int
    # Loads from the weight store per second, over all servers.
    store_loads_per_s: float
    model_by_name: dict[str, ModelSpec]


@attrs.frozen(kw_only=True)
class AutoscaleSpec:
    """The range of a service's number of servers in each zone."""

    min_servers: int
    max_servers: int
    # Time from an order until the server is ready.
    boot_s: float


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A set of servers that can serve the same requests."""

    name: str
    health_path: str
    # How long a server counts as cold after its start.
    cold_s: float
    # Requests per second that a cold server can handle; 0 means no limit.
    cold_per_s: float
    # None for a plain service.
    engine: EngineSpec | None
    # None: the number of servers is not ordered.
    autoscale: AutoscaleSpec | None = None


@attrs.frozen(kw_only=True)
class Team:
    """A customer with its keys and its cap on tokens."""

    name: str
    priority: int | None
    # 0 means no cap.
    tokens_per_s: float
    burst_tokens: float
    # Tokens charged for a request without a token count.
    plain_tokens: int

    @property
    def has_cap(self) -> bool:
        """Return whether the team has a cap."""
        return self.tokens_per_s > 0


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the size and duration of a request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen(kw_only=True)
class DesiredState(Message):
    """One version of the operator's configuration."""

    version: int
    # Sorted by descending length of the prefix.
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
