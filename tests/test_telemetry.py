"""Log lines, trace context, metrics and histograms."""

from __future__ import annotations

import io
import logging
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import gevent
import pytest

from siskinspool.contracts.api_key import issue_key
from siskinspool.contracts.trace_context import TRACEPARENT, trace_headers, trace_id
from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.member import MembershipChanged
from siskinspool.core.message import Outgoing
from siskinspool.machines.messages import CatalogChanged, OwnershipGained
from siskinspool.manifest.model import RequestClass
from siskinspool.settings import Endpoint
from siskinspool.telemetry.histograms import HistogramSet, merge_histograms
from siskinspool.telemetry.logs import KeyValueFormatter, log_event
from siskinspool.telemetry.messages import CallMeasured
from siskinspool.telemetry.metrics import Metrics
from siskinspool.telemetry.task import TelemetryTask

from .builders import catalog, member

SAMPLE_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
# Fails in every way that could print to standard error without the logger.
FAILING_PROGRAM = """
import gevent, threading, warnings
from siskinspool.telemetry.logs import configure_logging
configure_logging("info")
def fail():
    b"prompt-in-data \\xff".decode()
gevent.spawn(fail).join()
thread = threading.Thread(target=fail)
thread.start()
thread.join()
warnings.warn("two\\nlines")
raise ValueError("prompt-in-data")
"""


@pytest.fixture
def lines() -> Iterator[io.StringIO]:
    """Return the output of a logger with the project's formatter."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    logger = logging.getLogger("siskinspool.test")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield stream
    logger.removeHandler(handler)


def test_an_event_is_one_line_without_keys(lines: io.StringIO) -> None:
    """Guards against lines split by a caller's text, and keys in a path (R4)."""
    key = issue_key("web-1", "t1").text
    logger = logging.getLogger("siskinspool.test")
    log_event(logger, logging.INFO, "refused", path=f"/a/{key}\nevent=x", team="desk-1")
    text = lines.getvalue()
    assert text.count("\n") == 1 and key not in text
    assert "[key]" in text and "team=desk-1" in text


def test_failures_outside_of_tasks_are_events() -> None:
    """Guards against tracebacks of many lines, and data quoted by exceptions (R4)."""
    program = [sys.executable, "-c", FAILING_PROGRAM]
    process = subprocess.run(program, capture_output=True, text=True, timeout=60)
    log_lines = process.stderr.splitlines()
    assert process.returncode == 1 and "prompt-in-data" not in process.stderr
    assert all(line.startswith("ts=") and " event=" in line for line in log_lines)
    for event in ("greenlet_failed", "uncaught_exception", "log"):
        assert any(f"event={event} " in line for line in log_lines)
    assert sum("event=uncaught_exception" in line for line in log_lines) == 2


def test_trace_context_is_kept_or_made() -> None:
    """Guards against a trace context that is lost or changed at an instance."""
    headers = {TRACEPARENT: SAMPLE_TRACEPARENT, "tracestate": "a=1"}
    assert trace_headers(headers, "c1") == headers
    created = trace_headers({"accept": "*/*"}, "c1")
    assert trace_id(created[TRACEPARENT]) and created["accept"] == "*/*"
    assert created == trace_headers(created, "c2")
    assert created != trace_headers({"accept": "*/*"}, "c2")


@pytest.mark.parametrize(
    "wrong",
    [
        "",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        f"{SAMPLE_TRACEPARENT}-more",
        SAMPLE_TRACEPARENT.replace("00-", "ff-", 1),
        SAMPLE_TRACEPARENT.upper(),
        f"00-{'0' * 32}-b7ad6b7169203331-01",
        f"00-0af7651916cd43dd8448eb211c80319c-{'0' * 16}-01",
    ],
)
def test_wrong_trace_context_is_replaced(wrong: str) -> None:
    """Guards against a malformed header that is passed on to servers."""
    created = trace_headers({TRACEPARENT: wrong, "tracestate": "a=1"}, "c1")
    assert trace_id(created[TRACEPARENT]) and "tracestate" not in created


def test_metrics_arrive_over_udp() -> None:
    """Guards against counters, timers or gauges that do not reach statsd."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(0.05)
        metrics = Metrics.from_settings(
            Endpoint(host="127.0.0.1", port=receiver.getsockname()[1])
        )
        dispatcher = Dispatcher("i1")
        task = TelemetryTask(
            dispatcher, MonotonicClock(), metrics, gauge_interval_s=0.2
        )
        measured = CallMeasured(
            team="t1",
            request_class=RequestClass.URGENT,
            outcome="ok",
            duration_s=0.25,
            first_byte_s=0.125,
        )
        for message in (
            CatalogChanged(catalog(revision=7)),
            MembershipChanged({"i1": member()}),
            OwnershipGained("limits/3", 1),
            measured,
        ):
            dispatcher.send(task.address, Outgoing(task.address, message))
        task.start()
        try:
            packets = received(receiver, 6)
        finally:
            task.stop()
    assert packets == {
        "siskinspool.calls.t1.urgent.ok:1|c",
        "siskinspool.calls.t1.urgent.duration:250.000000|ms",
        "siskinspool.calls.t1.urgent.first_byte:125.000000|ms",
        "siskinspool.instances.i1.revision:7|g",
        "siskinspool.instances.i1.members:1|g",
        "siskinspool.instances.i1.owned_partitions:1|g",
    }


def received(receiver: socket.socket, count: int, timeout_s: float = 8.0) -> set[str]:
    """Return the packets received until ``count`` have arrived or the timeout ends."""
    packets: set[str] = set()
    ends_at = time.monotonic() + timeout_s
    while len(packets) < count and time.monotonic() < ends_at:
        try:
            packets.add(receiver.recv(1024).decode())
        except TimeoutError:
            gevent.sleep(0.01)
    return packets


def test_histograms_of_instances_add_up() -> None:
    """Guards against percentiles computed as means of instances' percentiles."""
    fast, slow = HistogramSet(), HistogramSet()
    for _ in range(90):
        fast.record_s("t1/urgent/duration", 0.01)
    for _ in range(10):
        slow.record_s("t1/urgent/duration", 1.0)
    slow.record_s("t2/urgent/duration", 0.5)
    merged = merge_histograms([fast.encode(), slow.encode()])
    combined = merged["t1/urgent/duration"]
    assert combined.get_total_count() == 100
    assert combined.get_value_at_percentile(50) == 10
    assert combined.get_value_at_percentile(95) == pytest.approx(1000, rel=0.01)
    assert merged["t2/urgent/duration"].get_total_count() == 1
