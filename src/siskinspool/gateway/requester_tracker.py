"""A gateway's requesters that are still there, and what the leader knows of them.

A requester is there while its request waits for a server, and after its first attempt
has been refused until it returns, which may be at another gateway. It has left once it
has a server, has been refused for the last time or has gone. The leader is told of all
that are there with each wish for their model, and of changes without a wish.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..core.message import Address
from .deadline_tracker import DeadlineTracker
from .messages import AssignServer, RequestersReport
from .request_time import RETRY_WAIT_SHARE
from .waiting_request import Target, WaitingRequest

# More requesters of one model than this are not told apart.
MAX_REQUESTERS: Final = 64
# Changes without a wish are told at most this often for a model.
REPORT_INTERVAL_S: Final = 0.25


@attrs.frozen
class _RetryingRequester:
    """A refused requester that is to return; times are in seconds."""

    returns_at: float
    # It can be served until then.
    servable_until: float


@attrs.define
class _LeaderReport:
    """What the leader has been told of the requesters of a model or adapter."""

    sent_at: float
    # It is not true any more.
    is_outdated: bool = False


class RequesterTracker:
    """The requesters of one gateway; times are in seconds."""

    def __init__(self) -> None:
        self.waiting_by_id: dict[str, WaitingRequest] = {}
        self._retrying_by_target: dict[Target, list[_RetryingRequester]] = {}
        self._report_by_target: dict[Target, _LeaderReport] = {}
        self._deadlines = DeadlineTracker()

    def new_request(
        self, sender: Address, call: AssignServer, now: float
    ) -> WaitingRequest:
        """Return a request that has no server yet; it is not in the account yet."""
        later = self._deadlines.is_later_attempt(
            call.route, call.deadline_s, call.timeout_s, now
        )
        give_up_at = now + call.patience_s
        return WaitingRequest(sender, call, now, give_up_at, will_return=not later)

    def add(self, waiting: WaitingRequest) -> None:
        """Count a request that waits."""
        self.waiting_by_id[waiting.call.request_id] = waiting

    def remove(self, request_id: str) -> None:
        """Count a request no more that has a server or whose requester has gone."""
        waiting = self.waiting_by_id.pop(request_id, None)
        if waiting is not None:
            self._mark_outdated(waiting.target)

    def refuse(self, waiting: WaitingRequest, retry_after_s: float, now: float) -> None:
        """Count the requester of a refused first attempt until it returns."""
        call = waiting.call
        time_s = call.timeout_s if call.deadline_s is None else call.deadline_s
        pause_s = min(retry_after_s, (waiting.since + time_s - now) * RETRY_WAIT_SHARE)
        away = _RetryingRequester(now + pause_s, now + waiting.reach_s(now))
        if waiting.will_return and call.model and away.returns_at < away.servable_until:
            # For the leader nothing changes before it returns.
            self.waiting_by_id.pop(call.request_id, None)
            self._retrying_by_target.setdefault(waiting.target, []).append(away)
        else:
            self.remove(call.request_id)

    def report(self, target: Target, now: float) -> tuple[float, ...]:
        """Return how long each requester can be served, as the leader is told of it."""
        waiting = requests_waiting_for(target, self.waiting_by_id.values())
        away = self._retrying_by_target.get(target, ())
        reach_s = [item.reach_s(now) for item in waiting]
        reach_s += [item.servable_until - now for item in away if item.returns_at > now]
        self._report_by_target[target] = _LeaderReport(now)
        return tuple(sorted(reach_s, reverse=True)[:MAX_REQUESTERS])

    def pop_changes(self, now: float) -> list[RequestersReport]:
        """Return what the leader is to be told although nothing is wished for."""
        for target, away in list(self._retrying_by_target.items()):
            if still := [item for item in away if item.returns_at > now]:
                self._retrying_by_target[target] = still
            else:
                del self._retrying_by_target[target]
            if len(still) < len(away):
                self._mark_outdated(target)
        found = []
        for target, told in list(self._report_by_target.items()):
            if not told.is_outdated or now < told.sent_at + REPORT_INTERVAL_S:
                continue
            reach_s = self.report(target, now)
            found.append(RequestersReport(*target, reach_s=reach_s))
            if not reach_s:
                del self._report_by_target[target]
        return found

    def wake_at(self) -> float:
        """Return when a change is due."""
        due = [
            told.sent_at + REPORT_INTERVAL_S
            for told in self._report_by_target.values()
            if told.is_outdated
        ]
        due += [
            item.returns_at
            for away in self._retrying_by_target.values()
            for item in away
        ]
        return min(due, default=float("inf"))

    def restart_reports(self) -> None:
        """Begin to tell a leader that knows nothing, also of those that are away."""
        self._report_by_target = {
            target: _LeaderReport(float("-inf"), is_outdated=True)
            for target in self._retrying_by_target
        }
        for item in self.waiting_by_id.values():
            item.is_reported = False

    def _mark_outdated(self, target: Target) -> None:
        """Note that the leader counts other requesters than there are."""
        if told := self._report_by_target.get(target):
            told.is_outdated = True


def requests_waiting_for(
    target: Target, requests: Iterable[WaitingRequest]
) -> list[WaitingRequest]:
    """Return the requests that wait for a model and adapter."""
    return [item for item in requests if item.target == target]


def pop_fresh_reach(
    requests: Iterable[WaitingRequest], now: float
) -> tuple[float, ...]:
    """Return how long requesters that the leader has not heard of can be served.

    A requester is fresh with the first send of its first attempt.
    """
    untold = [item for item in requests if not item.is_reported]
    for item in untold:
        item.is_reported = True
    return tuple(item.reach_s(now) for item in untold if item.is_fresh)
