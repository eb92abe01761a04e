"""Builders for tests of the gateway: desired state, servers, requests and decisions."""

from __future__ import annotations

import json
from typing import Any

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.bounds import (
    Bounds,
    CapBounds,
    ColdBounds,
    LoadBounds,
    OrderBounds,
    RetryBounds,
)
from siskinspool.gateway.desired_state import (
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
from siskinspool.gateway.messages import AssignServer
from siskinspool.gateway.request import PromptPart, RequestHead
from siskinspool.gateway.scheduling_settings import SchedulingSettings
from siskinspool.gateway.servers import (
    HeldModel,
    Holdings,
    ServerRecord,
    ServerState,
)

MODEL_MB = 70_000.0
RETRY_BOUNDS = RetryBounds(ratio=0.2, window_s=10.0, extra=58.0)
CAP_BOUNDS = CapBounds(window_s=8.0, overage=0.1, slack_tokens=110_000.0)
COLD_BOUNDS = ColdBounds(overage=1.5, slack=5.0)
LOAD_BOUNDS = LoadBounds(window_s=5.0, overage=1.1)


def bounds(**changes: Any) -> Bounds:
    """Return the bounds of a small site."""
    values: dict[str, Any] = {
        "grace_s": 8.0,
        "drain_s": 2.0,
        "config_s": 2.0,
        "orders": OrderBounds(lease_s=3.0, epochs_checked=True),
        "retry": RETRY_BOUNDS,
        "cap": CAP_BOUNDS,
        "cold": COLD_BOUNDS,
        "load": LOAD_BOUNDS,
    }
    return Bounds(**values | changes)


def scheduling(**changes: bool) -> SchedulingSettings:
    """Return settings with all optional features off but the given ones."""
    return attrs.evolve(SchedulingSettings.all_set_to(False), **changes)


def route(**changes: Any) -> Route:
    """Return a stream route of the service ``writers``."""
    values: dict[str, Any] = {
        "name": "r-quote",
        "host": "site.example",
        "prefix": "/quote/",
        "kind": RouteKind.STREAM,
        "timeout_s": 5.0,
        "target_latency_s": 0.6,
        "priority": 1,
        "services": (WeightedService("writers", 1),),
        "max_attempts": 2,
        "public": False,
        "resumable": True,
        "gap_target_s": 0.4,
    }
    return Route(**values | changes)


def engine(*models: str, **changes: Any) -> EngineSpec:
    """Return an engine with room for three models."""
    store_load_s = changes.pop("store_load_s", 6.0)
    values: dict[str, Any] = {
        "slots": 64,
        "token_capacity": 250_000,
        "weights_mb": 230_000.0,
        "disk_mb": 520_000.0,
        "adapter_slots": 8,
        "store_loads_per_s": 1.6,
        "model_by_name": {
            name: ModelSpec(
                name=name,
                weights_mb=MODEL_MB,
                store_load_s=store_load_s,
                disk_load_s=1.2,
                memory_load_s=0.6,
                adapter_mb=60.0,
            )
            for name in models or ("m0", "m1", "m2", "m3", "m4")
        },
    }
    return EngineSpec(**values | changes)


def team(name: str = "desk", **changes: Any) -> Team:
    """Return a team with a cap of 30,000 tokens per second."""
    values: dict[str, Any] = {
        "name": name,
        "priority": None,
        "tokens_per_s": 30_000.0,
        "burst_tokens": 60_000.0,
        "plain_tokens": 200,
    }
    return Team(**values | changes)


def desired_state(
    *routes: Route,
    version: int = 1,
    teams: tuple[Team, ...] | None = None,
    engine_spec: EngineSpec | None = None,
    cold_per_s: float = 7.5,
) -> DesiredState:
    """Return a desired state; the key of a team is ``key-NAME``."""
    found = (team(),) if teams is None else teams
    services = [
        ServiceSpec(
            name="writers",
            health_path="/health",
            cold_s=3.0,
            cold_per_s=cold_per_s,
            engine=engine_spec or engine(),
        ),
        ServiceSpec(
            name="desk", health_path="/health", cold_s=0.0, cold_per_s=0.0, engine=None
        ),
    ]
    return DesiredState(
        version=version,
        routes_by_host=sort_routes(list(routes) or [route()]),
        service_by_name={service.name: service for service in services},
        team_by_name={one.name: one for one in found},
        team_name_by_key={f"key-{one.name}": one.name for one in found},
        limits=RequestLimits(
            max_header_bytes=16_384,
            max_body_bytes=4_194_304,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
    )


def holdings(*models: str, count: int | None = None, **changes: Any) -> Holdings:
    """Return what a server holds; ``model/adapter`` adds an adapter."""
    adapters_by_model: dict[str, set[str]] = {}
    for name in models:
        model, _, adapter = name.partition("/")
        adapters_by_model.setdefault(model, set()).update({adapter} - {""})
    values: dict[str, Any] = {
        "born_ms": 1,
        "order_count": count,
        "model_by_name": {
            model: HeldModel(model, 1, frozenset(adapters))
            for model, adapters in adapters_by_model.items()
        },
        "on_disk": frozenset(adapters_by_model),
    }
    return Holdings(**values | changes)


def server(server_id: str, *models: str, **changes: Any) -> ServerRecord:
    """Return a ready server of the service ``writers`` in zone ``a``."""
    values: dict[str, Any] = {
        "server_id": server_id,
        "service": "writers",
        "host": "127.0.0.1",
        "port": 1000,
        "zone": "a",
        "software_version": "v1",
        "slots": 64,
        "state": ServerState.READY,
        "cold_s": 0.0,
        "holdings": holdings(*models),
    }
    return ServerRecord(**values | changes)


def head(**changes: Any) -> RequestHead:
    """Return the head of a request for the model ``m0``."""
    values: dict[str, Any] = {
        "request_id": "r1",
        "method": "POST",
        "target": "/quote/a?x=1",
        "host": "site.example",
        "key": "key-desk",
        "deadline_s": 5.0,
        "model": "m0",
        "adapter": "",
        "tokens": 1000,
        "output_tokens": 0,
        "parts": (PromptPart("p1", 800), PromptPart("p2", 100)),
        "last_event_id": "",
        "headers": {"host": "site.example", "request-id": "r1"},
    }
    return RequestHead(**values | changes)


def assign(request_id: str = "r1", **changes: Any) -> AssignServer:
    """Return a request for a server that holds ``m0``."""
    values: dict[str, Any] = {
        "request_id": request_id,
        "service": "writers",
        "team": "desk",
        "model": "m0",
        "adapter": "",
        "parts": (PromptPart("p1", 800),),
        "tokens": 1000,
        "output_tokens": 0,
        "priority": 1,
        "excluded": frozenset(),
        "avoided": frozenset(),
        "repeat": False,
        "max_wait_s": 2.0,
        "reach_s": 3.0,
        "route": "r-quote",
        "timeout_s": 5.0,
        "deadline_s": 5.0,
    }
    return AssignServer(**values | changes)


def member(instance_id: str, incarnation: str = "1") -> Member:
    """Return a member that is a gateway."""
    return Member(instance_id, f"{instance_id}-{incarnation}", "a", "127.0.0.1", 1)


def membership(*instance_ids: str) -> MembershipChanged:
    """Return a membership change after which these gateways remain."""
    return MembershipChanged({name: member(name) for name in instance_ids})


def incoming(message: Message, sender: str = "i1", task: str = "test") -> Incoming:
    """Return a message from a task of an instance."""
    return Incoming(Address(sender, task), message)


def messages(batch: list[Outgoing]) -> list[Message]:
    """Return the messages of a batch without their recipients."""
    return [outgoing.message for outgoing in batch]


def entry_document(**changes: Any) -> dict[str, Any]:
    """Return a registry entry as a server writes it."""
    document = {
        "service": "writers",
        "addr": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_ms": 0,
        "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
        "available": {"in_memory": ["m1"], "on_disk": ["m0", "m1"]},
        "seq": 41,
        "born": 1_700_000_000_000,
    }
    return document | changes


def report_document(**changes: Any) -> dict[str, Any]:
    """Return a server's report."""
    document = {
        "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": []}],
        "busy": False,
        "seq": 2,
        "queued": 0,
        "running": 1,
        "kv_used": 0,
        "kv_total": 250_000,
        "handles": 0,
        "loading": ["m0/a3@2"],
        "born": 1_700_000_000_000,
    }
    return document | changes


def config_document(**changes: Any) -> dict[str, Any]:
    """Return a desired state as the operator writes it."""
    document = {
        "version": 7,
        "routes": [
            {
                "name": "r-quote",
                "host": "Site.example",
                "prefix": "/quote/",
                "kind": "stream",
                "timeout_ms": 5000,
                "target_latency_ms": 600,
                "priority": 1,
                "backends": [
                    {"service": "writers", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
                "max_attempts": 2,
                "public": False,
                "resumable": True,
                "gap_target_ms": 400,
            }
        ],
        "services": [
            {
                "name": "writers",
                "health_path": "/health",
                "cold_s": 3.0,
                "cold_per_s": 7.5,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 250_000,
                    "models": [
                        {
                            "name": "m0",
                            "weights_size": 70_000.0,
                            "load_s": 6.0,
                            "adapter_mb": 12.0,
                            "warm_s": 0.6,
                            "disk_s": 1.2,
                        }
                    ],
                    "weights_size": 230_000.0,
                    "adapter_slots": 8,
                    "loads_per_s": 1.6,
                },
            },
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "smiths",
                "api_keys": ["k1", "k2"],
                "priority": 0,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 30377,
                "burst": 68874,
            }
        ],
    }
    return document | changes


def encode(document: dict[str, Any]) -> bytes:
    """Return a document as it is stored."""
    return json.dumps(document).encode()


@attrs.define
class SteppedClock:
    """A clock that a test advances."""

    now: float = 100.0

    def advance(self, seconds: float) -> float:
        """Advance the clock and return the new time."""
        self.now += seconds
        return self.now
