"""Ramps of cold servers, divided among all instances (R6).

A cold server starts with 10% of its capacity, which doubles after every 5 s in which
its reports show work and no failure. `RampPlan` leases the planned concurrency to
instances as slots. It assumes that an instance uses the largest grant that can still be
valid there, whichever of its grants have arrived; the sum over all instances never
exceeds the plan. A grant expires a fixed time after the instance sent the message that
it answers (`ReplicaUsed.sent_at`), so neither a delayed grant nor a paused instance
extends it. The end of a ramp is announced only after the server's record names its boot
as warm, so that a new owner does not restart the ramp. `HeldSlots` records the grants
at an instance.
"""

from __future__ import annotations

from typing import Final

import attrs

from .messages import RampSlots, ReplicaState, ServerReport
from .usage import InstanceDemand

# Running and waiting calls for a server, by instance.
DemandByInstance = dict[str, InstanceDemand]

INITIAL_CAPACITY_SHARE: Final = 0.1
DOUBLING_PERIOD_S: Final = 5.0
SLOT_TTL_S: Final = 2.0
# Delivery time allowed for a grant whose lifetime starts at receipt.
DELIVERY_MARGIN_S: Final = 1.0
GRANT_PERIOD_S: Final = 0.5
# The end of a ramp is announced repeatedly, because a message to a peer may be lost.
END_REPEAT_S: Final = 10.0


@attrs.frozen
class _Grant:
    """Slots that an instance may use, with their expiry on the owner's clock."""

    slots: int
    until: float


@attrs.define
class _Ramp:
    """The ramp of one server."""

    boot_id: str
    capacity: int
    limit: int
    doubles_at: float
    # Time of the last report; the start of the ramp before the first.
    reported_at: float
    grants_by_instance: dict[str, list[_Grant]] = attrs.field(factory=dict)
    # When each instance last got slots; the longest wait is served first.
    granted_at_by_instance: dict[str, float] = attrs.field(factory=dict)
    # Instances that were sent a message about the ramp.
    notified_instances: set[str] = attrs.field(factory=set)
    # The server passed the last step, with its whole capacity, without failures.
    is_complete: bool = False
    ended_at: float | None = None


@attrs.frozen
class SlotGrant:
    """A slot message and the instance that receives it."""

    instance_id: str
    message: RampSlots


@attrs.frozen
class _ClockSample:
    """The clock of an instance, from its latest message that carries it."""

    sent_at: float
    received_at: float


class RampPlan:
    """Ramps of all cold servers under one ownership epoch."""

    def __init__(self) -> None:
        self._ramp_by_server: dict[str, _Ramp] = {}
        self._clock_by_instance: dict[str, _ClockSample] = {}
        self._instance_ids: tuple[str, ...] = ()
        self._epoch = 0
        self._first_grant_at = 0.0
        self._next_grant_at = 0.0

    def start_epoch(self, epoch: int, now: float) -> None:
        """Start an ownership; grants wait until those of the former owner expire."""
        self._ramp_by_server.clear()
        self._clock_by_instance.clear()
        self._epoch = epoch
        self._first_grant_at = now + SLOT_TTL_S + DELIVERY_MARGIN_S
        self._next_grant_at = self._first_grant_at

    def set_instances(self, instance_ids: set[str]) -> None:
        """Set the instances among which slots are divided."""
        self._instance_ids = tuple(sorted(instance_ids))

    def record_clock(self, instance_id: str, sent_at: float | None, now: float) -> None:
        """Record an instance's clock from a message that arrived now."""
        if sent_at is None:
            return
        latest = self._clock_by_instance.get(instance_id)
        if latest is None or sent_at > latest.sent_at:
            self._clock_by_instance[instance_id] = _ClockSample(sent_at, now)

    def start_ramp(
        self, server_id: str, boot_id: str, capacity: int, now: float
    ) -> None:
        """Start the ramp of a cold server from the first step."""
        limit = min(max(int(capacity * INITIAL_CAPACITY_SHARE), 1), max(capacity, 0))
        starts_at = self._earliest_grant_at(now)
        ramp = _Ramp(boot_id, capacity, limit, starts_at + DOUBLING_PERIOD_S, starts_at)
        former = self._ramp_by_server.get(server_id)
        if former is not None and former.boot_id == boot_id:
            ramp.grants_by_instance = former.grants_by_instance
        self._ramp_by_server[server_id] = ramp

    def boot_id(self, server_id: str) -> str | None:
        """Return the boot id whose ramp is active or has just ended."""
        ramp = self._ramp_by_server.get(server_id)
        return ramp.boot_id if ramp is not None else None

    def is_ramping(self, server_id: str) -> bool:
        """Return whether a server is still limited by a ramp."""
        ramp = self._ramp_by_server.get(server_id)
        return ramp is not None and ramp.ended_at is None

    def limit(self, server_id: str) -> int | None:
        """Return the planned concurrency; None if the server is not limited."""
        ramp = self._ramp_by_server.get(server_id)
        return ramp.limit if ramp is not None and ramp.ended_at is None else None

    def completed_boot_id(self, server_id: str) -> str | None:
        """Return the boot id whose ramp is complete, if any."""
        ramp = self._ramp_by_server.get(server_id)
        return ramp.boot_id if ramp is not None and ramp.is_complete else None

    def awaiting_end(self) -> list[str]:
        """Return the servers whose ramp is complete, but not yet in their record."""
        return [
            server_id
            for server_id, ramp in self._ramp_by_server.items()
            if ramp.is_complete and ramp.ended_at is None
        ]

    def end_ramp(self, server_id: str, boot_id: str, now: float) -> None:
        """Remove the limit, after the record names the boot as warm."""
        ramp = self._ramp_by_server.get(server_id)
        if ramp is None or ramp.boot_id != boot_id:
            return
        if ramp.is_complete and ramp.ended_at is None:
            ramp.ended_at = now

    def update_from_report(self, report: ServerReport, now: float) -> None:
        """Pause the ramp while a report shows failures or an idle server.

        Only work warms a server up. Without the pause, a ramp would continue while the
        model still loads, and the first requests would reach a cold server at a late
        step.
        """
        ramp = self._ramp_by_server.get(report.server_id)
        if ramp is None:
            return
        if report.running + report.queued == 0:
            ramp.doubles_at += max(0.0, now - ramp.reported_at)
        ramp.reported_at = max(now, ramp.reported_at)
        if any(r.state is ReplicaState.FAILED for r in report.replicas):
            self.record_failure(report.server_id, now)

    def record_failure(self, server_id: str, now: float) -> None:
        """Restart the time to the next doubling."""
        ramp = self._ramp_by_server.get(server_id)
        if ramp is not None:
            ramp.doubles_at = now + DOUBLING_PERIOD_S

    def is_due(self, now: float) -> bool:
        """Return whether grants are due."""
        return bool(self._ramp_by_server) and now >= self._next_grant_at

    def make_grants_due(self, now: float) -> None:
        """Make grants due at once, because calls wait for slots."""
        self._next_grant_at = max(self._first_grant_at, min(self._next_grant_at, now))

    def grant(
        self, demand_by_server: dict[str, DemandByInstance], now: float
    ) -> list[SlotGrant]:
        """Advance the ramps and return the grants that are due."""
        if not self.is_due(now):
            return []
        self._next_grant_at = now + GRANT_PERIOD_S
        grants: list[SlotGrant] = []
        for server_id, ramp in list(self._ramp_by_server.items()):
            self._advance(ramp, now)
            if ramp.ended_at is None:
                demands = demand_by_server.get(server_id, {})
                grants += self._lease(server_id, ramp, demands, now)
                continue
            grants += [
                SlotGrant(instance_id, self.end_notice(server_id, ramp.boot_id))
                for instance_id in self._instance_ids
            ]
            if now - ramp.ended_at >= END_REPEAT_S:
                del self._ramp_by_server[server_id]
        return grants

    def end_notice(self, server_id: str, boot_id: str) -> RampSlots:
        """Return the message that removes a server's limit."""
        return RampSlots(server_id, boot_id, self._epoch, None, SLOT_TTL_S)

    def ramping_servers(self) -> list[str]:
        """Return the servers with a ramp."""
        return list(self._ramp_by_server)

    def wake_at(self) -> float | None:
        """Return when grants are due next."""
        return self._next_grant_at if self._ramp_by_server else None

    def _earliest_grant_at(self, now: float) -> float:
        return max(now, self._first_grant_at)

    def _advance(self, ramp: _Ramp, now: float) -> None:
        if ramp.ended_at is not None or now < ramp.doubles_at:
            return
        if ramp.limit >= ramp.capacity:
            ramp.is_complete = True
            return
        ramp.limit = min(ramp.limit * 2, ramp.capacity)
        ramp.doubles_at = now + DOUBLING_PERIOD_S

    def _lease(
        self, server_id: str, ramp: _Ramp, demands: DemandByInstance, now: float
    ) -> list[SlotGrant]:
        slots_in_use = self._slots_in_use(ramp, now)
        instance_ids = sorted(
            self._instance_ids, key=lambda i: (ramp.granted_at_by_instance.get(i, 0), i)
        )
        shares = split_slots(ramp.limit, tuple(instance_ids), demands)
        grants = []
        # Reductions first; an increase may use only slots that no other instance holds.
        for instance_id in sorted(shares, key=lambda i: shares[i]):
            slots_of_others = sum(
                slots for i, slots in slots_in_use.items() if i != instance_id
            )
            slots = min(shares[instance_id], ramp.limit - slots_of_others)
            if slots <= 0:
                if instance_id not in ramp.notified_instances:
                    # The instance may still treat the server as warm.
                    _, refusal = self._make_grant(server_id, ramp, instance_id, 0, now)
                    grants.append(SlotGrant(instance_id, refusal))
                    ramp.notified_instances.add(instance_id)
                continue
            grant, message = self._make_grant(server_id, ramp, instance_id, slots, now)
            if grant.until <= now:
                continue
            ramp.notified_instances.add(instance_id)
            ramp.grants_by_instance.setdefault(instance_id, []).append(grant)
            ramp.granted_at_by_instance[instance_id] = now
            slots_in_use[instance_id] = max(slots_in_use.get(instance_id, 0), slots)
            grants.append(SlotGrant(instance_id, message))
        return grants

    def _make_grant(
        self, server_id: str, ramp: _Ramp, instance_id: str, slots: int, now: float
    ) -> tuple[_Grant, RampSlots]:
        clock = self._clock_by_instance.get(instance_id)
        valid_until: float | None
        if clock is None:
            # An instance without replicas in use has not sent its clock yet.
            until, valid_until = now + SLOT_TTL_S + DELIVERY_MARGIN_S, None
        else:
            until = clock.received_at + SLOT_TTL_S
            valid_until = clock.sent_at + SLOT_TTL_S
        message = RampSlots(
            server_id, ramp.boot_id, self._epoch, slots, SLOT_TTL_S, valid_until
        )
        return _Grant(slots, until), message

    def _slots_in_use(self, ramp: _Ramp, now: float) -> dict[str, int]:
        """Return the number of slots that each instance may still be using."""
        slots_by_instance: dict[str, int] = {}
        for instance_id, grants in list(ramp.grants_by_instance.items()):
            valid = [grant for grant in grants if grant.until > now]
            if valid:
                ramp.grants_by_instance[instance_id] = valid
                slots_by_instance[instance_id] = max(grant.slots for grant in valid)
            else:
                del ramp.grants_by_instance[instance_id]
        return slots_by_instance


def split_slots(
    limit: int, instance_ids: tuple[str, ...], demands: DemandByInstance
) -> dict[str, int]:
    """Split slots among instances, given in the order in which they are served.

    Running calls keep their slots. Instances with waiting calls get the rest in
    round-robin order, so that none of them waits while another one holds an idle slot.
    The remainder is split evenly; fewer slots than instances stay unassigned, for the
    first call at any instance.
    """
    if not instance_ids:
        return {}
    no_demand = InstanceDemand()
    shares = dict.fromkeys(instance_ids, 0)
    for instance_id in instance_ids:
        running = demands.get(instance_id, no_demand).running
        shares[instance_id] = min(running, limit)
        limit -= shares[instance_id]
    waiting = {i: demands.get(i, no_demand).waiting for i in instance_ids}
    while limit > 0 and any(waiting.values()):
        for instance_id in instance_ids:
            if limit > 0 and waiting[instance_id] > 0:
                waiting[instance_id] -= 1
                shares[instance_id] += 1
                limit -= 1
    for instance_id in instance_ids:
        shares[instance_id] += limit // len(instance_ids)
    return shares


class HeldSlots:
    """The ramp slots of one instance, by server."""

    def __init__(self) -> None:
        self._slots_by_server: dict[str, tuple[RampSlots, float]] = {}

    def accept(self, message: RampSlots, now: float) -> bool:
        """Record a grant; return False for one of an older epoch."""
        latest = self._slots_by_server.get(message.server_id)
        if latest is not None and message.epoch < latest[0].epoch:
            return False
        until = message.valid_until
        if until is None:
            until = now + message.ttl_s
        self._slots_by_server[message.server_id] = (message, until)
        return True

    def usable_slots(self, server_id: str, boot_id: str, now: float) -> int | None:
        """Return the valid slots, 0 without a valid grant, None without a limit."""
        entry = self._slots_by_server.get(server_id)
        if entry is None or entry[0].boot_id != boot_id:
            return 0
        message, until = entry
        if message.slots is None:
            return None
        return message.slots if now < until else 0
