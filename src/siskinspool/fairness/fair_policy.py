"""The policy with fair queueing: shares of teams, expected waits and kept places."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from .expected_place_advice import ExpectedPlaceAdvice
from .fair_order import FairOrder
from .kept_places import KeptPlaces, PromiseEnd, PromiseKey
from .overload_policy import OverloadPolicy
from .place_forecast import Line, PlaceForecast
from .promise import Promise
from .retry_advice import RetryAdvice
from .server_places import ServerPlaces, StatedLoad
from .usage_exchange import REPORT_INTERVAL_S, UsageExchange, UsageSent
from .usage_messages import TeamUsageReport
from .waiting_order import Target, WaitingEntry, WaitingOrder, contended_targets

# How often the expected waits are compared with the time that requests have.
FORECAST_INTERVAL_S: Final = 0.1
# A request is refused before its time only if even this share of the expected wait is
# too long: a wrong refusal costs more than a wait without success.
CERTAIN_WAIT_SHARE: Final = 0.75


class FairPolicy(OverloadPolicy):
    """Shares the places of each service between the teams that wait."""

    def __init__(self, instance_id: str) -> None:
        """Initialize with the id of this gateway."""
        self._order = FairOrder()
        self._advice = ExpectedPlaceAdvice()
        self._places = ServerPlaces()
        self._forecast = PlaceForecast()
        self._kept = KeptPlaces()
        self._exchange = UsageExchange(instance_id)
        self._member_ids: tuple[str, ...] = (instance_id,)
        # Targets for which several teams wait.
        self._contended: frozenset[Target] = frozenset()
        self._next_forecast_at = 0.0
        self._wait_by_id: dict[str, float] = {}

    @property
    def order(self) -> WaitingOrder:
        """The order by the teams' shares."""
        return self._order

    @property
    def advice(self) -> RetryAdvice:
        """The advice by the expected place."""
        return self._advice

    # Serving

    def must_queue(
        self, arrived: WaitingEntry, waiting: Iterable[WaitingEntry]
    ) -> bool:
        """Return whether others wait for the same target."""
        return any(entry.target == arrived.target for entry in waiting)

    def start_pass(self, waiting: Iterable[WaitingEntry]) -> None:
        """Note for which targets several teams wait."""
        self._contended = contended_targets(waiting)

    def full_servers(
        self, entry: WaitingEntry, count_servers: Callable[[], int], now: float
    ) -> frozenset[str]:
        """Return the servers whose queue is too long for a request."""
        kept = self._kept_count(entry, now)
        kept_each = kept / max(count_servers(), 1) if kept else 0.0
        return self._places.full_servers(entry, now, kept_each)

    def blocks_target(self, failed: WaitingEntry, now: float) -> bool:
        """Return whether it had no place for other reasons than kept ones."""
        return self._kept_count(failed, now) == 0

    def _kept_count(self, entry: WaitingEntry, now: float) -> int:
        """Return how many places a request must leave to retries of its team.

        While other teams wait, none: they would get the places, and a retry is next in
        its team's turn anyway.
        """
        if entry.promise is not None or entry.target in self._contended:
            return 0
        return self._kept.due_count(PromiseKey(entry.team, entry.target), now)

    def record_sent(self, entry: WaitingEntry, server_id: str, now: float) -> None:
        """Record that a request is sent to a server."""
        self._places.record_sent(entry, server_id, now)
        self._exchange.record_served(entry, now)
        self._forecast.record_served(entry, now)
        if entry.promise is not None:
            self._kept.record_end(entry.arrived_at, now, is_served=True)

    def record_first_event(self, request_id: str) -> None:
        """Record the first event of a stream."""
        self._places.record_first_event(request_id)

    def record_end(
        self, request_id: str, stated: StatedLoad | None, now: float, *, has_run: bool
    ) -> None:
        """Record the end of a send, with the load that the answer stated."""
        self._places.record_end(request_id, stated, now, has_run=has_run)

    def forget_request(self, request_id: str) -> None:
        """Drop a request that was not sent, or whose server has left."""
        self._places.forget_request(request_id)

    def forget_server(self, server_id: str) -> None:
        """Drop a server that has left."""
        self._places.forget_server(server_id)

    # Refusing

    def claim(self, team: str, target: Target, now: float) -> Promise | None:
        """Return the promise that a later attempt claims, if there is one."""
        return self._kept.claim(PromiseKey(team, target), now)

    def record_refused(
        self, entry: WaitingEntry, retry_after_s: float, now: float, *, will_retry: bool
    ) -> None:
        """Count a broken promise, and keep a place if the requester comes back."""
        if entry.promise is not None:
            self._kept.record_end(entry.arrived_at, now, is_served=False)
        if will_retry:
            key = PromiseKey(entry.team, entry.target)
            self._kept.promise(key, Promise(entry.since, now + retry_after_s))

    def is_forecast_due(self, now: float) -> bool:
        """Return whether the expected waits have to be computed again."""
        return now >= self._next_forecast_at

    def update_forecast(self, held: Sequence[WaitingEntry], now: float) -> None:
        """Compute the expected waits of the requests that are held back."""
        self._next_forecast_at = now + FORECAST_INTERVAL_S
        self._forecast.record_waiting(map(Line.from_entry, held), now)
        self._kept.drop_expired(now)
        self._wait_by_id = self._forecast.waits_s(held, now)

    def expected_wait_s(self, request_id: str) -> float | None:
        """Return how long a request is expected to wait, or None if unknown."""
        return self._wait_by_id.get(request_id)

    def is_hopeless(self, request_id: str, give_up_at: float, now: float) -> bool:
        """Return whether no place is expected before a request gives up."""
        wait_s = self._wait_by_id.get(request_id)
        return wait_s is not None and now + wait_s * CERTAIN_WAIT_SHARE > give_up_at

    # Other gateways

    def set_members(self, member_ids: Sequence[str]) -> None:
        """Set all gateways, in order."""
        self._member_ids = tuple(member_ids)
        self._places.set_gateways(len(self._member_ids))

    def record_report(self, report: TeamUsageReport, now: float) -> None:
        """Record what teams use at other gateways."""
        self._exchange.record_report(report, now)

    def exchange_usage(self, now: float) -> UsageSent | None:
        """Apply the usage at other gateways and return the next report, if any."""
        elsewhere = self._exchange.used_elsewhere(len(self._member_ids), now)
        self._order.record_elsewhere(elsewhere, REPORT_INTERVAL_S)
        return self._exchange.next_report(self._member_ids, now)

    @property
    def next_exchange_at(self) -> float:
        """When the next report is due; infinite without other gateways."""
        return self._exchange.next_at if len(self._member_ids) > 1 else math.inf

    def gauges(self) -> dict[str, float]:
        """Return the numbers of kept and broken promises."""
        return {
            f"routing.{end.value}": float(self._kept.count_by_end[end])
            for end in PromiseEnd
        }
