"""A simulated day whose leader needs time for its work.

The leader handles one message at a time, and each takes processor time in proportion to
the servers that it prices and looks at. Its orders, and the renewals that extend its
term, go through the same process, so they wait while it is busy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final

from siskinspool.core.decision import Decision
from siskinspool.core.message import Address, Message
from siskinspool.gateway.messages import (
    PLACEMENT_TASK,
    LeadershipExtended,
    LeadershipHeld,
    OrderEnded,
    OrderResult,
    ServerOrder,
)
from siskinspool.gateway.placement import Placement

from .builders_store_plan import DayPlan
from .builders_store_simulation import StoreDaySimulation

# Processor time of a message, and of a unit of work for plans.
MESSAGE_S: Final = 0.0003
UNIT_S: Final = 0.0004
RENEW_INTERVAL_S: Final = 0.7
SESSION_S: Final = 2.5


class LateLeaderSimulation(StoreDaySimulation):
    """Simulates one day with a leader of limited speed; there is no succession."""

    def __init__(self, plan: DayPlan) -> None:
        super().__init__(plan)
        self._busy_until = float("-inf")
        # Steps that wait for the leader, with the times since when.
        self._waiting_steps: deque[tuple[float, Callable[[], None]]] = deque()
        self.longest_wait_s = 0.0
        self.withheld_orders = 0

    def _is_leader(self, instance: str, task: str) -> bool:
        return (instance, task) == (self._leader, PLACEMENT_TASK)

    def _run_at_leader(self, step: Callable[[], None]) -> None:
        """Run a step at the leader once it has done what came before."""
        self._waiting_steps.append((self._now, step))
        if len(self._waiting_steps) == 1:
            self._schedule_at(max(self._busy_until, self._now), self._run_next_step)

    def _run_next_step(self) -> None:
        since, step = self._waiting_steps[0]
        self.longest_wait_s = max(self.longest_wait_s, self._now - since)
        placement = self._decision_by_address[(self._leader, PLACEMENT_TASK)]
        assert isinstance(placement, Placement)
        work_before = placement.gauges()["placement.work"]
        step()
        work = placement.gauges()["placement.work"] - work_before
        self._busy_until = self._now + MESSAGE_S + work * UNIT_S
        self._waiting_steps.popleft()
        if self._waiting_steps:
            self._schedule_at(self._busy_until, self._run_next_step)

    def _wake_at(self, address: tuple[str, str]) -> float | None:
        at = super()._wake_at(address)
        if at is None or not self._is_leader(*address):
            return at
        return None if self._waiting_steps else max(at, self._busy_until)

    def _wake(self, address: tuple[str, str]) -> None:
        if self._is_leader(*address):
            self._run_at_leader(partial(super()._wake, address))
        else:
            super()._wake(address)

    def _handle_now(self, instance: str, task: str, message: Message) -> None:
        handle = partial(super()._handle_now, instance, task, message)
        if self._is_leader(instance, task):
            self._run_at_leader(handle)
        else:
            handle()

    def _handle_from_peer(
        self, sender: str, to: Address, decision: Decision, message: Message
    ) -> None:
        handle = partial(super()._handle_from_peer, sender, to, decision, message)
        if self._is_leader(to.instance_id, to.task):
            self._run_at_leader(handle)
        else:
            handle()

    def _begin_term(self, wait_s: float = 0.0) -> None:
        super()._begin_term(wait_s)
        held = LeadershipHeld(self._epoch, self._now + wait_s)
        self._handle_now(self._leader, PLACEMENT_TASK, held)
        self._renew()

    def _renew(self) -> None:
        until = LeadershipExtended(self._now + SESSION_S)
        self._handle_now(self._leader, PLACEMENT_TASK, until)
        self._schedule_after(RENEW_INTERVAL_S, self._renew)

    def _handle_order(self, leader: str, message: Message) -> None:
        if isinstance(message, ServerOrder):
            self._run_at_leader(partial(self._send_order, leader, message))
        else:
            super()._handle_order(leader, message)

    def _send_order(self, leader: str, order: ServerOrder) -> None:
        if self._now < order.until_s:
            super()._handle_order(leader, order)
            return
        self.withheld_orders += 1
        ended = OrderEnded(order, OrderResult.WITHHELD)
        self._handle_now(leader, PLACEMENT_TASK, ended)
