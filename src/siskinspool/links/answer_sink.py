"""Where the answer of a call goes, and the form of refusals.

An `AnswerSink` belongs to a caller's connection or, for a patient request, to the
runner. A refusal becomes a problem document (RFC 9457).
"""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from typing import Final

from ..core.outcome import Refusal

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"
_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class AnswerSink(ABC):
    """Takes the answer of one call; each method may block for back-pressure."""

    @abstractmethod
    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of a streamed answer."""

    @abstractmethod
    def send_event(self, data: bytes) -> None:
        """Take one server-sent event."""

    @abstractmethod
    def end(self) -> None:
        """Take the end of a complete streamed answer."""

    @abstractmethod
    def abort(self, refusal: Refusal) -> None:
        """Take the end of a streamed answer that was cut."""

    @abstractmethod
    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Take a whole answer."""

    @abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Take a refusal; an answer that has begun counts as cut."""

    def cut_short(self, refusal: Refusal) -> None:
        """Take a refusal in place of what was not passed on yet; never blocks."""
        self.refuse(refusal)

    def close(self) -> None:
        """Nobody takes the answer any more."""
        return


def problem_body(refusal: Refusal) -> bytes:
    """Return a refusal as a problem document (RFC 9457)."""
    document = {
        "type": f"urn:siskinspool:error:{refusal.code}",
        "title": refusal.code.replace("_", " "),
        "status": refusal.status,
        "code": refusal.code,
        "detail": refusal.detail,
        "run": refusal.run,
    }
    return json.dumps(document).encode()


def answer_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a server's answer that go on to the caller."""
    return {name: text for name, text in headers.items() if name not in _HOP_HEADERS}
