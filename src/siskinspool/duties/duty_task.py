"""The task ``duties``: sends the calls of the holder to the platform.

Each call runs in a greenlet of its own. Whether it may be sent is checked again when
the connection is open, since the process may have been frozen in between.
"""

from __future__ import annotations

import logging

import attrs
import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import GaugesReply, GetGauges, GetStatus, StatusReply
from ..core.task import Task
from ..gateway.messages import LeadershipLost
from ..telemetry.logs import log_event
from .duty_calls import DutyCalls
from .duty_messages import (
    DUTY_TASK,
    SCALING_TASK,
    USAGE_WINDOWS_TASK,
    DutyEnded,
    DutyOrder,
    DutyResult,
    UsageOrder,
)
from .duty_queue import DutyQueue
from .duty_settings import DutySettings
from .holder_term import HolderTerm

logger = logging.getLogger(__name__)


@attrs.frozen
class _CallEnded(Message):
    order: DutyOrder
    result: DutyResult


class DutyTask(Task):
    """Owns the calls to the platform."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        settings: DutySettings,
        calls: DutyCalls,
    ) -> None:
        super().__init__(DUTY_TASK, dispatcher, clock)
        self._calls = calls
        self._term = HolderTerm(settings, clock.now())
        self._call_count_by_result = dict.fromkeys(DutyResult, 0)
        self._orders = DutyQueue(settings.calls_per_s, clock.now())

    def handle(self, incoming: Incoming) -> None:
        """Handle an order, the end of a call or a change of the leadership."""
        now = self.clock.now()
        match incoming.message:
            case DutyOrder() as order:
                if order.epoch == self._term.epoch and not self._orders.put(order, now):
                    log_event(logger, logging.WARNING, "duty_queue_full")
            case _CallEnded(order, result):
                self._on_ended(order, result, now)
            case GetStatus():
                fields = {"epoch": self._term.epoch, "waiting": len(self._orders)}
                self._send(incoming.sender, StatusReply(fields))
            case GetGauges():
                self._send(incoming.sender, GaugesReply(self._gauges()))
            case LeadershipLost() as lost:
                self._orders.clear()
                self._term.handle(lost, now)
            case other:
                self._term.handle(other, now)
        self._start_calls()

    def on_time(self) -> None:
        """Send the orders that are due."""
        self._start_calls()

    def wake_at(self) -> float | None:
        """Return when the next order may be sent."""
        now = self.clock.now()
        if not self._term.allows_calls(now):
            # A message of the leadership begins or extends the term.
            from_s = self._term.calls_from_s()
            return from_s if now < from_s else None
        return self._orders.wake_at(now)

    def _start_calls(self) -> None:
        now = self.clock.now()
        while self._term.allows_calls(now) and (order := self._orders.pop(now)):
            gevent.spawn(self._call, order)

    def _call(self, order: DutyOrder) -> None:
        def may_send() -> bool:
            is_current = order.epoch == self._term.epoch
            return is_current and self._term.allows_calls(self.clock.now())

        result = DutyResult.UNKNOWN
        try:
            result = self._calls.send(order, self.dispatcher.instance_id, may_send)
        finally:
            self._send(self.address, _CallEnded(order, result))

    def _on_ended(self, order: DutyOrder, result: DutyResult, now: float) -> None:
        self._call_count_by_result[result] += 1
        is_current = order.epoch == self._term.epoch
        is_finished = self._orders.finish(order, result, now, may_repeat=is_current)
        if not is_current:
            return
        if result is DutyResult.REFUSED_EPOCH:
            self._term.refuse(order.epoch)
            self._orders.clear()
        if result is not DutyResult.DONE:
            log_event(
                logger,
                logging.WARNING,
                "duty_call_failed",
                subject=order.subject,
                epoch=order.epoch,
                result=result,
            )
        if is_finished:
            is_usage = isinstance(order, UsageOrder)
            task = USAGE_WINDOWS_TASK if is_usage else SCALING_TASK
            self._send(self.dispatcher.address(task), DutyEnded(order, result))

    def _gauges(self) -> dict[str, float]:
        counts = self._call_count_by_result.items()
        gauges = {f"duties.calls_{result}": float(count) for result, count in counts}
        return gauges | {"duties.waiting": float(len(self._orders))}

    def _send(self, recipient: Address, message: Message) -> None:
        self.dispatcher.send(self.address, Outgoing(recipient, message))
