"""The state of a server at one instance, and the limit on calls to it.

Instances dispatch independently on the same reports, so each uses only its share of the
reported free capacity: one half is divided equally among all instances, the other half
in proportion to the calls that each already runs there. The shares add up to the free
capacity; an idle instance can start at once, and a single busy one gets nearly all
within a few reports. Fractional slots are rounded at random, so that many instances do
not all round up. On a full server, an instance above its equal share gives up one slot
per report, so that other instances can start calls.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from typing import Final

import attrs

from .circuit_breaker import CircuitBreaker
from .local_calls import LocalCalls
from .messages import RampSlots, ReplicaState, ReportedReplica, ServerReport
from .ramp_grant import RampGrants

# A server whose last report is older than this gets no new work (R7, R11).
REPORT_MAX_AGE_S: Final = 3.0


@attrs.define
class EndpointState(ABC):
    """Common state of model servers and plain services."""

    calls: LocalCalls = attrs.field(factory=LocalCalls, init=False)
    breaker: CircuitBreaker = attrs.field(factory=CircuitBreaker, init=False)

    @property
    @abstractmethod
    def boot_id(self) -> str:
        """Return the id of the server's current start; empty if unknown."""

    @abstractmethod
    def load_ratio(self) -> float:
        """Return the estimated load as a fraction of capacity."""

    @abstractmethod
    def has_capacity(self, now: float) -> bool:
        """Return whether one more call may be sent."""

    def accepts(self, now: float) -> bool:
        """Return whether capacity and breaker allow a call."""
        return self.has_capacity(now) and self.breaker.allows_call(now)

    def record_sent(self, call_id: str, now: float) -> None:
        """Record that a call was sent."""
        self.calls.record_sent(call_id, now)
        self.breaker.record_sent(call_id)

    def record_ended(self, call_id: str, failed: bool | None, now: float) -> None:
        """Record a call's end; ``failed`` is None if the server was not the cause."""
        self.calls.record_end(call_id, now, keep=self.boot_id != "")
        if failed is None:
            self.breaker.record_cancelled(call_id)
        else:
            self.breaker.record_result(call_id, failed, now)


@attrs.define
class ServiceState(EndpointState):
    """A plain service, which sends no reports: only own calls are known."""

    # This instance's share of the service's capacity, in concurrent calls.
    limit: int = 1

    @property
    def boot_id(self) -> str:
        """Return the empty string: plain services have no boot id."""
        return ""

    def load_ratio(self) -> float:
        """Return own calls as a fraction of the limit."""
        return len(self.calls) / self.limit

    def has_capacity(self, now: float) -> bool:
        """Return whether one more call stays within the limit."""
        return len(self.calls) < self.limit


@attrs.define
class ServerState(EndpointState):
    """A model server and its last report."""

    _report: ServerReport | None = attrs.field(default=None, init=False)
    _measured_at: float = attrs.field(default=0.0, init=False)
    # Limit on concurrent own calls until the next report, if there is no ramp.
    _call_limit: int = attrs.field(default=0, init=False)
    _grants: RampGrants = attrs.field(factory=RampGrants, init=False)

    @property
    def boot_id(self) -> str:
        """Return the boot id of the last report."""
        return "" if self._report is None else self._report.boot_id

    @property
    def report(self) -> ServerReport | None:
        """Return the last report; None before the first."""
        return self._report

    def ramp_slots(self, now: float) -> int | None:
        """Return the ramp slots of this instance; None if there is no ramp."""
        return self._grants.limit(self.boot_id, now)

    def loaded_replicas(self) -> frozenset[ReportedReplica]:
        """Return the loaded replicas of the last report."""
        if self._report is None:
            return frozenset()
        return frozenset(
            replica
            for replica in self._report.replicas
            if replica.state is ReplicaState.LOADED
        )

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the last report is recent enough to send work."""
        return self._report is not None and now - self._measured_at <= REPORT_MAX_AGE_S

    def update_report(
        self, report: ServerReport, instance_count: int, rng: random.Random, now: float
    ) -> bool:
        """Apply a report; return False if a later one is known."""
        measured_at = now - report.age_s
        if self._report is not None and measured_at < self._measured_at:
            return False
        loaded_before = self.loaded_replicas()
        rebooted = report.boot_id != self.boot_id
        self._report = report
        self._measured_at = measured_at
        self.calls.drop_measured_ends(measured_at)
        if rebooted:
            self._grants.keep_only_boot(report.boot_id)
        elif not loaded_before <= self.loaded_replicas():
            self._grants.withdraw_unlimited(report.boot_id)
        self._call_limit = self._compute_call_limit(report, instance_count, rng)
        return True

    def update_slots(self, message: RampSlots, now: float) -> None:
        """Record leased ramp slots."""
        self._grants.record_lease(message, self.boot_id, now)

    def load_ratio(self) -> float:
        """Return the reported load plus own changes since, over capacity."""
        if self._report is None:
            return 1.0
        return self._estimated_load(self._report) / max(1, self._report.capacity)

    def has_capacity(self, now: float) -> bool:
        """Return whether report, ramp and own share allow one more call."""
        if self._report is None or not self.has_fresh_report(now):
            return False
        if self._estimated_load(self._report) >= self._report.capacity:
            return False
        slots = self._grants.limit(self._report.boot_id, now)
        return len(self.calls) < (self._call_limit if slots is None else slots)

    def _estimated_load(self, report: ServerReport) -> int:
        reported = report.running + report.queued
        estimated = reported + self.calls.net_change_since(self._measured_at)
        return max(estimated, len(self.calls))

    def _compute_call_limit(
        self, report: ServerReport, instance_count: int, rng: random.Random
    ) -> int:
        reported = report.running + report.queued
        own_calls = min(self.calls.count_at(self._measured_at), reported)
        free_capacity = report.capacity - reported
        if free_capacity <= 0:
            exceeds_share = (
                own_calls < reported and own_calls * instance_count > report.capacity
            )
            return own_calls - 1 if exceeds_share else own_calls
        share = 1 / instance_count
        if reported > 0:
            share = (share + own_calls / reported) / 2
        whole_slots, fraction = divmod(free_capacity * share, 1.0)
        return own_calls + int(whole_slots) + (1 if rng.random() < fraction else 0)
