"""What failures cost at the target: messages, calls and refused work.

The sums follow the times that the design sets: the session's time to live, the life of
a share, and the wait of a new mint.
"""

from __future__ import annotations

from typing import Final

import attrs

from .capacity_roles import Roles
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
# A takeover reads the session and writes the record.
CALLS_PER_TAKEOVER: Final = 2
# Grant, read and write of a session, the listing and the configuration.
CALLS_PER_START: Final = 6
# A member that goes and one that comes.
CHANGES_PER_RESTART: Final = 2


@attrs.frozen(kw_only=True)
class Event:
    """The cost of one kind of event at one site."""

    name: str
    per_day: str
    # Watch events and messages to all instances.
    messages: float
    kv_calls: float
    # Processor time at each remaining instance.
    processor_s: float
    refused: str


class Failover:
    """Costs of failures at one site."""

    def __init__(self, roles: Roles) -> None:
        self._roles = roles
        self._site = roles.site

    def events(self) -> list[Event]:
        """Return the events of the design page."""
        return [
            self._instance_fails(),
            self._instance_restarts(),
            self._zone_is_lost(),
            self._regions_part(),
        ]

    @property
    def allocator_gap_s(self) -> float:
        """Time without shares of a dead mint's teams.

        A share ends 10 s after the last grant. The session ends at most 15 s after its
        last renewal, and the successor mints the rest 11 s after its takeover.
        """
        return SESSION_TTL_S + ALLOCATOR_WAIT_S - SHARE_TTL_S

    @property
    def refused_per_allocator(self) -> float:
        """Requests that arrive in the gap for the teams of one partition."""
        return self._site.requests_per_s / PARTITIONS_PER_KIND * self.allocator_gap_s

    @property
    def record_rewrite_s(self) -> float:
        """Time in which a new placement owner writes all records again."""
        return self._site.servers / KV_WRITES_PER_S

    def _member_change_s(self) -> float:
        roles, instances = self._roles, self._site.instances
        us = roles.value_at("time.Ownership.members", instances)
        us += roles.value_at("time.Membership.heartbeat", instances)
        return roles.assignment_s() + us / 1e6

    def _instance_fails(self) -> Event:
        site = self._site
        owned = PARTITIONS / site.instances
        mints = PARTITIONS_PER_KIND / site.instances
        seals = site.servers / site.instances
        events = (1 + owned) * site.instances
        refused = mints * self.refused_per_allocator
        return Event(
            name="an instance fails",
            per_day=f"{site.failures_per_day:.1f}",
            messages=events,
            kv_calls=owned * CALLS_PER_TAKEOVER + seals,
            processor_s=self._member_change_s(),
            refused=f"{site.running_per_instance:.0f} calls cut; "
            f"{refused:,.0f} requests refused on average "
            f"({self.refused_per_allocator:,.0f} with each mint)",
        )

    def _instance_restarts(self) -> Event:
        site = self._site
        owned = PARTITIONS / site.instances
        seals = site.servers / site.instances
        events = (CHANGES_PER_RESTART + 2 * owned) * site.instances
        return Event(
            name="an instance is restarted",
            per_day=f"{site.restarts_per_day:.0f}",
            messages=events,
            kv_calls=2 * owned + seals + CALLS_PER_START,
            processor_s=CHANGES_PER_RESTART * self._member_change_s(),
            refused="none by design: it drains and releases",
        )

    def _zone_is_lost(self) -> Event:
        site = self._site
        zones = 18 / REGIONS if site.instances < 100 else 18
        lost = site.instances / zones
        taken = PARTITIONS / zones
        left = site.instances - lost
        mints = PARTITIONS_PER_KIND / zones
        # Each remaining server report and record stays; the owner is lost with a zone
        # with probability 1 / zones, and is counted as lost here.
        calls = taken * CALLS_PER_TAKEOVER + site.servers
        refused = min(mints * self.refused_per_allocator, site.requests_per_s * HOUR_S)
        return Event(
            name=f"a zone is lost ({lost:.0f} instances)",
            per_day="a few a year",
            messages=(lost + taken) * left,
            kv_calls=calls,
            processor_s=lost * self._member_change_s(),
            refused=f"{lost * site.running_per_instance:,.0f} calls cut; "
            f"{refused:,.0f} requests refused for want of a mint; "
            f"no loads for {SESSION_TTL_S:.0f} s + {self.record_rewrite_s:.0f} s",
        )

    def _regions_part(self) -> Event:
        site = self._site
        if site.instances < 100:
            return Event(
                name="an hour between regions",
                per_day="now and then",
                messages=0.0,
                kv_calls=0.0,
                processor_s=0.0,
                refused="none: a site has nothing outside of its region",
            )
        cut = site.instances / REGIONS
        refused = site.requests_per_s / REGIONS * HOUR_S
        return Event(
            name="an hour between one region and the others",
            per_day="now and then",
            messages=2 * cut * (site.instances - cut),
            kv_calls=PARTITIONS / REGIONS * CALLS_PER_TAKEOVER + cut * CALLS_PER_START,
            processor_s=2 * cut * self._member_change_s(),
            refused=f"{refused:,.0f} requests: the part without the service is no "
            "majority and refuses all work with a key",
        )
