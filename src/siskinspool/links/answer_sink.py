"""The interface for the answer to a call, and the encoding of refusals.

An `AnswerSink` belongs to a caller's connection or, for a patient request, to the
runner. A refusal is encoded as a problem document (RFC 9457).
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
    """Receives the answer to one call; each method may block for back-pressure."""

    @abstractmethod
    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start a streamed answer."""

    @abstractmethod
    def send_event(self, data: bytes) -> None:
        """Add one server-sent event."""

    @abstractmethod
    def end(self) -> None:
        """End a complete streamed answer."""

    @abstractmethod
    def abort(self, refusal: Refusal) -> None:
        """End a streamed answer that is incomplete."""

    @abstractmethod
    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; if the answer has begun, end it as incomplete."""

    def cut_short(self, refusal: Refusal) -> None:
        """Replace the pending part of the answer by a refusal; never blocks."""
        self.refuse(refusal)

    def close(self) -> None:
        """Discard the rest of the answer, since the caller has gone."""
        return


def problem_body(refusal: Refusal) -> bytes:
    """Encode a refusal as a problem document (RFC 9457)."""
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
    """Return the headers of a server's answer to forward to the caller."""
    return {name: text for name, text in headers.items() if name not in _HOP_HEADERS}
