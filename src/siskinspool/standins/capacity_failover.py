"""Costs of failures at the target sizes: messages, calls and refused work.

The computation uses the times set by the design: the time to live of a session, the
lifetime of a share, and the time that a new quota allocator waits.
"""

from __future__ import annotations

from typing import Final

import attrs

from .capacity_roles import RoleCosts
from .capacity_target import (
    ALLOCATOR_WAIT_S,
    HOUR_S,
    KV_WRITES_PER_S,
    PARTITIONS_PER_KIND,
    REGIONS,
    SESSION_TTL_S,
    SHARE_TTL_S,
)

PARTITIONS: Final = 3 * PARTITIONS_PER_KIND + 1
# A takeover reads the session and writes the owner record.
CALLS_PER_TAKEOVER: Final = 2
# Lease grant, read and write of the session, the listing and the configuration.
CALLS_PER_START: Final = 6
# One member leaves and one joins.
CHANGES_PER_RESTART: Final = 2


@attrs.frozen(kw_only=True)
class FailureCost:
    """Costs of one kind of failure at one site, and the work that it loses."""

    name: str
    per_day: str
    # Watch events and messages, over all instances.
    messages: float
    kv_calls: float
    # Processor time at each remaining instance.
    processor_s: float
    refused: str


class Failover:
    """Computes the costs of failures at one site."""

    def __init__(self, roles: RoleCosts) -> None:
        self._roles = roles
        self._site = roles.site

    def events(self) -> list[FailureCost]:
        """Return the costs of the events that the design page names."""
        return [
            self._instance_failure(),
            self._instance_restart(),
            self._zone_loss(),
            self._region_partition(),
        ]

    @property
    def allocator_gap_s(self) -> float:
        """Time without quota shares for the teams of a failed allocator.

        A share expires 10 s after the last grant. The session of the failed owner
        expires at most 15 s after its last renewal, and the new owner hands out the
        remaining quota 11 s after its takeover.
        """
        return SESSION_TTL_S + ALLOCATOR_WAIT_S - SHARE_TTL_S

    @property
    def refused_per_allocator(self) -> float:
        """Requests that arrive during the gap for the teams of one partition."""
        return self._site.requests_per_s / PARTITIONS_PER_KIND * self.allocator_gap_s

    @property
    def record_rewrite_s(self) -> float:
        """Time that a new placement owner needs to rewrite all records."""
        return self._site.servers / KV_WRITES_PER_S

    def _member_change_s(self) -> float:
        roles, instances = self._roles, self._site.instances
        us = roles.value_at("time.Ownership.members", instances)
        us += roles.value_at("time.Membership.heartbeat", instances)
        return roles.assignment_s() + us / 1e6

    def _instance_failure(self) -> FailureCost:
        site = self._site
        owned_partitions = PARTITIONS / site.instances
        failed_allocators = PARTITIONS_PER_KIND / site.instances
        rewritten_records = site.servers / site.instances
        events = (1 + owned_partitions) * site.instances
        refused = failed_allocators * self.refused_per_allocator
        return FailureCost(
            name="an instance fails",
            per_day=f"{site.failures_per_day:.1f}",
            messages=events,
            kv_calls=owned_partitions * CALLS_PER_TAKEOVER + rewritten_records,
            processor_s=self._member_change_s(),
            refused=f"{site.running_per_instance:.0f} calls cut; "
            f"{refused:,.0f} requests refused on average "
            f"({self.refused_per_allocator:,.0f} with each mint)",
        )

    def _instance_restart(self) -> FailureCost:
        site = self._site
        owned_partitions = PARTITIONS / site.instances
        rewritten_records = site.servers / site.instances
        events = (CHANGES_PER_RESTART + 2 * owned_partitions) * site.instances
        return FailureCost(
            name="an instance is restarted",
            per_day=f"{site.restarts_per_day:.0f}",
            messages=events,
            kv_calls=2 * owned_partitions + rewritten_records + CALLS_PER_START,
            processor_s=CHANGES_PER_RESTART * self._member_change_s(),
            refused="none by design: it drains and releases",
        )

    def _zone_loss(self) -> FailureCost:
        site = self._site
        zones = 18 / REGIONS if site.instances < 100 else 18
        lost = site.instances / zones
        moved_partitions = PARTITIONS / zones
        remaining = site.instances - lost
        failed_allocators = PARTITIONS_PER_KIND / zones
        # The placement owner is lost with probability 1 / zones. It is counted as lost
        # here, so its successor rewrites the record of each server.
        calls = moved_partitions * CALLS_PER_TAKEOVER + site.servers
        refused = min(
            failed_allocators * self.refused_per_allocator, site.requests_per_s * HOUR_S
        )
        return FailureCost(
            name=f"a zone is lost ({lost:.0f} instances)",
            per_day="a few a year",
            messages=(lost + moved_partitions) * remaining,
            kv_calls=calls,
            processor_s=lost * self._member_change_s(),
            refused=f"{lost * site.running_per_instance:,.0f} calls cut; "
            f"{refused:,.0f} requests refused for want of a mint; "
            f"no loads for {SESSION_TTL_S:.0f} s + {self.record_rewrite_s:.0f} s",
        )

    def _region_partition(self) -> FailureCost:
        site = self._site
        if site.instances < 100:
            return FailureCost(
                name="an hour between regions",
                per_day="now and then",
                messages=0.0,
                kv_calls=0.0,
                processor_s=0.0,
                refused="none: a site has nothing outside of its region",
            )
        cut = site.instances / REGIONS
        refused = site.requests_per_s / REGIONS * HOUR_S
        return FailureCost(
            name="an hour between one region and the others",
            per_day="now and then",
            messages=2 * cut * (site.instances - cut),
            kv_calls=PARTITIONS / REGIONS * CALLS_PER_TAKEOVER + cut * CALLS_PER_START,
            processor_s=2 * cut * self._member_change_s(),
            refused=f"{refused:,.0f} requests: the part without the service is no "
            "majority and refuses all work with a key",
        )
