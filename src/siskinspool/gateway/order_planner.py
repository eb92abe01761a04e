"""The next order that brings a server towards a goal.

An order is given only if what is on the server, or on its way there, leaves room: first
what has to go is unloaded, then the goal is loaded. Loads from the weight store draw on
a token bucket sized so that two leaders in a row stay within the bound.
"""

from __future__ import annotations

from typing import Final

from .desired_state import EngineSpec
from .managed_server import Goal, ManagedServer
from .messages import OrderKind, ServerOrder
from .placement_choice import ServiceFleet
from .token_bucket import TokenBucket

# Loads that may begin at once; see `_load_bucket`.
LOAD_BURST: Final = 1.5
# A server that cannot take its next step looks again after this time.
RETRY_S: Final = 0.25


class OrderPlanner:
    """Chooses orders; keeps the allowance of loads from the weight store."""

    def __init__(self, first_start: bool) -> None:
        """Take whether the system starts for the first time."""
        self._first_start = first_start
        self._bucket_by_service: dict[str, TokenBucket] = {}

    def begin_office(self) -> None:
        """Begin anew: another leader may have loaded in the meantime."""
        self._bucket_by_service.clear()

    def next_order(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        goal: Goal,
        epoch: int,
        now: float,
    ) -> ServerOrder | None:
        """Return the order for a server's first goal; None if it has to wait."""
        spec = fleet.engine.model_by_name[goal.model]
        if goal.adapter:
            return self._adapter_order(fleet, server, goal, epoch, now)
        victims = fleet.victims(spec, server, now, goal.waiting, spare_fresh=True)
        if victims is None:
            # All models are loading, wanted or fresh; that passes.
            server.wait_until = now + RETRY_S
            return None
        if victims:
            return _order(epoch, server, OrderKind.UNLOAD, victims[0], "")
        if server.needs_store(goal.model):
            if not fleet.may_load_from_store(server, goal.waiting):
                # The server stays free for what loads sooner.
                server.goals.rotate(-1)
                server.wait_until = now + RETRY_S
                return None
            bucket = self._load_bucket(server.record.service, fleet.engine, now)
            if not bucket.take(1, now):
                server.wait_until = now + bucket.wait_s(1, now)
                return None
        return _order(epoch, server, OrderKind.LOAD, goal.model, "")

    def _adapter_order(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        goal: Goal,
        epoch: int,
        now: float,
    ) -> ServerOrder | None:
        spec = fleet.engine.model_by_name[goal.model]
        if not server.holds_model(goal.model):
            server.goals.popleft()
            return None
        fits = server.adapter_count() < fleet.engine.adapter_slots and (
            server.used_mb(fleet.engine) + spec.adapter_mb <= fleet.engine.weights_mb
        )
        if fits:
            return _order(epoch, server, OrderKind.LOAD, goal.model, goal.adapter)
        victim = fleet.adapter_victim(server, now)
        if victim is None:
            # All are in use; the asker asks again.
            server.goals.popleft()
            return None
        return _order(epoch, server, OrderKind.UNLOAD, *victim)

    def _load_bucket(self, service: str, engine: EngineSpec, now: float) -> TokenBucket:
        """Return the bucket of loads from the weight store.

        The bound on a window of w seconds is rate x w x overage + 3. Two leaders in a
        row each grant their burst at most beside the rate, so twice the burst must not
        exceed 3. A later leader starts without it, as the last one may just have
        loaded.
        """
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            make = TokenBucket.full if self._first_start else TokenBucket.empty
            bucket = make(engine.store_loads_per_s, LOAD_BURST, now)
            self._bucket_by_service[service] = bucket
            self._first_start = False
        return bucket


def _order(
    epoch: int, server: ManagedServer, kind: OrderKind, model: str, adapter: str
) -> ServerOrder:
    record = server.record
    return ServerOrder(
        server_id=record.server_id,
        host=record.host,
        port=record.port,
        kind=kind,
        model=model,
        adapter=adapter,
        expected_count=server.order_count or 0,
        epoch=epoch,
    )
