"""Servers whose answers never end must not end a process or keep it busy.

Each test checks only that the process lives, that its peak memory stays under the bound
of its machine, and that an ordinary request to another service is answered meanwhile.
Run them one at a time.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from siskinspool.standins.platform_server import ENDLESS_ANSWERS

from .builders_gateway_site import set_faults
from .builders_uncontrolled_callers import (
    BYTES_PER_MB,
    MEMORY_MB,
    SlowReader,
    SmallMachine,
    crowd,
    request_head,
    small_machine,
)

# Callers of the service with a faulty server, and the pause between two of them.
CALLERS = 60
PAUSE_S = 0.1
STATUS = SlowReader(request_head("GET", "/status/1"))
QUOTE = {"Model": "m0", "Token-Count": "10,2"}


@pytest.fixture
def machine(tmp_path: Path) -> Iterator[SmallMachine]:
    with small_machine(tmp_path) as made:
        yield made


@pytest.mark.parametrize("form", ENDLESS_ANSWERS)
def test_answers_without_end(machine: SmallMachine, form: str) -> None:
    """Guards against a faulty server that takes all memory or the whole processor."""
    set_faults(machine.servers[0], endless=form)
    with crowd(machine.gateway.front) as callers:
        callers.add(CALLERS, STATUS, PAUSE_S)
        answer = machine.gateway.send("POST", "/quote/2", headers=QUOTE)
        assert answer[0] == 200
        callers.wait()
        answer = machine.gateway.send("POST", "/quote/3", headers=QUOTE)
        assert answer[0] == 200
    assert machine.gateway.popen.poll() is None
    assert machine.figures().peak_bytes < MEMORY_MB * BYTES_PER_MB
