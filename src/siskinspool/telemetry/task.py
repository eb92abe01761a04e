"""The telemetry task: owns the histograms and the connection to statsd."""

from __future__ import annotations

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Incoming, Outgoing
from ..core.task import Task
from .histograms import HistogramSet
from .messages import AskHistograms, CallMeasured, Histograms
from .metrics import Metrics


class TelemetryTask(Task):
    """Counts calls; task name ``telemetry``."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, metrics: Metrics) -> None:
        super().__init__("telemetry", dispatcher, clock)
        self._metrics = metrics
        self._histograms = HistogramSet()

    def handle(self, incoming: Incoming) -> None:
        """Record a call or answer with the histograms."""
        match incoming.message:
            case CallMeasured() as measured:
                self._record(measured)
            case AskHistograms():
                answer = Histograms(self._histograms.encode())
                self.dispatcher.send(self.address, Outgoing(incoming.sender, answer))

    def _record(self, measured: CallMeasured) -> None:
        team = measured.team or "open"
        name = f"calls.{team}.{measured.request_class}"
        self._metrics.count(f"{name}.{measured.outcome}")
        self._metrics.time_s(f"{name}.duration", measured.duration_s)
        key = f"{team}/{measured.request_class}"
        self._histograms.record_s(f"{key}/duration", measured.duration_s)
        if measured.first_byte_s is not None:
            self._metrics.time_s(f"{name}.first_byte", measured.first_byte_s)
            self._histograms.record_s(f"{key}/first_byte", measured.first_byte_s)
