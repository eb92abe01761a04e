"""Tracks a gateway's pending requesters and what has been reported to the leader.

A requester is pending while its request waits for a server, and after its first attempt
has been refused until it retries, possibly at another gateway. It is no longer pending
once it has a server, has been refused for the last time or has disconnected. Each
placement request for a model includes all pending requesters of it; changes in between
are reported on their own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..core.message import Address
from .deadline_memory import DeadlineMemory
from .messages import AssignServer, RequestersSeen
from .request_time import RETRY_SHARE
from .waiting_request import Target, WaitingRequest

# At most this many requesters of one model are reported.
MOST_REQUESTERS: Final = 64
# Shortest interval between reports of changes for a model without a placement request.
TELL_INTERVAL_S: Final = 0.25


@attrs.frozen
class _AwayRequester:
    """A refused requester with a pending retry; times are in seconds."""

    returns_at: float
    # Until when it can be served.
    until: float


@attrs.define
class _Told:
    """The last report to the leader on the requesters of a model or adapter."""

    at: float
    # The requesters have changed since.
    changed: bool = False


class RequesterAccount:
    """Tracks the pending requesters of one gateway; times are in seconds."""

    def __init__(self) -> None:
        self.waiting_by_id: dict[str, WaitingRequest] = {}
        self._away_by_target: dict[Target, list[_AwayRequester]] = {}
        self._told_by_target: dict[Target, _Told] = {}
        self._deadlines = DeadlineMemory()

    def take(self, sender: Address, call: AssignServer, now: float) -> WaitingRequest:
        """Return a new waiting request without tracking it yet."""
        later = self._deadlines.is_later_attempt(
            call.route, call.deadline_s, call.timeout_s, now
        )
        give_up_at = now + call.patience_s
        return WaitingRequest(sender, call, now, give_up_at, returns=not later)

    def add(self, waiting: WaitingRequest) -> None:
        """Track a request that waits for a server."""
        self.waiting_by_id[waiting.call.request_id] = waiting

    def leave(self, request_id: str) -> None:
        """Stop tracking a request that has a server or whose requester has gone."""
        waiting = self.waiting_by_id.pop(request_id, None)
        if waiting is not None:
            self._note_change(waiting.target)

    def refuse(self, waiting: WaitingRequest, retry_after_s: float, now: float) -> None:
        """Keep the requester of a refused first attempt as pending until it retries."""
        call = waiting.call
        time_s = call.timeout_s if call.deadline_s is None else call.deadline_s
        pause_s = min(retry_after_s, (waiting.since + time_s - now) * RETRY_SHARE)
        away = _AwayRequester(now + pause_s, now + waiting.reach_s(now))
        if waiting.returns and call.model and away.returns_at < away.until:
            # For the leader nothing changes before the retry.
            self.waiting_by_id.pop(call.request_id, None)
            self._away_by_target.setdefault(waiting.target, []).append(away)
        else:
            self.leave(call.request_id)

    def tell(self, target: Target, now: float) -> tuple[float, ...]:
        """Return how long each requester can be served, to be sent to the leader."""
        waiting = waiting_for(target, self.waiting_by_id.values())
        away = self._away_by_target.get(target, ())
        reach_s = [item.reach_s(now) for item in waiting]
        reach_s += [item.until - now for item in away if item.returns_at > now]
        self._told_by_target[target] = _Told(now)
        return tuple(sorted(reach_s, reverse=True)[:MOST_REQUESTERS])

    def take_changes(self, now: float) -> list[RequestersSeen]:
        """Return reports of changes that no placement request has included."""
        for target, away in list(self._away_by_target.items()):
            if still := [item for item in away if item.returns_at > now]:
                self._away_by_target[target] = still
            else:
                del self._away_by_target[target]
            if len(still) < len(away):
                self._note_change(target)
        found = []
        for target, told in list(self._told_by_target.items()):
            if not told.changed or now < told.at + TELL_INTERVAL_S:
                continue
            reach_s = self.tell(target, now)
            found.append(RequestersSeen(*target, reach_s=reach_s))
            if not reach_s:
                del self._told_by_target[target]
        return found

    def wake_at(self) -> float:
        """Return when the next report or retry is due."""
        due = [
            told.at + TELL_INTERVAL_S
            for told in self._told_by_target.values()
            if told.changed
        ]
        due += [
            item.returns_at for away in self._away_by_target.values() for item in away
        ]
        return min(due, default=float("inf"))

    def begin_anew(self) -> None:
        """Report all requesters again, with pending retries, to a new leader."""
        self._told_by_target = {
            target: _Told(float("-inf"), changed=True)
            for target in self._away_by_target
        }
        for item in self.waiting_by_id.values():
            item.told = False

    def _note_change(self, target: Target) -> None:
        """Mark the last report on a target as outdated."""
        if told := self._told_by_target.get(target):
            told.changed = True


def waiting_for(
    target: Target, requests: Iterable[WaitingRequest]
) -> list[WaitingRequest]:
    """Return the requests that wait for a model and adapter."""
    return [item for item in requests if item.target == target]


def take_fresh(requests: Iterable[WaitingRequest], now: float) -> tuple[float, ...]:
    """Return how long requesters not yet reported to the leader can be served.

    Marks them as reported. A requester is fresh with the first send of its first
    attempt.
    """
    untold = [item for item in requests if not item.told]
    for item in untold:
        item.told = True
    return tuple(item.reach_s(now) for item in untold if item.is_fresh)
