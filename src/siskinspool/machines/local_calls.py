"""Counts the calls of this instance at one server."""

from __future__ import annotations

from typing import Final

import attrs

# A call sent less than this before a measurement may not have reached the server yet.
# It counts as sent afterwards. That may count it twice, which is on the safe side.
TRANSIT_ALLOWANCE_S: Final = 0.05


@attrs.frozen
class EndedCall:
    """A call that ended after the last measurement."""

    sent_at: float
    ended_at: float


@attrs.define
class LocalCalls:
    """In-flight calls and the calls that ended since the server's last report."""

    _sent_at_by_call: dict[str, float] = attrs.field(factory=dict, init=False)
    _recent_ends: list[EndedCall] = attrs.field(factory=list, init=False)

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._sent_at_by_call)

    def record_sent(self, call_id: str, now: float) -> None:
        """Record the dispatch of a call."""
        self._sent_at_by_call[call_id] = now

    def record_end(self, call_id: str, now: float, keep: bool) -> None:
        """Record the end of a call.

        ``keep`` says whether there is a report to compare it with.
        """
        sent_at = self._sent_at_by_call.pop(call_id, None)
        if keep and sent_at is not None:
            self._recent_ends.append(EndedCall(sent_at, now))

    def drop_measured_ends(self, measured_at: float) -> None:
        """Drop ends of calls that a measurement already includes."""
        self._recent_ends = [
            end for end in self._recent_ends if end.ended_at > measured_at
        ]

    def count_at(self, measured_at: float) -> int:
        """Return the number of calls of this instance that a measurement includes."""
        running = sum(
            1
            for at in self._sent_at_by_call.values()
            if at < measured_at - TRANSIT_ALLOWANCE_S
        )
        return running + self._ended_since(measured_at)

    def net_change_since(self, measured_at: float) -> int:
        """Return the calls sent minus the calls ended since a measurement."""
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
