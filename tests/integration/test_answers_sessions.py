"""Whole sessions of callers, compared with golden files.

Each session is a list of requests; the transcript holds each request and its answer in
order, with ids normalised. ``UPDATE_SESSIONS=1`` writes the files anew.
"""

from __future__ import annotations

import json
import os
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import attrs
import pytest

from siskinspool.manifest.model import Team
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_site import ask, running_site

FOLDER: Final = Path(__file__).parent.parent / "data" / "sessions"
PLAN = SitePlan(
    zones=("a",),
    instances=2,
    servers=1,
    teams=(
        Team(id="guild", rate=1e6, burst=1e6),
        Team(id="visitor", rate=1, burst=5, allow=("ledger", "deposits")),
    ),
)
_SHOWN_HEADERS: Final = (
    "content-type",
    "content-length",
    "idempotency-replayed",
    "location",
    "retry-after",
    "www-authenticate",
    "x-request-id",
)
_VOLATILE: Final = re.compile(r"instance-\d+-[0-9a-f]{12}-\d+")


@attrs.frozen
class Step:
    """One request of a session."""

    method: str
    path: str
    body: dict[str, Any] | None = None
    team: str = "guild"
    headers: tuple[tuple[str, str], ...] = ()
    instance: int = 0
    # Ask again until the answer has this status.
    until: int = 0


CHAT = "/v1/chat/completions"
KEY = (("Idempotency-Key", "gutters-17"),)
DEPOSIT = {"ref": "gutters", "amount": 40_000}
SESSIONS: Final[dict[str, tuple[Step, ...]]] = {
    "chat": (
        Step("GET", "/v1/models"),
        Step("POST", CHAT, {"model": "quote", "max_tokens": 3}, until=200),
        Step("POST", CHAT, {"model": "quote", "max_tokens": 3, "stream": True}),
        Step("POST", CHAT, {"model": "none"}),
        Step("POST", CHAT, {"model": "quote", "max_tokens": -1}),
        Step("POST", CHAT, {"model": "quote"}, headers=(("X-Siskin-Class", "slow"),)),
    ),
    "deposit": (
        Step("POST", "/deposits", DEPOSIT, headers=KEY),
        Step("POST", "/deposits", DEPOSIT, headers=KEY, instance=1),
        Step("POST", "/deposits", {"ref": "other"}, headers=KEY),
        Step("POST", "/deposits", DEPOSIT, headers=KEY, team="visitor"),
    ),
    "refusals": (
        Step("GET", "/v1/models", team=""),
        Step("GET", "/v1/models", team="visitor"),
        Step("POST", CHAT, {"model": "quote"}, team="visitor"),
        Step("POST", CHAT, {"model": "ledger", "max_tokens": 999}, team="visitor"),
        Step("POST", "/orders", {"ref": "x"}, team="visitor"),
        Step("GET", "/nowhere"),
        Step("GET", "/stock/../deposits", team=""),
        Step("GET", CHAT),
        Step("GET", "/stock", team=""),
    ),
    "patient": (
        Step("POST", "/orders", {"ref": "overnight"}),
        Step("GET", "/v1/requests/{id}", instance=1, until=200),
        Step("GET", "/v1/requests/{id}", team="visitor"),
        Step("GET", "/v1/requests/unknown"),
    ),
}


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TrialSite]:
    with running_site(PLAN, tmp_path_factory.mktemp("sessions")) as running:
        yield running


class Transcript:
    """Runs steps and writes down what happened."""

    def __init__(self, site: TrialSite) -> None:
        self._site = site
        self._name_by_id: dict[str, str] = {}
        self._last_id = ""
        self.lines: list[str] = []

    def run_step(self, step: Step) -> None:
        """Run one step."""
        path = step.path.replace("{id}", self._last_id)
        headers = dict(step.headers)

        def send() -> tuple[int, dict[str, str], bytes]:
            reply = ask(
                self._site,
                step.instance,
                step.method,
                path,
                step.body,
                team=step.team,
                headers=headers,
            )
            return reply.status, reply.headers, reply.body

        answers = [send()]

        def is_settled() -> bool:
            if step.until and answers[-1][0] != step.until:
                answers.append(send())
            return step.until in (0, answers[-1][0])

        wait_until(is_settled, f"{path} answers {step.until}", 20.0)
        status, found, body = answers[-1]
        self._last_id = str(_document(body).get("id", self._last_id))
        self._write("> ", f"{step.method} {path}")
        self._write("> ", f"key of team: {step.team or '-'}")
        for name, text in headers.items():
            self._write("> ", f"{name}: {text}")
        if step.body is not None:
            self._write("> ", json.dumps(step.body))
        self._write("< ", str(status))
        for name in _SHOWN_HEADERS:
            if name in found:
                self._write("< ", f"{name}: {self._shown(name, found, body)}")
        for line in body.decode().splitlines():
            self._write("< ", line)
        self.lines.append("")

    def _shown(self, name: str, found: dict[str, str], body: bytes) -> str:
        if name == "content-length":
            # Depends on the length of ids.
            return "of the body" if int(found[name]) == len(body) else "wrong"
        return found[name]

    def _write(self, prefix: str, text: str) -> None:
        self.lines.append(prefix + _VOLATILE.sub(self._name, text))

    def _name(self, found: re.Match[str]) -> str:
        return self._name_by_id.setdefault(
            found.group(), f"id-{len(self._name_by_id) + 1}"
        )


def _document(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session(site: TrialSite, name: str) -> None:
    """Guards against changes of what callers see, wherever they come from."""
    transcript = Transcript(site)
    for step in SESSIONS[name]:
        transcript.run_step(step)
    text = "\n".join(transcript.lines)
    path = FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_SESSIONS"):
        path.write_text(text, encoding="utf-8")
    assert text == path.read_text(encoding="utf-8")
