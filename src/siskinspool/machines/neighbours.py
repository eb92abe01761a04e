"""Which members exchange heartbeats, and the clock readings they return.

Each instance chooses two members of its own zone and two of other zones by a symmetric
rendezvous score, so that many choices are mutual, and also answers members that chose
it, up to 8 in total. A fleet of up to 9 instances is fully connected. Heartbeats have
to go both ways, because only an echo bounds the age of what a heartbeat carries.
"""

from __future__ import annotations

from typing import Final

import attrs

from .heartbeat import UNKNOWN_MS, Heartbeat
from .messages import Member
from .rendezvous import highest_by_pair_score, pair_score

MAX_NEIGHBOURS: Final = 8
CHOSEN_PER_ZONE_KIND: Final = 2
# A member that chose this instance is answered for this long after its last heartbeat.
CHOOSER_TIMEOUT_S: Final = 3.0


@attrs.frozen
class HeartbeatEcho:
    """What to return to a neighbour."""

    sent_ms: int
    received_at: float

    def held_ms(self, now: float) -> int:
        """Return the time since the receipt, rounded down."""
        return int((now - self.received_at) * 1000)


NO_ECHO: Final = HeartbeatEcho(UNKNOWN_MS, 0.0)


@attrs.define
class Neighbours:
    """The heartbeat partners of one instance."""

    _own_member: Member
    _member_by_id: dict[str, Member] = attrs.field(factory=dict)
    _chosen_ids: list[str] = attrs.field(factory=list)
    _echo_by_id: dict[str, HeartbeatEcho] = attrs.field(factory=dict)

    def set_members(self, member_by_id: dict[str, Member]) -> None:
        """Choose neighbours among the members."""
        own_id = self._own_member.instance_id
        others = {name: one for name, one in member_by_id.items() if name != own_id}
        self._member_by_id = others
        if len(others) <= MAX_NEIGHBOURS:
            self._chosen_ids = sorted(others)
            return
        zone = self._own_member.zone
        near = [name for name, one in others.items() if one.zone == zone]
        far = [name for name, one in others.items() if one.zone != zone]
        chosen = highest_by_pair_score(own_id, far, CHOSEN_PER_ZONE_KIND)
        # With one zone only, or alone in a zone, the others fill up.
        chosen += highest_by_pair_score(
            own_id, near, 2 * CHOSEN_PER_ZONE_KIND - len(chosen)
        )
        missing = 2 * CHOSEN_PER_ZONE_KIND - len(chosen)
        rest = [name for name in far if name not in chosen]
        self._chosen_ids = chosen + highest_by_pair_score(own_id, rest, missing)

    def record_heartbeat(self, sender: str, beat: Heartbeat, now: float) -> None:
        """Note what to return to the sender."""
        known = self._echo_by_id.get(sender, NO_ECHO)
        # A restarted process may have a lower clock; an old heartbeat that arrives
        # late would only make the sender take the next one as older than it is.
        if beat.sent_ms > known.sent_ms or now - known.received_at > CHOOSER_TIMEOUT_S:
            self._echo_by_id[sender] = HeartbeatEcho(beat.sent_ms, now)

    def echo_by_recipient(self, now: float) -> dict[str, HeartbeatEcho]:
        """Return whom to send a heartbeat now, with what to return to each."""
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
        room = MAX_NEIGHBOURS - len(self._chosen_ids)
        names = [*self._chosen_ids, *choosers[:room]]
        return {name: self._echo_by_id.get(name, NO_ECHO) for name in names}
