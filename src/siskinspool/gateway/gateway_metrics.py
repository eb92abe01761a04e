"""Counters and latency histograms of a gateway, served in Prometheus' text format."""

from __future__ import annotations

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Upper bounds of the buckets; latency targets lie between 0.15 and 3 s.
LATENCY_BOUNDS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0)


@attrs.frozen(kw_only=True)
class RequestMeasurement:
    """The outcome and latency of one finished request."""

    route: str
    team: str
    # "ok", "server_error", "cancelled" or an error code.
    outcome: str
    total_s: float
    # None if no part of an answer arrived.
    first_byte_s: float | None


class GatewayMetrics:
    """The metrics of one process; label values for routes and teams are configured."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "siskinspool_requests",
            "Requests by how they ended.",
            ("route", "team", "outcome"),
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "siskinspool_first_byte_seconds",
            "Time to the first part of the answer.",
            ("route",),
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._total = Histogram(
            "siskinspool_request_seconds",
            "Time to the end of the answer.",
            ("route",),
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._gauge = Gauge(
            "siskinspool_state",
            "Figures of the deciding tasks.",
            ("name",),
            registry=self._registry,
        )

    def record(self, measurement: RequestMeasurement) -> None:
        """Record a finished request."""
        self._requests.labels(
            measurement.route, measurement.team, measurement.outcome
        ).inc()
        self._total.labels(measurement.route).observe(measurement.total_s)
        if measurement.first_byte_s is not None:
            self._first_byte.labels(measurement.route).observe(measurement.first_byte_s)

    def set_gauges(self, value_by_name: dict[str, float]) -> None:
        """Set gauges from the figures of the deciding tasks."""
        for name, value in value_by_name.items():
            self._gauge.labels(name).set(value)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)
