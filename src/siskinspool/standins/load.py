"""Load tool: sends scheduled requests to entry instances and records every result.

Each request has its own greenlet and connection. The command sends load to the ports of
any running instances; the measures call `run_load` directly.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import attrs
import click
import gevent
from gevent import socket

from .load_results import (
    INCOMPLETE,
    NO_ANSWER,
    RequestResult,
    Summary,
    group_by_team,
    summarize,
    to_json,
)
from .load_schedule import (
    Arrival,
    BurstFlow,
    Flow,
    RequestKind,
    SteadyFlow,
    build_schedule,
)

# Time after a request's deadline at which the client gives up.
CLIENT_GRACE_S: Final = 5.0
RECEIVE_BYTES: Final = 65_536
LAST_CHUNK: Final = b"0\r\n\r\n"
STREAM_END: Final = b"data: [DONE]"
EVENT_START: Final = b"data: {"


@attrs.frozen(kw_only=True)
class LoadTarget:
    """Ports that requests are sent to and API keys of the teams."""

    ports: tuple[int, ...]
    key_by_team: Mapping[str, str]
    host: str = "127.0.0.1"


def run_load(target: LoadTarget, schedule: Sequence[Arrival]) -> list[RequestResult]:
    """Send all requests at their scheduled times and wait for all results."""
    started_at = time.monotonic()
    greenlets: list[gevent.Greenlet[..., RequestResult]] = []
    for arrival in schedule:
        pause_s = started_at + arrival.at_s - time.monotonic()
        if pause_s > 0:
            gevent.sleep(pause_s)
        due_at = started_at + arrival.at_s
        greenlets.append(gevent.spawn(send_request, target, arrival, due_at))
    gevent.joinall(greenlets)
    return [greenlet.get() for greenlet in greenlets]


def send_request(target: LoadTarget, arrival: Arrival, due_at: float) -> RequestResult:
    """Send one request and return its result."""
    reader = _AnswerReader(arrival, due_at, time.monotonic() - due_at)
    timeout_s = arrival.deadline_ms / 1000 + CLIENT_GRACE_S
    sock: socket.socket | None = None
    try:
        with gevent.Timeout(timeout_s):
            port = target.ports[arrival.instance % len(target.ports)]
            sock = socket.create_connection((target.host, port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(encode_request(target, arrival))
            while data := sock.recv(RECEIVE_BYTES):
                reader.add(data, time.monotonic())
    except (OSError, gevent.Timeout):
        # The result is computed from the bytes that were received until then.
        pass
    finally:
        if sock is not None:
            sock.close()
    return reader.result(time.monotonic())


def encode_request(target: LoadTarget, arrival: Arrival) -> bytes:
    """Return the bytes of a completion request on a connection that then closes."""
    body = json.dumps(
        {
            "model": arrival.target,
            "max_tokens": arrival.max_tokens,
            "stream": arrival.streamed,
            "messages": [],
        }
    ).encode()
    key = target.key_by_team.get(arrival.team, "")
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {target.host}\r\nConnection: close\r\n"
        "Content-Type: application/json\r\n"
        f"Authorization: Bearer {key}\r\n"
        f"X-Siskin-Deadline-Ms: {arrival.deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _AnswerReader:
    """Collects the bytes of one answer and classifies it."""

    def __init__(self, arrival: Arrival, due_at: float, late_s: float) -> None:
        self._arrival = arrival
        self._due_at = due_at
        self._late_s = late_s
        self._parts: list[bytes] = []
        self._first_token_at: float | None = None

    def add(self, data: bytes, now: float) -> None:
        """Add received bytes; the first ones after the head are the first token."""
        self._parts.append(data)
        if self._first_token_at is None:
            head = b"".join(self._parts[:8])
            _, end, body = head.partition(b"\r\n\r\n")
            if end and body:
                self._first_token_at = now

    def result(self, now: float) -> RequestResult:
        """Return the result of the request from the bytes that were added."""
        head, _, body = b"".join(self._parts).partition(b"\r\n\r\n")
        status = _parse_status(head)
        code, run = self._classify(status, head, body)
        first_token_at = self._first_token_at
        return RequestResult(
            arrival=self._arrival,
            status=status,
            code=code,
            run=run,
            first_token_s=first_token_at - self._due_at if first_token_at else None,
            total_s=now - self._due_at,
            late_s=self._late_s,
        )

    def _classify(self, status: int, head: bytes, body: bytes) -> tuple[str, str]:
        if status == 0:
            return NO_ANSWER, ""
        if status != 200:
            return _parse_problem(status, body)
        if self._arrival.streamed:
            return ("", "") if self._is_whole_stream(body) else (INCOMPLETE, "")
        return ("", "") if len(body) == _content_length(head) else (INCOMPLETE, "")

    def _is_whole_stream(self, body: bytes) -> bool:
        events = body.count(EVENT_START)
        # Each token is one event, and one more event carries the usage.
        return (
            events == self._arrival.max_tokens + 1
            and STREAM_END in body
            and body.endswith(LAST_CHUNK)
        )


def _parse_status(head: bytes) -> int:
    parts = head.split(b" ", 2)
    return int(parts[1]) if len(parts) == 3 and parts[1].isdigit() else 0


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, text = line.partition(b":")
        if name.lower() == b"content-length":
            return int(text)
    return -1


def _parse_problem(status: int, body: bytes) -> tuple[str, str]:
    try:
        document = json.loads(body)
        return str(document["code"]), str(document.get("run", ""))
    except (ValueError, KeyError, TypeError):
        return f"status_{status}", ""


def build_report(results: Sequence[RequestResult]) -> dict[str, Any]:
    """Return the summaries of all requests and of each team as JSON."""
    summary_by_team: dict[str, Summary] = {
        team: summarize(team_results)
        for team, team_results in group_by_team(results).items()
    }
    return {
        "all": to_json(summarize(results)),
        "teams": {team: to_json(summary) for team, summary in summary_by_team.items()},
    }


def run_closed_loop(
    target: LoadTarget,
    make_arrival: Callable[[], Arrival],
    workers: int,
    seconds: float,
) -> list[RequestResult]:
    """Keep ``workers`` requests in flight, to find the highest throughput."""
    results: list[RequestResult] = []
    end_at = time.monotonic() + seconds

    def run_worker() -> None:
        while time.monotonic() < end_at:
            results.append(send_request(target, make_arrival(), time.monotonic()))

    gevent.joinall([gevent.spawn(run_worker) for _ in range(workers)])
    return results


@click.command()
@click.option("--port", "ports", multiple=True, required=True, type=int)
@click.option("--key", required=True, help="Key of the team.")
@click.option("--team", default="team", help="Name of the team in the result.")
@click.option("--model", "models", multiple=True, required=True)
@click.option("--per-s", default=10.0, help="Arrivals per second.")
@click.option("--seconds", default=10.0)
@click.option("--burst", default=0, help="Requests to each instance at the start.")
@click.option("--workers", default=0, help="Closed loop with this many requests.")
@click.option("--max-tokens", default=16)
@click.option("--streamed-share", default=1.0)
@click.option("--deadline-ms", default=30_000)
@click.option("--seed", default=1)
def main(
    ports: tuple[int, ...],
    key: str,
    team: str,
    models: tuple[str, ...],
    per_s: float,
    seconds: float,
    burst: int,
    workers: int,
    seed: int,
    **kind_options: Any,
) -> None:
    """Send load to running instances on loopback and print the result as JSON."""
    kind = RequestKind(
        team=team, targets=models, instances=tuple(range(len(ports))), **kind_options
    )
    target = LoadTarget(ports=ports, key_by_team={team: key})
    flows: list[Flow] = [SteadyFlow(kind=kind, per_s=per_s, duration_s=seconds)]
    if burst:
        flows.append(BurstFlow(kind=kind, at_s=0.0, per_instance=burst))
    schedule = build_schedule(flows, seed)
    started_at = time.monotonic()
    if workers:
        numbers = iter(range(1_000_000_000))
        results = run_closed_loop(
            target, lambda: schedule[next(numbers) % len(schedule)], workers, seconds
        )
    else:
        results = run_load(target, schedule)
    took_s = time.monotonic() - started_at
    click.echo(json.dumps({"took_s": round(took_s, 3), **build_report(results)}))


if __name__ == "__main__":
    main()
