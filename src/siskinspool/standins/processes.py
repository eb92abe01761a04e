"""Starting and stopping the processes of a trial.

The demo, the load tool and the integration tests run the real programs as processes
on loopback. A `Process` reads the port from the first line that a program prints.
`Bench` keeps what was started and ends it, by id, in any case.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO, Any, Final

import attrs
import gevent
from gevent.subprocess import PIPE, Popen
from geventhttpclient import HTTPClient

READY_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 10.0
LOG_TAIL_CHARS: Final = 2000

Json = dict[str, Any]


class ProcessError(Exception):
    """A process did not start or did not answer."""


def log_tail(path: Path) -> str:
    """Return the end of a process's log."""
    return path.read_text(errors="replace")[-LOG_TAIL_CHARS:]


@attrs.define(eq=False)
class Process:
    """One running program."""

    name: str
    popen: Popen[bytes]
    ready_message: Json
    log: IO[bytes]

    @property
    def port(self) -> int:
        """The port that the program listens on."""
        return int(self.ready_message["port"])

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, such as SIGSTOP, SIGCONT, SIGKILL or SIGTERM.

        Raises ProcessError with the end of the log if the process has ended by itself.
        """
        status = self.popen.poll()
        if status is not None:
            raise ProcessError(
                f"{self.name} has ended with {status}: {log_tail(Path(self.log.name))}"
            )
        os.kill(self.popen.pid, number)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Ask the process to stop; return its exit status, None if it did not."""
        if self.is_alive:
            self.signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the exit status; None if the process still runs."""
        try:
            return int(self.popen.wait(timeout=timeout_s))
        except (subprocess.TimeoutExpired, gevent.Timeout):
            return None

    def kill(self) -> None:
        """End the process at once."""
        if self.is_alive:
            self.signal(signal.SIGKILL)
            self.popen.wait(timeout=STOP_TIMEOUT_S)
        self.log.close()


@attrs.define
class TrialProcesses:
    """The processes of one trial and their log files."""

    folder: Path
    process_by_name: dict[str, Process] = attrs.field(factory=dict)

    def start(self, name: str, module: str, *args: str) -> Process:
        """Start ``python -m module args`` and wait until it is ready."""
        log_path = self.folder / f"{name}.log"
        log = log_path.open("ab")
        popen = Popen([sys.executable, "-m", module, *args], stdout=PIPE, stderr=log)
        try:
            with gevent.Timeout(READY_TIMEOUT_S):
                line = popen.stdout.readline() if popen.stdout else b""
            ready = json.loads(line)
        except (gevent.Timeout, ValueError) as error:
            popen.kill()
            log.close()
            tail = log_tail(log_path)
            raise ProcessError(f"{name} did not start:\n{tail}") from error
        process = Process(name, popen, ready, log)
        self.process_by_name[name] = process
        return process

    def stop(self) -> None:
        """End all processes that still run."""
        for process in self.process_by_name.values():
            if process.is_alive:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
        for process in self.process_by_name.values():
            process.wait(0.5)
            process.kill()


def call(
    port: int,
    method: str,
    path: str,
    body: Json | bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request on a connection of its own."""
    client = HTTPClient(
        "127.0.0.1", port=port, network_timeout=timeout_s, concurrency=1
    )
    data = json.dumps(body).encode() if isinstance(body, dict) else (body or b"")
    try:
        response = client.request(method, path, body=data, headers=headers or {})
        answer_headers = {str(k).lower(): str(v) for k, v in response.items()}
        return int(response.status_code), answer_headers, bytes(response.read())
    finally:
        client.close()


def call_json(port: int, method: str, path: str, body: Json | None = None) -> Json:
    """Send one HTTP request and return the JSON answer."""
    status, _, data = call(port, method, path, body)
    if status >= 300:
        raise ProcessError(f"{method} {path} answers {status}: {data[:200]!r}")
    result: Json = json.loads(data or b"{}")
    return result
