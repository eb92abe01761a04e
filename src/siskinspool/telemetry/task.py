"""The telemetry task: owns the histograms and the connection to statsd.

Counters and timers are sent with each call. Gauges are stored here and sent again every
few seconds, because a UDP packet may be lost. Revision, members and owned partitions
come from the messages that go to all subscribers; queue lengths are requested by
`GetGauges`.
"""

from __future__ import annotations

from typing import Final

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.member import MembershipChanged
from ..core.message import Incoming, Message, Outgoing
from ..core.status import GaugesReply, GetGauges
from ..core.task import Task
from ..machines.messages import CatalogChanged, OwnershipGained, OwnershipLost
from .histograms import HistogramSet
from .messages import CallMeasured, GetHistograms, Histograms
from .metrics import Metrics

GAUGE_INTERVAL_S: Final = 5.0


class TelemetryTask(Task):
    """Counts calls and sends gauges; task name ``telemetry``."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        gauge_tasks: tuple[str, ...] = (),
        gauge_interval_s: float = GAUGE_INTERVAL_S,
    ) -> None:
        """Create the task; ``gauge_tasks`` are the tasks that are asked for gauges."""
        super().__init__("telemetry", dispatcher, clock)
        self._metrics = metrics
        self._gauge_tasks = gauge_tasks
        self._histograms = HistogramSet()
        self._value_by_gauge: dict[str, float] = {}
        self._owned: set[str] = set()
        self._gauge_interval_s = gauge_interval_s
        self._next_gauges_at = clock.now() + gauge_interval_s

    def handle(self, incoming: Incoming) -> None:
        """Record a call or a gauge, or answer with the histograms."""
        match incoming.message:
            case CallMeasured() as measured:
                self._record_call(measured)
            case GetHistograms():
                answer = Histograms(self._histograms.encode())
                self.dispatcher.send(self.address, Outgoing(incoming.sender, answer))
            case GaugesReply(value_by_name):
                self._value_by_gauge.update(value_by_name)
            case other:
                self._update_gauges(other)

    def on_time(self) -> None:
        """Send all gauges and request their next values."""
        self._next_gauges_at = self.clock.now() + self._gauge_interval_s
        instance = self.dispatcher.instance_id
        for name, value in self._value_by_gauge.items():
            self._metrics.gauge(f"instances.{instance}.{name}", value)
        for task in self._gauge_tasks:
            recipient = self.dispatcher.address(task)
            self.dispatcher.send(self.address, Outgoing(recipient, GetGauges()))

    def wake_at(self) -> float:
        """Return when the gauges are to be sent next."""
        return self._next_gauges_at

    def _update_gauges(self, message: Message) -> None:
        match message:
            case CatalogChanged(catalog):
                self._value_by_gauge["revision"] = catalog.revision
            case MembershipChanged(member_by_id):
                self._value_by_gauge["members"] = len(member_by_id)
            case OwnershipGained(partition):
                self._owned.add(partition)
            case OwnershipLost(partition):
                self._owned.discard(partition)
        self._value_by_gauge["owned_partitions"] = len(self._owned)

    def _record_call(self, measured: CallMeasured) -> None:
        team = measured.team or "open"
        name = f"calls.{team}.{measured.request_class}"
        self._metrics.count(f"{name}.{measured.outcome}")
        self._metrics.time_s(f"{name}.duration", measured.duration_s)
        key = f"{team}/{measured.request_class}"
        self._histograms.record_s(f"{key}/duration", measured.duration_s)
        if measured.first_byte_s is not None:
            self._metrics.time_s(f"{name}.first_byte", measured.first_byte_s)
            self._histograms.record_s(f"{key}/first_byte", measured.first_byte_s)
