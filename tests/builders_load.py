"""Builders of test data for the load tool."""

from __future__ import annotations

from siskinspool.standins.load_results import RequestResult
from siskinspool.standins.load_schedule import Arrival


def make_arrival(
    *, at_s: float = 0.0, max_tokens: int = 16, streamed: bool = True
) -> Arrival:
    """Return an arrival of the team guild."""
    return Arrival(
        at_s=at_s,
        team="guild",
        target="quote",
        instance=0,
        max_tokens=max_tokens,
        streamed=streamed,
        deadline_ms=1_000,
    )


def make_result(
    *, code: str = "", run: str = "", first_token_s: float = 0.1
) -> RequestResult:
    """Return a complete answer, or a refusal if a code is given."""
    return RequestResult(
        arrival=make_arrival(),
        status=503 if code else 200,
        code=code,
        run=run,
        first_token_s=first_token_s,
        total_s=first_token_s + 0.1,
        late_s=0.0,
    )


def make_stream(*, tokens: int, last_chunk: bool) -> bytes:
    """Return the bytes of a streamed answer, with or without the last chunk."""
    events = ['data: {"t": 1}\n\n'] * (tokens + 1) + ["data: [DONE]\n\n"]
    chunks = "".join(f"{len(event):x}\r\n{event}\r\n" for event in events)
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return (head + chunks + ("0\r\n\r\n" if last_chunk else "")).encode()
