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

from .heartbeat import NONE_MS, Heartbeat
from .messages import Member
from .rendezvous import nearest, pair_score

MAX_NEIGHBOURS: Final = 8
CHOSEN_PER_KIND: Final = 2
# A member that chose this instance gets heartbeats for this long after its last one.
ANSWERED_FOR_S: Final = 3.0


@attrs.frozen
class Echo:
    """The clock reading to return to a neighbour."""

    sent_ms: int
    received_at: float

    def held_ms(self, now: float) -> int:
        """Return the time since the receipt in milliseconds, rounded down."""
        return int((now - self.received_at) * 1000)


NO_ECHO: Final = Echo(NONE_MS, 0.0)


@attrs.define
class Neighbours:
    """The members with which one instance exchanges heartbeats."""

    _own: Member
    _member_by_id: dict[str, Member] = attrs.field(factory=dict)
    _chosen: list[str] = attrs.field(factory=list)
    _echo_by_id: dict[str, Echo] = attrs.field(factory=dict)

    def set_members(self, member_by_id: dict[str, Member]) -> None:
        """Choose neighbours from the members."""
        own_id = self._own.instance_id
        others = {name: one for name, one in member_by_id.items() if name != own_id}
        self._member_by_id = others
        if len(others) <= MAX_NEIGHBOURS:
            self._chosen = sorted(others)
            return
        zone = self._own.zone
        near = [name for name, one in others.items() if one.zone == zone]
        far = [name for name, one in others.items() if one.zone != zone]
        chosen = nearest(own_id, far, CHOSEN_PER_KIND)
        # If one of the two groups is too small, the other one fills up.
        chosen += nearest(own_id, near, 2 * CHOSEN_PER_KIND - len(chosen))
        missing = 2 * CHOSEN_PER_KIND - len(chosen)
        rest = [name for name in far if name not in chosen]
        self._chosen = chosen + nearest(own_id, rest, missing)

    def receive(self, sender: str, beat: Heartbeat, now: float) -> None:
        """Record the clock reading to return to the sender."""
        known = self._echo_by_id.get(sender, NO_ECHO)
        # A restarted process may have a lower clock. Echoing a heartbeat that arrived
        # late would only make the sender overestimate the age of the next one.
        if beat.sent_ms > known.sent_ms or now - known.received_at > ANSWERED_FOR_S:
            self._echo_by_id[sender] = Echo(beat.sent_ms, now)

    def partners(self, now: float) -> dict[str, Echo]:
        """Return the recipients of the next heartbeat, with the echo for each."""
        for name, echo in list(self._echo_by_id.items()):
            if now - echo.received_at > ANSWERED_FOR_S:
                del self._echo_by_id[name]
        choosers = [
            name
            for name in self._echo_by_id
            if name in self._member_by_id and name not in self._chosen
        ]
        own_id = self._own.instance_id
        choosers.sort(key=lambda name: -pair_score(own_id, name))
        room = MAX_NEIGHBOURS - len(self._chosen)
        names = [*self._chosen, *choosers[:room]]
        return {name: self._echo_by_id.get(name, NO_ECHO) for name in names}
