"""Selection of heartbeat neighbours, and the clock readings to echo to them.

Each instance chooses two members of its own zone and two of other zones by a symmetric
rendezvous score, so that many choices are mutual. It also sends heartbeats to members
that chose it, up to 8 neighbours in total. A fleet of up to 9 instances is fully
connected. Heartbeats must go both ways, because only an echo bounds the age of the
contents of a heartbeat.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.member import Member
from .heartbeat import UNKNOWN_MS, Heartbeat
from .rendezvous import highest_by_pair_score, pair_score

MAX_NEIGHBOURS: Final = 8
CHOSEN_PER_ZONE_KIND: Final = 2
# A member that chose this instance gets heartbeats for this long after its last one.
CHOOSER_TIMEOUT_S: Final = 3.0


@attrs.frozen
class HeartbeatEcho:
    """The clock reading to return to a neighbour."""

    sent_ms: int
    received_at: float

    def held_ms(self, now: float) -> int:
        """Return the time since the receipt in milliseconds, rounded down."""
        return int((now - self.received_at) * 1000)


NO_ECHO: Final = HeartbeatEcho(UNKNOWN_MS, 0.0)


@attrs.define
class Neighbours:
    """The members with which one instance exchanges heartbeats."""

    _own_member: Member
    _member_by_id: dict[str, Member] = attrs.field(factory=dict)
    _chosen_ids: list[str] = attrs.field(factory=list)
    _echo_by_id: dict[str, HeartbeatEcho] = attrs.field(factory=dict)

    def set_members(self, member_by_id: dict[str, Member]) -> None:
        """Choose neighbours from the members."""
        own_id = self._own_member.instance_id
        others = {
            name: member for name, member in member_by_id.items() if name != own_id
        }
        self._member_by_id = others
        if len(others) <= MAX_NEIGHBOURS:
            self._chosen_ids = sorted(others)
            return
        zone = self._own_member.zone
        same_zone = [name for name, member in others.items() if member.zone == zone]
        other_zones = [name for name, member in others.items() if member.zone != zone]
        chosen = highest_by_pair_score(own_id, other_zones, CHOSEN_PER_ZONE_KIND)
        # If one of the two groups is too small, the other one fills up.
        chosen += highest_by_pair_score(
            own_id, same_zone, 2 * CHOSEN_PER_ZONE_KIND - len(chosen)
        )
        missing = 2 * CHOSEN_PER_ZONE_KIND - len(chosen)
        rest = [name for name in other_zones if name not in chosen]
        self._chosen_ids = chosen + highest_by_pair_score(own_id, rest, missing)

    def record_heartbeat(self, sender: str, heartbeat: Heartbeat, now: float) -> None:
        """Record the clock reading to return to the sender."""
        known = self._echo_by_id.get(sender, NO_ECHO)
        # A restarted process may have a lower clock. Echoing a heartbeat that arrived
        # late would only make the sender overestimate the age of the next one.
        if (
            heartbeat.sent_ms > known.sent_ms
            or now - known.received_at > CHOOSER_TIMEOUT_S
        ):
            self._echo_by_id[sender] = HeartbeatEcho(heartbeat.sent_ms, now)

    def echo_by_recipient(self, now: float) -> dict[str, HeartbeatEcho]:
        """Return the recipients of the next heartbeat, with the echo for each."""
        for name, echo in list(self._echo_by_id.items()):
            if now - echo.received_at > CHOOSER_TIMEOUT_S:
                del self._echo_by_id[name]
        choosers = [
            name
            for name in self._echo_by_id
            if name in self._member_by_id and name not in self._chosen_ids
        ]
        own_id = self._own_member.instance_id
        choosers.sort(key=lambda name: -pair_score(own_id, name))
        free_places = MAX_NEIGHBOURS - len(self._chosen_ids)
        names = [*self._chosen_ids, *choosers[:free_places]]
        return {name: self._echo_by_id.get(name, NO_ECHO) for name in names}
