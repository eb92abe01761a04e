"""Calls that this instance has at one server."""

from __future__ import annotations

from typing import Final

import attrs

# A call sent less than this before a measurement may not have reached the server yet.
# Counting it as "sent since" can count it twice, which errs on the safe side.
TRANSIT_ALLOWANCE_S: Final = 0.05


@attrs.frozen
class EndedCall:
    """A call that ended after the last measurement."""

    sent_at: float
    ended_at: float


@attrs.define
class LocalCalls:
    """In-flight calls, and those that ended since the server's last report."""

    _sent_at_by_call: dict[str, float] = attrs.field(factory=dict, init=False)
    _recent_ends: list[EndedCall] = attrs.field(factory=list, init=False)

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._sent_at_by_call)

    def record_sent(self, call_id: str, now: float) -> None:
        """Record a dispatched call."""
        self._sent_at_by_call[call_id] = now

    def record_end(self, call_id: str, now: float, keep: bool) -> None:
        """Record an end; ``keep`` says whether a report to compare with exists."""
        sent_at = self._sent_at_by_call.pop(call_id, None)
        if keep and sent_at is not None:
            self._recent_ends.append(EndedCall(sent_at, now))

    def drop_measured_ends(self, measured_at: float) -> None:
        """Drop ends that a measurement already shows."""
        self._recent_ends = [
            end for end in self._recent_ends if end.ended_at > measured_at
        ]

    def count_at(self, measured_at: float) -> int:
        """Return how many own calls a measurement contains."""
        running = sum(
            1
            for at in self._sent_at_by_call.values()
            if at < measured_at - TRANSIT_ALLOWANCE_S
        )
        return running + self._ended_since(measured_at)

    def net_change_since(self, measured_at: float) -> int:
        """Return calls sent since a measurement less those that ended since."""
        sent = sum(
            1
            for at in self._sent_at_by_call.values()
            if at >= measured_at - TRANSIT_ALLOWANCE_S
        )
        return sent - self._ended_since(measured_at)

    def _ended_since(self, measured_at: float) -> int:
        return sum(
            1
            for end in self._recent_ends
            if end.sent_at < measured_at - TRANSIT_ALLOWANCE_S
            and end.ended_at > measured_at
        )
