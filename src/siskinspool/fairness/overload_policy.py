"""Interface of what the routing decision does where work waits.

Routing reports what it sends and what it hears, and asks who is next, whether a server
has a place, and what a refused requester is told. `PriorityPolicy` and `FairPolicy`
implement it. All times are monotonic seconds.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence

from .promise import Promise
from .retry_advice import RetryAdvice
from .server_places import StatedLoad
from .usage_exchange import UsageSent
from .usage_messages import TeamUsageReport
from .waiting_order import Target, WaitingEntry, WaitingOrder


class OverloadPolicy(ABC):
    """Decides who is served, who waits and who is refused."""

    @property
    @abstractmethod
    def order(self) -> WaitingOrder:
        """The order in which waiting requests are offered a server."""

    @property
    @abstractmethod
    def advice(self) -> RetryAdvice:
        """What refused requesters are told."""

    # Serving

    @abstractmethod
    def must_queue(
        self, arrived: WaitingEntry, waiting: Iterable[WaitingEntry]
    ) -> bool:
        """Return whether a request must not be served before those that wait."""

    @abstractmethod
    def start_pass(self, waiting: Iterable[WaitingEntry]) -> None:
        """Prepare for offering servers to all waiting requests."""

    @abstractmethod
    def full_servers(
        self, entry: WaitingEntry, count_servers: Callable[[], int], now: float
    ) -> frozenset[str]:
        """Return the servers that have no place for a request.

        ``count_servers`` returns how many servers could serve it.
        """

    @abstractmethod
    def blocks_target(self, failed: WaitingEntry, now: float) -> bool:
        """Return whether no request for the target has a place if this one has none."""

    @abstractmethod
    def record_sent(self, entry: WaitingEntry, server_id: str, now: float) -> None:
        """Record that a request is sent to a server."""

    @abstractmethod
    def record_first_event(self, request_id: str) -> None:
        """Record the first event of a stream."""

    @abstractmethod
    def record_end(
        self, request_id: str, stated: StatedLoad | None, now: float, *, has_run: bool
    ) -> None:
        """Record the end of a send, with the load that the answer stated."""

    @abstractmethod
    def forget_request(self, request_id: str) -> None:
        """Drop a request that was not sent, or whose server has left."""

    @abstractmethod
    def forget_server(self, server_id: str) -> None:
        """Drop a server that has left."""

    # Refusing

    @abstractmethod
    def claim(self, team: str, target: Target, now: float) -> Promise | None:
        """Return the promise that a later attempt claims, if there is one."""

    @abstractmethod
    def record_refused(
        self, entry: WaitingEntry, retry_after_s: float, now: float, *, will_retry: bool
    ) -> None:
        """Record a refusal and what the requester was told."""

    @abstractmethod
    def is_forecast_due(self, now: float) -> bool:
        """Return whether the expected waits have to be computed again."""

    @abstractmethod
    def update_forecast(self, held: Sequence[WaitingEntry], now: float) -> None:
        """Compute the expected waits.

        ``held`` are the requests that wait because their servers have no place; others
        wait for a model, whose time the leader expects.
        """

    @abstractmethod
    def expected_wait_s(self, request_id: str) -> float | None:
        """Return how long a request is expected to wait, or None if unknown."""

    @abstractmethod
    def is_hopeless(self, request_id: str, give_up_at: float, now: float) -> bool:
        """Return whether no place is expected before a request gives up."""

    # Other gateways

    @abstractmethod
    def set_members(self, member_ids: Sequence[str]) -> None:
        """Set all gateways, in order."""

    @abstractmethod
    def record_report(self, report: TeamUsageReport, now: float) -> None:
        """Record what teams use at other gateways."""

    @abstractmethod
    def exchange_usage(self, now: float) -> UsageSent | None:
        """Apply the usage at other gateways and return the next report, if any."""

    @property
    @abstractmethod
    def next_exchange_at(self) -> float:
        """When `exchange_usage` is due; infinite if never."""

    @abstractmethod
    def gauges(self) -> dict[str, float]:
        """Return values for the metrics."""
