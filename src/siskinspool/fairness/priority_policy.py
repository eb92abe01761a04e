"""The policy without fair queueing: by priority and age, without limits."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from .overload_policy import OverloadPolicy
from .priority_order import PriorityOrder
from .promise import Promise
from .retry_advice import ModelRetryAdvice, RetryAdvice
from .server_places import StatedLoad
from .usage_exchange import UsageSent
from .usage_messages import TeamUsageReport
from .waiting_order import Target, WaitingEntry, WaitingOrder


class PriorityPolicy(OverloadPolicy):
    """Sends to any open server, knows no teams and makes no promises."""

    def __init__(self) -> None:
        self._order = PriorityOrder()
        self._advice = ModelRetryAdvice()

    @property
    def order(self) -> WaitingOrder:
        """The order by priority and age."""
        return self._order

    @property
    def advice(self) -> RetryAdvice:
        """The advice by the time at which the model is expected."""
        return self._advice

    def must_queue(
        self, arrived: WaitingEntry, waiting: Iterable[WaitingEntry]
    ) -> bool:
        """Return False: an arrival is served if a server is open."""
        return False

    def start_pass(self, waiting: Iterable[WaitingEntry]) -> None:
        """Do nothing."""

    def full_servers(
        self, entry: WaitingEntry, count_servers: Callable[[], int], now: float
    ) -> frozenset[str]:
        """Return none: an open server has a place."""
        return frozenset()

    def blocks_target(self, failed: WaitingEntry, now: float) -> bool:
        """Return False: each request is tried on its own."""
        return False

    def record_sent(self, entry: WaitingEntry, server_id: str, now: float) -> None:
        """Do nothing."""

    def record_first_event(self, request_id: str) -> None:
        """Do nothing."""

    def record_end(
        self, request_id: str, stated: StatedLoad | None, now: float, *, has_run: bool
    ) -> None:
        """Do nothing."""

    def forget_request(self, request_id: str) -> None:
        """Do nothing."""

    def forget_server(self, server_id: str) -> None:
        """Do nothing."""

    def claim(self, team: str, target: Target, now: float) -> Promise | None:
        """Return None: no place is promised."""
        return None

    def record_refused(
        self, entry: WaitingEntry, retry_after_s: float, now: float, *, will_retry: bool
    ) -> None:
        """Do nothing."""

    def is_forecast_due(self, now: float) -> bool:
        """Return False: there is no forecast."""
        return False

    def update_forecast(self, held: Sequence[WaitingEntry], now: float) -> None:
        """Do nothing."""

    def expected_wait_s(self, request_id: str) -> float | None:
        """Return None: there is no forecast."""
        return None

    def is_hopeless(self, request_id: str, give_up_at: float, now: float) -> bool:
        """Return False: there is no forecast."""
        return False

    def set_members(self, member_ids: Sequence[str]) -> None:
        """Do nothing."""

    def record_report(self, report: TeamUsageReport, now: float) -> None:
        """Do nothing; gateways with another setting may send reports."""

    def exchange_usage(self, now: float) -> UsageSent | None:
        """Return None: nothing is exchanged."""
        return None

    @property
    def next_exchange_at(self) -> float:
        """Never."""
        return math.inf

    def gauges(self) -> dict[str, float]:
        """Return no values."""
        return {}
