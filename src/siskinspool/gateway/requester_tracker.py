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
from ..fairness.overload_policy import OverloadPolicy
from ..fairness.promise import Promise
from .deadline_tracker import DeadlineTracker
from .messages import AssignServer, RequestersReport
from .request_time import RETRY_WAIT_RATIO
from .waiting_request import TargetKey, WaitingRequest

# At most this many requesters of one model are reported.
MAX_REQUESTERS: Final = 64
# Shortest interval between reports of changes for a model without a placement request.
REPORT_INTERVAL_S: Final = 0.25


@attrs.frozen
class _RetryingRequester:
    """A refused requester with a pending retry; times are in seconds."""

    retries_at: float
    # Until when it can be served.
    servable_until: float


@attrs.define
class _LeaderReport:
    """The last report to the leader on the requesters of a model or adapter."""

    sent_at: float
    # The requesters have changed since.
    is_outdated: bool = False


class RequesterTracker:
    """Tracks the pending requesters of one gateway; times are in seconds."""

    def __init__(self, policy: OverloadPolicy) -> None:
        """Initialize with the policy that keeps places for later attempts."""
        self.waiting_by_id: dict[str, WaitingRequest] = {}
        self._retrying_by_target: dict[TargetKey, list[_RetryingRequester]] = {}
        self._report_by_target: dict[TargetKey, _LeaderReport] = {}
        self._deadlines = DeadlineTracker()
        self._policy = policy

    def new_request(
        self, sender: Address, call: AssignServer, now: float
    ) -> WaitingRequest:
        """Return a new waiting request without tracking it yet."""
        is_later = self._deadlines.is_later_attempt(
            call.route, call.deadline_s, call.timeout_s, now
        )
        give_up_at = now + call.max_wait_s
        return WaitingRequest(
            sender,
            call,
            now,
            give_up_at,
            will_retry=not is_later,
            promise=self._claim(call, now) if is_later else None,
        )

    def _claim(self, call: AssignServer, now: float) -> Promise | None:
        if call.repeat or call.excluded:
            # A later send of an attempt that has had its place.
            return None
        target = (call.service, call.model, call.adapter)
        return self._policy.claim(call.team, target, now)

    def add(self, waiting: WaitingRequest) -> None:
        """Track a request that waits for a server."""
        self.waiting_by_id[waiting.call.request_id] = waiting

    def remove(self, request_id: str) -> None:
        """Stop tracking a request that has a server or whose requester disconnected."""
        waiting = self.waiting_by_id.pop(request_id, None)
        if waiting is not None:
            self._mark_outdated(waiting.target)

    def refuse(self, waiting: WaitingRequest, retry_after_s: float, now: float) -> None:
        """Keep the requester of a refused first attempt as pending until it retries."""
        call = waiting.call
        pause_s = min(retry_after_s, waiting.remaining_s(now) * RETRY_WAIT_RATIO)
        retrying = _RetryingRequester(now + pause_s, now + waiting.reach_s(now))
        if (
            waiting.will_retry
            and call.model
            and retrying.retries_at < retrying.servable_until
        ):
            # For the leader nothing changes before the retry.
            self.waiting_by_id.pop(call.request_id, None)
            self._retrying_by_target.setdefault(waiting.target, []).append(retrying)
        else:
            self.remove(call.request_id)

    def report(self, target: TargetKey, now: float) -> tuple[float, ...]:
        """Return how long each requester can be served, to be sent to the leader."""
        waiting = requests_waiting_for(target, self.waiting_by_id.values())
        retrying = self._retrying_by_target.get(target, ())
        reach_s = [item.reach_s(now) for item in waiting]
        reach_s += [
            item.servable_until - now for item in retrying if item.retries_at > now
        ]
        self._report_by_target[target] = _LeaderReport(now)
        return tuple(sorted(reach_s, reverse=True)[:MAX_REQUESTERS])

    def pop_changes(self, now: float) -> list[RequestersReport]:
        """Return reports of changes that no placement request has included."""
        for target, retrying in list(self._retrying_by_target.items()):
            if remaining := [item for item in retrying if item.retries_at > now]:
                self._retrying_by_target[target] = remaining
            else:
                del self._retrying_by_target[target]
            if len(remaining) < len(retrying):
                self._mark_outdated(target)
        reports = []
        for target, last_report in list(self._report_by_target.items()):
            if (
                not last_report.is_outdated
                or now < last_report.sent_at + REPORT_INTERVAL_S
            ):
                continue
            reach_s = self.report(target, now)
            reports.append(RequestersReport(*target, reach_s=reach_s))
            if not reach_s:
                del self._report_by_target[target]
        return reports

    def wake_at(self) -> float:
        """Return when the next report or retry is due."""
        due = [
            last_report.sent_at + REPORT_INTERVAL_S
            for last_report in self._report_by_target.values()
            if last_report.is_outdated
        ]
        due += [
            item.retries_at
            for retrying in self._retrying_by_target.values()
            for item in retrying
        ]
        return min(due, default=float("inf"))

    def restart_reports(self) -> None:
        """Report all requesters again, with pending retries, to a new leader."""
        self._report_by_target = {
            target: _LeaderReport(float("-inf"), is_outdated=True)
            for target in self._retrying_by_target
        }
        for item in self.waiting_by_id.values():
            item.is_reported = False

    def _mark_outdated(self, target: TargetKey) -> None:
        """Mark the last report on a target as outdated."""
        if last_report := self._report_by_target.get(target):
            last_report.is_outdated = True


def requests_waiting_for(
    target: TargetKey, requests: Iterable[WaitingRequest]
) -> list[WaitingRequest]:
    """Return the requests that wait for a model and adapter."""
    return [item for item in requests if item.target == target]


def pop_fresh_reach(
    requests: Iterable[WaitingRequest], now: float
) -> tuple[float, ...]:
    """Return how long requesters not yet reported to the leader can be served.

    Marks them as reported. A requester is fresh with the first send of its first
    attempt.
    """
    unreported = [item for item in requests if not item.is_reported]
    for item in unreported:
        item.is_reported = True
    return tuple(item.reach_s(now) for item in unreported if item.is_fresh)
