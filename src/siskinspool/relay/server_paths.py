"""The decision on the way to each server: direct, or through another instance.

A failed connection does not tell whose fault it is. The first one is taken for the
server's, as servers fail more often than networks, and the call is free to go to
another server. From the second one on without a connection in between, another instance
is asked to connect: if it can, the server is sound and this instance has no path to it
(an *indirect* server). Calls to an indirect server go through others at once, until a
probe has connected to it. If nobody can, the server is *lost*, and others are not asked
for it again for some time.

If several servers are indirect and no connection has succeeded since, the instance is
cut off: calls to all servers go through others.

If several servers are lost and no connection has succeeded since, this instance and
those that it asks have no path: it is *isolated*. Calls to the lost servers then fail
at once, except for one attempt at a time that finds out about the end.

An instance that could not connect, although another one could, is probably cut off as
well and is avoided for some time. Others are chosen in the own zone first, and differ
from server to server, which spreads the calls.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

import attrs

from ..core.member import Member
from ..core.status import Status
from ..machines.rendezvous import score
from ..server_signals.observations import ServerStart

# Failed connections in a row, to any servers, from which on others are asked.
MIN_FAILURES: Final = 2
# How long a server counts as lost to all.
LOST_TTL_S: Final = 2.0
MAX_LOST: Final = 1_024
# Indirect servers without any connection in between that show a cut.
MIN_INDIRECT_OF_CUT: Final = 2
# Instances that are asked for one call.
MAX_RELAYS_PER_CALL: Final = 2
# How long an instance is avoided that could not connect; doubles with each further
# failure.
MIN_AVOID_S: Final = 1.0
MAX_AVOID_S: Final = 8.0
# A server that is not called any more is forgotten.
UNUSED_TTL_S: Final = 10.0
MAX_INDIRECT: Final = 1_024
PROBE_INTERVAL_S: Final = 0.5
# Lost servers without any connection in between that show an isolation. More than for a
# cut, as nobody has shown that these servers are sound.
MIN_LOST_OF_ISOLATION: Final = 3
# The shortest time between two attempts at lost servers during an isolation.
ATTEMPT_INTERVAL_S: Final = 0.5
# Instances of other zones that are compared for one call.
COMPARED_MEMBERS: Final = 8


@attrs.define
class _IndirectServer:
    """A server that only other instances reach; times in seconds."""

    start: ServerStart
    used_at: float


@attrs.define
class _Avoidance:
    """An instance that could not connect to a server that others reach."""

    until: float
    # How long it is avoided after the next failure.
    next_s: float


class ServerPaths:
    """The servers without a direct path, and the instances to go through."""

    def __init__(self, instance_id: str, zone: str, rng: random.Random) -> None:
        """Initialize with this instance and the random source of the choice."""
        self._id = instance_id
        self._zone = zone
        self._random = rng
        self._near: tuple[Member, ...] = ()
        self._far: tuple[Member, ...] = ()
        self._avoidance_by_id: dict[str, _Avoidance] = {}
        # The least recently used first.
        self._indirect_by_id: OrderedDict[str, _IndirectServer] = OrderedDict()
        # Those that were found since the last direct connection.
        self._found_ids: set[str] = set()
        self._connected_at = float("-inf")
        self._failures = 0
        # Until when a server counts as lost; the first to end first.
        self._lost_until_by_id: OrderedDict[str, float] = OrderedDict()
        # The servers that were lost since the last connection, and when the last was.
        self._lost_start_by_id: dict[str, ServerStart] = {}
        self._lost_at = float("-inf")
        self._attempt_at = float("-inf")
        self._probe_at = float("-inf")
        self.relayed_count = 0

    def set_members(self, member_by_id: Mapping[str, Member]) -> None:
        """Set the instances that may relay calls."""
        others = [
            member
            for member in member_by_id.values()
            if member.instance_id != self._id and member.relay_port
        ]
        self._near = tuple(one for one in others if one.zone == self._zone)
        self._far = tuple(one for one in others if one.zone != self._zone)
        for instance_id in self._avoidance_by_id.keys() - member_by_id.keys():
            del self._avoidance_by_id[instance_id]

    def __len__(self) -> int:
        return len(self._indirect_by_id)

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance has no direct path to the servers."""
        return len(self._found_ids) >= MIN_INDIRECT_OF_CUT

    @property
    def is_isolated(self) -> bool:
        """Whether neither this instance nor those that it asks reach the servers."""
        return len(self._lost_start_by_id) >= MIN_LOST_OF_ISOLATION

    def may_try(self, start: ServerStart, now: float) -> bool:
        """Return whether a call to a server may be tried, directly or through others.

        During an isolation, True for a lost server reserves the next attempt.
        """
        if not self.is_isolated or start.server_id not in self._lost_start_by_id:
            return True
        if now < self._attempt_at:
            return False
        self._attempt_at = now + ATTEMPT_INTERVAL_S
        return True

    def goes_direct(self, start: ServerStart) -> bool:
        """Return whether a call to a server is first tried directly."""
        return start.server_id not in self._indirect_by_id and not self.is_cut_off

    def record_failed(self, start: ServerStart, now: float) -> bool:
        """Record a failed connection; return whether to ask others for one."""
        self._failures += 1
        return self._failures >= MIN_FAILURES and not self.is_lost(start, now)

    def is_lost(self, start: ServerStart, now: float) -> bool:
        """Return whether others could not connect to a server a short time ago."""
        return now < self._lost_until_by_id.get(start.server_id, now)

    def record_lost_server(self, start: ServerStart, now: float) -> bool:
        """Record a server to which the others that were asked could not connect.

        Returns whether this instance has become isolated.
        """
        was_isolated = self.is_isolated
        self._lost_at = now
        if len(self._lost_start_by_id) < MAX_LOST:
            self._lost_start_by_id[start.server_id] = start
        self._lost_until_by_id.pop(start.server_id, None)
        self._lost_until_by_id[start.server_id] = now + LOST_TTL_S
        if len(self._lost_until_by_id) > MAX_LOST:
            self._lost_until_by_id.popitem(last=False)
        return self.is_isolated and not was_isolated

    def relays(self, start: ServerStart, now: float) -> tuple[Member, ...]:
        """Return the instances to ask for a connection, the preferred one first."""
        near = [one for one in self._near if self._is_usable(one, now)]
        far = [one for one in self._far if self._is_usable(one, now)]
        if len(far) > COMPARED_MEMBERS:
            far = self._random.sample(far, COMPARED_MEMBERS)
        key = f"{self._id}/{start.server_id}"

        def preference(member: Member) -> int:
            return score(key, member.instance_id)

        near.sort(key=preference, reverse=True)
        far.sort(key=preference, reverse=True)
        # At most one of the own zone, which may be cut off as a whole.
        chosen = near[:1] + far + near[1:]
        return tuple(chosen[:MAX_RELAYS_PER_CALL])

    def record_connected(self, start: ServerStart, now: float) -> bool:
        """Record a direct connection; return whether any path has changed."""
        was_cut_off = self.is_cut_off
        self._connected_at = now
        self._found_ids.clear()
        self._failures = 0
        self._lost_start_by_id.clear()
        if was_cut_off:
            self._indirect_by_id.clear()
            return True
        if self._indirect_by_id.pop(start.server_id, None) is None:
            return False
        # The others are probably back, too.
        self._probe_at = now
        return True

    def record_relayed(
        self,
        start: ServerStart,
        relay_id: str,
        failed_ids: list[str],
        now: float,
        *,
        began_at: float = math.inf,
    ) -> bool:
        """Record a connection through another instance; return whether it is news.

        ``failed_ids`` are the instances that could not connect before. A call that
        began before the last direct connection does not show that the path is lost.
        """
        self.relayed_count += 1
        self._lost_start_by_id.clear()
        self._avoidance_by_id.pop(relay_id, None)
        for instance_id in failed_ids:
            self._avoid(instance_id, now)
        known = self._indirect_by_id.get(start.server_id)
        if known is not None and known.start == start:
            known.used_at = now
            self._indirect_by_id.move_to_end(start.server_id)
            return False
        if began_at < self._connected_at:
            return False
        self._found_ids.add(start.server_id)
        self._indirect_by_id[start.server_id] = _IndirectServer(start, now)
        if len(self._indirect_by_id) > MAX_INDIRECT:
            server_id, _ = self._indirect_by_id.popitem(last=False)
            self._found_ids.discard(server_id)
        return True

    def record_lost_relay(self, relay_id: str, now: float) -> None:
        """Record an instance that did not answer."""
        self._avoid(relay_id, now)

    def pop_probe(self, now: float) -> ServerStart | None:
        """Return the server to probe now, if one is due."""
        self._drop_unused(now)
        starts = [one.start for one in self._indirect_by_id.values()]
        if self.is_isolated:
            starts += self._lost_start_by_id.values()
        if not starts or now < self._probe_at:
            return None
        self._probe_at = now + PROBE_INTERVAL_S
        return self._random.choice(starts)

    def wake_at(self) -> float | None:
        """Return when the next probe is due."""
        return self._probe_at if self._indirect_by_id or self.is_isolated else None

    def status(self) -> Status:
        """Return the servers that are reached through others only."""
        return {
            "cut_off": self.is_cut_off,
            "isolated": self.is_isolated,
            "indirect": sorted(self._indirect_by_id),
            "avoided": sorted(self._avoidance_by_id),
        }

    def gauges(self) -> dict[str, float]:
        """Return how many servers have no direct path, and the relayed calls."""
        return {
            "relay.cut_off": float(self.is_cut_off),
            "relay.isolated": float(self.is_isolated),
            "relay.indirect_servers": float(len(self._indirect_by_id)),
            "relay.calls_sent": float(self.relayed_count),
        }

    def _is_usable(self, member: Member, now: float) -> bool:
        avoidance = self._avoidance_by_id.get(member.instance_id)
        return avoidance is None or now >= avoidance.until

    def _avoid(self, instance_id: str, now: float) -> None:
        known = self._avoidance_by_id.get(instance_id)
        duration_s = MIN_AVOID_S if known is None else known.next_s
        next_s = min(2 * duration_s, MAX_AVOID_S)
        self._avoidance_by_id[instance_id] = _Avoidance(now + duration_s, next_s)

    def _drop_unused(self, now: float) -> None:
        if now - self._lost_at >= UNUSED_TTL_S:
            self._lost_start_by_id.clear()
        while self._indirect_by_id:
            oldest = next(iter(self._indirect_by_id.values()))
            if now - oldest.used_at < UNUSED_TTL_S:
                return
            server_id, _ = self._indirect_by_id.popitem(last=False)
            self._found_ids.discard(server_id)
