"""Crowds of callers that send or read without regard must not end a process.

Each test checks only that the process lives, that its peak memory and its open
descriptors stay under the bounds of its machine, and that an ordinary request is
answered afterwards, while the crowd is still connected. Run them one at a time.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from siskinspool.standins.site import SitePlan

from .builders_gateway_site import set_faults
from .builders_site import ask, running_site
from .builders_uncontrolled_callers import (
    BYTES_PER_MB,
    MAX_FDS,
    MEMORY_MB,
    Caller,
    IdleCaller,
    ProcessFigures,
    SlowReader,
    SmallMachine,
    UnfinishedBody,
    crowd,
    request_head,
    small_machine,
)

# Of a machine whose settings state no memory.
DEFAULT_MEMORY_MB = 300
ORDINARY_BODY = b"an ordinary request"
BODY_FORMS = {
    "length": UnfinishedBody.with_length(),
    "large-chunks": UnfinishedBody.in_chunks(65_536),
    "tiny-chunks": UnfinishedBody.in_chunks(4),
}
CONNECTION_FORMS = {
    "idle": IdleCaller(),
    "unfinished": UnfinishedBody.with_length(100),
}
READER_FORMS = {
    "whole": SlowReader(request_head("GET", "/status/1")),
    "stream": SlowReader(
        request_head(
            "POST", "/quote/1", "Model: m0", "Token-Count: 10,2", "Content-Length: 0"
        )
    ),
}


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[SmallMachine]:
    with small_machine(tmp_path) as made:
        yield made


def check_process(machine: SmallMachine) -> None:
    """Fail unless the gateway lives within its bounds and serves a request."""
    answer = machine.gateway.send("POST", "/deposit/2", ORDINARY_BODY)
    assert answer[0] == 200 and answer[2] == b"answer of " + ORDINARY_BODY
    assert machine.gateway.popen.poll() is None
    check_figures(machine.figures(), MEMORY_MB)


def check_figures(figures: ProcessFigures, memory_mb: int) -> None:
    """Fail unless a process has stayed within its machine."""
    print(figures)
    assert figures.peak_bytes < memory_mb * BYTES_PER_MB
    assert figures.fd_count < MAX_FDS


@pytest.mark.parametrize("form", BODY_FORMS)
def test_unfinished_bodies(machine: SmallMachine, form: str) -> None:
    """Guards against keeping every large body that stops short of its end."""
    with crowd(machine.gateway.front) as callers:
        callers.add(100, BODY_FORMS[form])
        callers.wait()
        check_process(machine)


@pytest.mark.parametrize("form", READER_FORMS)
def test_slow_readers(machine: SmallMachine, form: str) -> None:
    """Guards against keeping long answers for callers that hardly read them."""
    faults = {"answer_bytes": 4_000_000, "event_bytes": 200_000, "event_count": 30}
    for server in machine.servers:
        set_faults(server, **faults)
    with crowd(machine.gateway.front) as callers:
        callers.add(60, READER_FORMS[form], pause_s=0.1)
        callers.wait()
        for server in machine.servers:
            set_faults(server, **dict.fromkeys(faults, 0))
        check_process(machine)


def test_whole_bodies_with_slow_readers(machine: SmallMachine) -> None:
    """Guards against requests that outlive their end with body and answer."""
    with crowd(machine.gateway.front) as callers:
        callers.add(100, SlowReader.with_whole_body())
        callers.wait()
        check_process(machine)


@pytest.mark.parametrize("form", CONNECTION_FORMS)
def test_connections_of_the_front(machine: SmallMachine, form: str) -> None:
    """Guards against spending all descriptors on callers' connections."""
    with crowd(machine.gateway.front) as callers:
        callers.add(600, CONNECTION_FORMS[form], pause_s=0.001)
        callers.wait()
        check_process(machine)


@pytest.mark.parametrize("listener", ["ready", "metrics"])
def test_connections_of_the_pages(machine: SmallMachine, listener: str) -> None:
    """Guards against spending all descriptors on the internal listeners."""
    with crowd(getattr(machine.gateway, listener)) as callers:
        callers.add(600, IdleCaller(), pause_s=0.001)
        callers.wait()
        check_process(machine)
        assert machine.gateway.is_ready()


def test_unfinished_bodies_at_the_other_front_end(tmp_path: Path) -> None:
    """Guards against a protection that only the platform's front end has."""
    plan = SitePlan(zones=("a",), instances=1, servers=1)
    caller: Caller = UnfinishedBody.with_length(path="/deposits")
    with running_site(plan, tmp_path) as site:
        process = site.processes.process_by_name["instance-0"]
        with crowd(site.port_by_name["instance-0"]) as callers:
            callers.add(100, caller)
            callers.wait()
            reply = ask(site, 0, "POST", "/deposits", {"ref": "ordinary"})
            assert reply.status == 200
            assert process.is_alive
            figures = ProcessFigures.from_pid(process.popen.pid)
            check_figures(figures, DEFAULT_MEMORY_MB)
