"""Parameters and results of a simulated day of the weight store.

Times are seconds from the start of traffic, unless the fields say otherwise.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

from siskinspool.gateway.messages import ServerOrder
from siskinspool.gateway.servers import Holdings, ServerRecord, ServerState

from .builders_gateway import holdings, server

# Time on the decisions' clock at the start of traffic.
TRAFFIC_START_S = 1_000.0
HOP_S = 0.002
REGISTRY_READ_INTERVAL_S = 1.2
STORE_LOAD_S = 7.8
DISK_LOAD_S = 0.8
MEMORY_LOAD_S = 0.3
UNLOAD_S = 0.05
MODELS_IN_MEMORY = 2
MODELS_ON_DISK = 7
MODEL_MB = 70_000.0
# A model is counted if it has this many requesters over at least this time span.
MIN_REQUESTERS = 4
MIN_SPAN_S = 8.0
# A request counts as served if its server has it this long before its requester leaves.
FIRST_EVENT_S = 0.3
RUN_S = 0.5
# Time from the end of all gateways to the orders of the next leader.
RESTART_S = 1.3


@attrs.frozen
class RequestKind:
    """A kind of request: its share and how long its requester waits."""

    name: str
    share: float
    # Total time of the requester, and the longest wait of one attempt.
    limit_s: float
    max_wait_s: float


KINDS = (
    RequestKind("urgent", 0.4, 5.2, 4.0),
    RequestKind("patient", 0.17, 11.1, 10.1),
    RequestKind("chat", 0.43, 15.4, 4.1),
)


@attrs.frozen(kw_only=True)
class DayPlan:
    """Parameters of a simulated day."""

    seed: int
    gateways: int = 3
    servers: int = 30
    models: int = 112
    # Number of models that no server has a copy of at the start.
    without_copy: int = 21
    store_at_once: int = 2
    traffic_s: float = 36.0
    # Average requesters of each model without a copy, over the day.
    rare_requesters: float = 6.0
    # Requesters of all other models, per second.
    common_per_s: float = 14.0
    # Servers register one by one during this time.
    join_from_s: float = -14.8
    join_until_s: float = -10.0
    # From this time on, ``released`` servers are replaced one after the other.
    release_at_s: float | None = None
    released: int = 8
    # At this time, ``crashed`` servers are lost, and return later with their disks.
    crash_at_s: float | None = None
    crashed: int = 6
    # At this time another gateway becomes the leader.
    succession_at_s: float | None = None
    # At this time all gateways end at once; they are back after ``RESTART_S``.
    restart_at_s: float | None = None

    def with_seed(self, seed: int) -> DayPlan:
        """Return the same day with another random seed."""
        return attrs.evolve(self, seed=seed)


@attrs.define
class Requester:
    """One requester, with at most two attempts."""

    model: str
    kind: RequestKind
    arrived_at: float
    attempts: int = 0
    served_at: float | None = None


@attrs.define
class ModelledServer:
    """A simulated server: its copies and its running order."""

    server_id: str
    joined_at: float
    loaded: list[str]
    disk: OrderedDict[str, None]
    state: ServerState = ServerState.READY
    is_up: bool = True
    order_count: int = 0
    born_ms: int = 1
    busy: ServerOrder | None = None

    def holdings(self) -> Holdings:
        """Return what a report says now."""
        return holdings(
            *self.loaded,
            count=self.order_count,
            born_ms=self.born_ms,
            busy=self.busy is not None,
            in_memory=frozenset(self.loaded),
            on_disk=frozenset(self.disk),
        )

    def record(self) -> ServerRecord:
        """Return the server's registry entry."""
        held = attrs.evolve(self.holdings(), order_count=None, busy=False)
        return server(self.server_id, state=self.state, holdings=held)


@attrs.define
class StoreLoad:
    """A load from the weight store."""

    server_id: str
    model: str
    ready_at: float = float("inf")


@attrs.define
class DayResult:
    """The results of a simulated day."""

    # Models that are counted, and those of them without a served requester.
    counted_models: set[str]
    starved_models: set[str]
    # Lower bound of the starved models, whatever the order of loads.
    min_starved: int
    # Started loads from the store, and those whose server then served a requester.
    store_loads: int
    useful_store_loads: int
    # Greatest number of parallel loads in the store as a load started in traffic.
    max_parallel_loads: int
    requesters: int
    served: int

    @property
    def max_starved(self) -> int:
        """Return how many models may starve according to the requirement."""
        return 1 + len(self.counted_models) // 10
