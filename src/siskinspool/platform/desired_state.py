"""Decodes the desired state that the operator writes into the store.

The structs below have the platform's field names; `decode_desired_state` converts them
into the types of `siskinspool.gateway.desired_state`. Unknown fields are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Final, Literal

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..gateway.desired_state import (
    AutoscaleSpec,
    DesiredState,
    EngineSpec,
    ModelSpec,
    RequestLimits,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedService,
    sort_routes,
)

OPERATOR_PREFIX: Final = "op/"
DESIRED_STATE_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
MS_PER_S: Final = 1000.0
# A `gap_target_ms` or a cap of zero means "none".
NONE: Final = 0
DEFAULT_BOOT_S: Final = 8.0


@dataclass(frozen=True)
class UnreadableValue:
    """A value in the store that is not valid for its key."""

    reason: str


class _WeightedBackend(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: Literal["safe", "unsafe", "stream"]
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    # Either one service or several with weights.
    service: str | None = None
    backends: list[_WeightedBackend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = NONE


class _Model(msgspec.Struct):
    name: str
    # Megabytes, despite the name.
    weights_size: float
    load_s: float
    adapter_mb: float = 0.0
    warm_s: float | None = None
    disk_s: float | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    models: list[_Model]
    # Megabytes per server, for models and adapters together.
    weights_size: float
    disk_mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 0.0


class _Autoscale(msgspec.Struct):
    min: Annotated[int, msgspec.Meta(ge=0)]
    max: Annotated[int, msgspec.Meta(ge=0)]
    boot_s: Annotated[float, msgspec.Meta(ge=0)] = DEFAULT_BOOT_S


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # The unit of the cap: "tokens"; any other value means requests.
    unit: str = "requests"
    plain_tokens: int = 1
    rate_per_s: float = NONE
    burst: float = NONE


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decoder: Final = msgspec.json.Decoder(_Config)


def decode_desired_state(data: bytes) -> DesiredState | UnreadableValue:
    """Return the desired state in ``data``, or why it cannot be decoded."""
    try:
        config = _decoder.decode(data)
    except MALFORMED_ERRORS as error:
        return UnreadableValue(str(error))
    return DesiredState(
        version=config.version,
        routes_by_host=sort_routes([_route(route) for route in config.routes]),
        service_by_name={item.name: _service(item) for item in config.services},
        team_by_name={item.name: _team(item) for item in config.tenants},
        team_name_by_key={
            key: item.name for item in config.tenants for key in item.api_keys
        },
        limits=_limits(config.limits),
    )


def _route(route: _Route) -> Route:
    services = [WeightedService(item.service, item.weight) for item in route.backends]
    if route.service is not None:
        services = [WeightedService(route.service, 1)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=RouteKind(route.kind),
        timeout_s=route.timeout_ms / MS_PER_S,
        target_latency_s=route.target_latency_ms / MS_PER_S,
        priority=route.priority,
        services=tuple(services),
        max_attempts=max(route.max_attempts, 1),
        public=route.public,
        resumable=route.resumable,
        gap_target_s=route.gap_target_ms / MS_PER_S if route.gap_target_ms else None,
    )


def _service(service: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=service.name,
        health_path=service.health_path,
        cold_s=service.cold_s,
        cold_per_s=service.cold_per_s,
        engine=None if service.engine is None else _engine(service.engine),
        autoscale=None if service.autoscale is None else _autoscale(service.autoscale),
    )


def _autoscale(autoscale: _Autoscale) -> AutoscaleSpec:
    return AutoscaleSpec(
        min_servers=autoscale.min,
        max_servers=max(autoscale.min, autoscale.max),
        boot_s=autoscale.boot_s,
    )


def _engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=engine.slots,
        token_capacity=engine.kv_capacity,
        weights_mb=engine.weights_size,
        disk_mb=engine.disk_mb,
        adapter_slots=engine.adapter_slots,
        store_loads_per_s=engine.loads_per_s,
        model_by_name={model.name: _model(model) for model in engine.models},
    )


def _model(model: _Model) -> ModelSpec:
    return ModelSpec(
        name=model.name,
        weights_mb=model.weights_size,
        store_load_s=model.load_s,
        disk_load_s=model.load_s if model.disk_s is None else model.disk_s,
        memory_load_s=model.load_s if model.warm_s is None else model.warm_s,
        adapter_mb=model.adapter_mb,
    )


def _team(tenant: _Tenant) -> Team:
    return Team(
        name=tenant.name,
        priority=tenant.priority,
        tokens_per_s=tenant.rate_per_s,
        burst_tokens=tenant.burst,
        # If the cap counts requests, each costs one.
        plain_tokens=tenant.plain_tokens if tenant.unit == "tokens" else 1,
    )


def _limits(limits: _Limits) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )
