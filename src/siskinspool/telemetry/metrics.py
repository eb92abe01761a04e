"""Metrics.

`Metrics` is the interface for counters, gauges and timers; `StatsdMetrics` sends them
by UDP. Names have the form ``siskinspool.<subject>.<team>.<class>.<what>``; team ids
come from the manifest, so their number is bounded.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from statsd import StatsClient

from ..settings import Endpoint

PREFIX = "siskinspool"


class Metrics(ABC):
    """Interface of metrics sinks; calls never block and never raise."""

    @abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def time_s(self, name: str, seconds: float) -> None:
        """Record a duration."""

    @classmethod
    def from_settings(cls, endpoint: Endpoint | None) -> Metrics:
        """Return the sink for the configured endpoint."""
        return NullMetrics() if endpoint is None else StatsdMetrics(endpoint)


class NullMetrics(Metrics):
    """Discards all metrics."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def time_s(self, name: str, seconds: float) -> None:
        """Record a duration."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._client = StatsClient(endpoint.host, endpoint.port, prefix=PREFIX)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def time_s(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._client.timing(name, seconds * 1000)
