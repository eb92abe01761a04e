"""Tasks: greenlets that own their state and sockets.

A task waits on its inbox until its next deadline and handles one message at a time, so
its state needs no lock. `DecisionTask` runs a `Decision`: it passes the current time
and sends the returned messages.
"""

from __future__ import annotations

import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

import gevent
from gevent.queue import Empty, Full, Queue

from ..telemetry.logs import log_event
from .clock import Clock
from .decision import Decision
from .dispatcher import Dispatcher, Inbox
from .errors import InvariantError
from .message import Address, Incoming, Message, Outgoing
from .status import GaugesReply, GetGauges, GetStatus, StatusReply
from .task_load import TaskLoad

logger = logging.getLogger(__name__)

INBOX_CAPACITY_MESSAGES: Final = 10_000


class Task(Inbox):
    """A greenlet with a bounded inbox."""

    def __init__(self, name: str, dispatcher: Dispatcher, clock: Clock) -> None:
        self.name = name
        self.dispatcher = dispatcher
        self.clock = clock
        self.load = TaskLoad(name)
        self._queue: Queue[Incoming | None] = Queue(INBOX_CAPACITY_MESSAGES)
        self._greenlet: gevent.Greenlet[..., None] | None = None
        dispatcher.register(name, self)

    @property
    def address(self) -> Address:
        """Return the address of this task."""
        return self.dispatcher.address(self.name)

    def post(self, incoming: Incoming) -> bool:
        """Queue a message; return False if the inbox is full."""
        try:
            self._queue.put_nowait(incoming)
        except Full:
            return False
        return True

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def on_crash(self, callback: Callable[[BaseException], None]) -> None:
        """Call ``callback`` if a broken invariant ends the task."""

        def report(greenlet: gevent.Greenlet[..., None]) -> None:
            if greenlet.exception is not None:
                callback(greenlet.exception)

        if self._greenlet is not None:
            self._greenlet.link_exception(report)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Handle the queued messages, then end the greenlet."""
        if self._greenlet is None:
            return
        self._queue.put(None)
        self._greenlet.join(timeout_s)
        self._greenlet.kill()
        self._greenlet = None

    def _run(self) -> None:
        while True:
            due = self.wake_at()
            waits_since = self.clock.now()
            try:
                incoming = self._queue.get(timeout=self._wait_s(due))
            except Empty:
                if due is not None:
                    self.load.record_wake(self.clock.now() - max(due, waits_since))
                self._on_time_guarded()
                continue
            if incoming is None:
                return
            self._handle_guarded(incoming)
            wake_at = self.wake_at()
            if wake_at is not None and wake_at <= self.clock.now():
                self._on_time_guarded()

    def _wait_s(self, wake_at: float | None) -> float | None:
        if wake_at is None:
            return None
        # Avoids a busy loop if on_time does not advance a wake-up time in the past.
        return max(wake_at - self.clock.now(), 0.001)

    def _handle_guarded(self, incoming: Incoming) -> None:
        try:
            self.handle(incoming)
        except InvariantError:
            raise
        except Exception:
            self._log_failure(type(incoming.message).__name__)

    def _on_time_guarded(self) -> None:
        try:
            self.on_time()
        except InvariantError:
            raise
        except Exception:
            self._log_failure("on_time")

    def _log_failure(self, during: str) -> None:
        log_event(
            logger,
            logging.ERROR,
            "task_failed",
            with_traceback=True,
            task=self.name,
            during=during,
        )

    @abstractmethod
    def handle(self, incoming: Incoming) -> None:
        """Handle one message."""

    def on_time(self) -> None:
        """Do the work that is due."""
        return

    def wake_at(self) -> float | None:
        """Return when `on_time` is due next, in monotonic seconds."""
        return None


class DecisionTask(Task):
    """Runs one decision."""

    def __init__(
        self, name: str, dispatcher: Dispatcher, clock: Clock, decision: Decision
    ) -> None:
        super().__init__(name, dispatcher, clock)
        self.decision = decision

    def handle(self, incoming: Incoming) -> None:
        """Pass one message to the decision and send its output."""
        answer = self._build_inspection_reply(incoming.message)
        if answer is not None:
            self.dispatcher.send(self.address, Outgoing(incoming.sender, answer))
            return
        self.load.record_message()
        began_s = time.thread_time()
        batch = self.decision.handle(incoming, self.clock.now())
        self._record_work(began_s)
        self.dispatcher.send_all(self.address, batch)

    def _record_work(self, began_s: float) -> None:
        """Add the processor time since ``began_s``; a decision never yields."""
        processor_s = time.thread_time() - began_s
        queued = self._queue.qsize()
        self.load.record_work(processor_s, self.clock.now(), queued)

    def _build_inspection_reply(self, query: Message) -> Message | None:
        match query:
            case GetStatus():
                return StatusReply(self.decision.status(self.clock.now()))
            case GetGauges():
                return GaugesReply(self.decision.gauges() | self.load.gauges())
        return None

    def on_time(self) -> None:
        """Run the decision's due work and send its output."""
        began_s = time.thread_time()
        batch = self.decision.on_time(self.clock.now())
        self._record_work(began_s)
        self.dispatcher.send_all(self.address, batch)

    def wake_at(self) -> float | None:
        """Return the decision's next deadline."""
        return self.decision.wake_at()


class Service(ABC):
    """A part of an instance with its own greenlets, such as a socket server."""

    @abstractmethod
    def start(self) -> None:
        """Start serving."""

    @abstractmethod
    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop serving; running work may finish within the timeout."""
