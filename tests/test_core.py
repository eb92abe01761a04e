"""Tests of tasks and the dispatcher: delivery, bounds and reply addresses."""

from __future__ import annotations

import attrs
import gevent

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.decision import Decision
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.errors import InvariantError
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.core.task import DecisionTask

WAIT_S = 5.0


@attrs.frozen
class Number(Message):
    """A number to be doubled."""

    value: int


class DoublingDecision(Decision):
    """Replies with the double of a number; a negative one breaks an invariant."""

    def __init__(self) -> None:
        self.requesters: list[Address] = []

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        assert isinstance(incoming.message, Number)
        if incoming.message.value < 0:
            raise InvariantError("negative")
        if incoming.message.value == 0:
            raise ValueError("zero")
        self.requesters.append(incoming.sender)
        return [Outgoing(incoming.sender, Number(incoming.message.value * 2))]


def start_task(decision: Decision) -> tuple[Dispatcher, DecisionTask]:
    """Return a dispatcher with one running task named ``doubling``."""
    dispatcher = Dispatcher("i1")
    task = DecisionTask("doubling", dispatcher, MonotonicClock(), decision)
    task.start()
    return dispatcher, task


def test_ask_returns_the_reply_and_forgets_its_address() -> None:
    """Guards against leaked reply addresses and against accepting a late reply."""
    decision = DoublingDecision()
    dispatcher, task = start_task(decision)
    assert dispatcher.ask(task.address, Number(4), WAIT_S) == Number(8)
    late = Incoming(task.address, Number(8))
    assert not dispatcher.deliver(decision.requesters[0], late)
    task.stop()


def test_reply_addresses_differ_between_processes_with_one_id() -> None:
    """Guards against a late reply to an earlier process reaching a new requester."""
    requesters = []
    for _ in range(2):
        decision = DoublingDecision()
        dispatcher, task = start_task(decision)
        dispatcher.ask(task.address, Number(1), WAIT_S)
        requesters.append(decision.requesters[0])
        task.stop()
    assert requesters[0] != requesters[1]


def test_failure_of_one_message_does_not_end_the_task() -> None:
    """Guards against one bad message ending a task."""
    dispatcher, task = start_task(DoublingDecision())
    assert dispatcher.ask(task.address, Number(0), 0.05) is None
    assert dispatcher.ask(task.address, Number(3), WAIT_S) == Number(6)
    task.stop()


def test_broken_invariant_ends_the_task_and_is_reported() -> None:
    """Guards against continuing with inconsistent state."""
    dispatcher, task = start_task(DoublingDecision())
    crashes: gevent.queue.Queue[BaseException] = gevent.queue.Queue()
    task.on_crash(crashes.put)
    assert dispatcher.ask(task.address, Number(-1), 0.05) is None
    assert isinstance(crashes.get(timeout=WAIT_S), InvariantError)


def test_full_inbox_refuses_instead_of_growing() -> None:
    """Guards against unbounded memory use when a task is blocked."""
    dispatcher = Dispatcher("i1")
    task = DecisionTask("doubling", dispatcher, MonotonicClock(), DoublingDecision())
    sender = Address("i1", "test")
    accepted = 0
    while accepted < 20_000 and task.post(Incoming(sender, Number(1))):
        accepted += 1
    assert accepted == 10_000
    assert dispatcher.ask(task.address, Number(1), 0.05) is None
