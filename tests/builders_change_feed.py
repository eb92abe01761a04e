"""Simulates instances that share the changes of a key-value service.

`FeedFleet` runs the decision `ChangeFeed` of each instance with the messages between
them, a modelled service with a bounded history, and the watches and session renewals of
each instance. Faults are set as attributes and take effect at once: instances that are
dead, suspended, or cut off from the service or from each other.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.feed.change_feed import ChangeFeed
from siskinspool.feed.feed_messages import (
    CHANGE_FEED_TASK,
    WATCH_TASK,
    KeyChange,
    ListPrefixes,
    PrefixChanges,
    PrefixListed,
    StartReading,
    StopReading,
)
from siskinspool.feed.feed_times import FeedTimes
from siskinspool.links.codec import Malformed, MsgpackCodec
from siskinspool.links.compressing_codec import CompressingCodec
from siskinspool.store.kv import KvChanged, KvItem, WatchBroken, WatchListed
from siskinspool.store.kv_events import KvReachability
from siskinspool.store.revision import era_of, make_revision, number_of

LINK_S: Final = 0.002
CALL_S: Final = 0.005
WATCH_WAIT_S: Final = 2.2
# An unanswered watch or renewal is given up after this time.
WATCH_TIMEOUT_S: Final = 2.6
CALL_TIMEOUT_S: Final = 1.0
RENEW_S: Final = 0.7
RENEW_RETRY_S: Final = 0.35
RETRY_S: Final = 0.5
SESSION_S: Final = 2.5
BOUND_S: Final = 2.0
PREFIXES: Final = ("op/", "servers/", "shared/")
SESSIONS: Final = "shared/session/"


@attrs.frozen
class ServiceCopy:
    """An earlier state of the service, from which it may return."""

    revision: int
    value_by_key: dict[str, tuple[bytes, int]]


@attrs.define
class ModelService:
    """Keys with revisions, and a history that may be forgotten."""

    revision: int = 1
    value_by_key: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    history: list[KeyChange] = attrs.field(factory=list)
    forgotten_until: int = 0
    calls: int = 0

    def put(self, key: str, value: bytes) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        self.value_by_key[key] = (value, self.revision)
        self.history.append(KeyChange(key, value, self.revision))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.value_by_key.pop(key, None) is not None:
            self.revision += 1
            self.history.append(KeyChange(key, None, self.revision))

    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return the keys with a prefix."""
        return tuple(
            KvItem(key, value, revision)
            for key, (value, revision) in sorted(self.value_by_key.items())
            if key.startswith(prefix)
        )

    def since(self, prefix: str, revision: int) -> tuple[KeyChange, ...]:
        """Return the changes of keys with a prefix after a revision."""
        return tuple(
            change
            for change in self.history
            if change.revision > revision and change.key.startswith(prefix)
        )

    def copy(self) -> ServiceCopy:
        """Return a copy of the present state."""
        return ServiceCopy(self.revision, dict(self.value_by_key))

    def return_from(self, copy: ServiceCopy) -> None:
        """Lose what was written since a copy, and begin a new era."""
        era = era_of(self.revision) + 1
        self.revision = make_revision(era, number_of(copy.revision))
        self.value_by_key = {
            key: (value, make_revision(era, number_of(revision)))
            for key, (value, revision) in copy.value_by_key.items()
        }
        self.history.clear()

    def forget_history(self) -> None:
        """Refuse watches that start before the present revision."""
        self.forgotten_until = self.revision


@attrs.define
class _Watch:
    """The watch of one prefix by one instance."""

    prefix: str
    # None while the prefix is to be listed.
    revision: int | None
    only_lists: bool = False
    is_broken: bool = False
    is_ended: bool = False
    # Since when the service has not answered, if it does not.
    silent_since: float | None = None
    # The connection of the watch has gone silent.
    is_silent: bool = False
    answered_at: float = 0.0
    listed_at: float = float("-inf")


class FeedInstance:
    """One instance: its decision, its watches and what it has published."""

    def __init__(self, name: str, zone: str, start: int, seed: int) -> None:
        self.name = name
        self.own = Member(name, f"{name}-{start}", zone, "h", 1)
        self.decision = ChangeFeed(
            self.own,
            dict.fromkeys(PREFIXES, ("listener",)),
            FeedTimes.from_bound(BOUND_S),
            random.Random(f"{seed}/{name}/{start}"),
        )
        self.watches: list[_Watch] = []
        self.members: dict[str, Member] = {name: self.own}
        # The published state, and the times of the publications.
        self.value_by_key: dict[str, bytes] = {}
        self.revision_by_key: dict[str, int] = {}
        self.seen_at_by_revision: dict[int, float] = {}
        # Messages that arrive while the instance is suspended.
        self.held: list[Incoming] = []
        self.renewed_at = 0.0
        self.is_reading = False
        # The next call, on an idle connection that has gone silent, is not answered.
        self.is_call_silent = False
        # Prefixes whose listeners know of an outage, and the keys whose removal was
        # published meanwhile.
        self.interrupted_prefixes: set[str] = set()
        self.doubted_removals: set[str] = set()
        # Of the scheduled wake-up; earlier ones are void.
        self.wake_number = 0


class FeedFleet:
    """Instances, their links and the service; times are in seconds."""

    def __init__(self, count: int, zones: int = 3, seed: int = 1) -> None:
        """Start instances, spread over the zones."""
        self.now = 100.0
        self.service = ModelService()
        self.by_name: dict[str, FeedInstance] = {}
        self.dead: set[str] = set()
        self.suspended: set[str] = set()
        # The service refuses calls of these, or does not answer them.
        self.refused: set[str] = set()
        self.unanswered: set[str] = set()
        # Pairs (sender, receiver) whose messages wait until the cut ends.
        self.cuts: set[tuple[str, str]] = set()
        self.bytes_by_name: dict[str, int] = {}
        # How long a watch that waits when the service returns from a copy goes on
        # before it is refused.
        self.return_notice_s = 0.0
        # Called for each message between instances; False drops it.
        self.passes: Callable[[str, str, Message], bool] = lambda *_: True
        self._waiting: list[tuple[str, str, Incoming]] = []
        self._zones = zones
        self._seed = seed
        self._starts = itertools.count()
        self._numbers = itertools.count()
        self._codec = CompressingCodec(MsgpackCodec())
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(count):
            self.start(f"g{number:03}", f"z{number % zones}")

    # What tests do

    def start(self, name: str, zone: str = "z0") -> None:
        """Start or restart an instance without any knowledge."""
        self.dead.discard(name)
        self.suspended.discard(name)
        instance = FeedInstance(name, zone, next(self._starts), self._seed)
        self.by_name[name] = instance
        self._renew(instance)
        self._wake(instance)

    def kill(self, name: str) -> None:
        """End a process; its session ends later."""
        self.dead.add(name)

    def resume(self, name: str) -> None:
        """Let a suspended instance go on with what has arrived meanwhile."""
        self.suspended.discard(name)
        instance = self.by_name[name]
        held, instance.held = instance.held, []
        for incoming in held:
            self._handle(instance, incoming)
        self._wake(instance)

    def post(self, name: str, message: Message) -> None:
        """Deliver a message of another task of the instance."""
        self._post(self.by_name[name], message)

    def cut(self, one: str, other: str) -> None:
        """Hold the messages between two instances, both ways."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """End all cuts and deliver what they held."""
        self.cuts.clear()
        waiting, self._waiting = self._waiting, []
        for sender, recipient, incoming in waiting:
            self._deliver_later(sender, recipient, incoming)

    def silence(self, *, only_watches: bool) -> None:
        """Let the connections to the service that are open now go silent for good."""
        for instance in self.alive():
            instance.is_call_silent = not only_watches
            for watch in instance.watches:
                watch.is_silent = True

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.now = max(at, self.now)
            action()
        self.now = until

    def alive(self) -> list[FeedInstance]:
        """Return the instances that run."""
        return [
            one
            for name, one in self.by_name.items()
            if name not in self.dead and name not in self.suspended
        ]

    def reading(self) -> list[str]:
        """Return the names of the instances that watch the service."""
        return [one.name for one in self.alive() if one.is_reading]

    def feeder(self, name: str) -> str | None:
        """Return through whom an instance hears of changes."""
        feeder = self.by_name[name].decision.status(self.now)["feeder"]
        assert feeder is None or isinstance(feeder, str)
        return feeder

    def delays(self, revision: int, since: float) -> dict[str, float]:
        """Return how long after a time each instance has seen a revision."""
        return {
            one.name: one.seen_at_by_revision.get(revision, float("inf")) - since
            for one in self.alive()
        }

    def knows_all(self, one: FeedInstance) -> bool:
        """Return whether an instance has published the service's present state."""
        present = {key: value for key, (value, _) in self.service.value_by_key.items()}
        return one.value_by_key == present

    # The world

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), action))

    def _is_current(self, instance: FeedInstance) -> bool:
        same = self.by_name.get(instance.name) is instance
        return same and instance.name not in self.dead

    def _reaches_service(self, name: str) -> bool:
        return name not in self.refused and name not in self.unanswered

    def _wake(self, instance: FeedInstance, number: int | None = None) -> None:
        """Run the decision's due work, and again when it asks for it."""
        if number is not None and number != instance.wake_number:
            # A later message has changed when the decision is due.
            return
        if not self._is_current(instance) or instance.name in self.suspended:
            return
        due = instance.decision.wake_at()
        if due is not None and due <= self.now:
            self._send(instance, instance.decision.on_time(self.now))
        self._schedule_wake(instance)

    def _schedule_wake(self, instance: FeedInstance) -> None:
        instance.wake_number += 1
        number = instance.wake_number
        due = instance.decision.wake_at()
        if due is not None and due != float("inf"):
            self._at(max(due - self.now, 0.001), lambda: self._wake(instance, number))

    def _handle(self, instance: FeedInstance, incoming: Incoming) -> None:
        if not self._is_current(instance):
            return
        if instance.name in self.suspended:
            instance.held.append(incoming)
            return
        self._send(instance, instance.decision.handle(incoming, self.now))
        self._schedule_wake(instance)

    def _post(self, instance: FeedInstance, message: Message) -> None:
        sender = Address(instance.name, WATCH_TASK)
        self._handle(instance, Incoming(sender, message))

    def _send(self, instance: FeedInstance, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            if outgoing.recipient.instance_id != instance.name:
                self._send_to_peer(instance, outgoing)
                continue
            match outgoing.message:
                case KvChanged() as changed:
                    self._publish(instance, changed)
                case WatchBroken(prefix, _):
                    instance.interrupted_prefixes.add(prefix)
                case WatchListed(prefix):
                    instance.interrupted_prefixes.discard(prefix)
                case StartReading(revisions):
                    watches = [_Watch(one, revisions.get(one)) for one in PREFIXES]
                    self._watch_all(instance, watches)
                    instance.is_reading = True
                case ListPrefixes():
                    watches = [_Watch(one, None, only_lists=True) for one in PREFIXES]
                    self._watch_all(instance, watches)
                case StopReading():
                    self._watch_all(instance, [])
                    instance.is_reading = False

    def _send_to_peer(self, instance: FeedInstance, outgoing: Outgoing) -> None:
        sender = Address(instance.name, CHANGE_FEED_TASK)
        data = self._codec.encode(sender, outgoing)
        total = self.bytes_by_name.get(instance.name, 0)
        self.bytes_by_name[instance.name] = total + len(data)
        decoded = self._codec.decode(data)
        assert not isinstance(decoded, Malformed)
        recipient = outgoing.recipient.instance_id
        if not self.passes(instance.name, recipient, decoded.incoming.message):
            return
        if (instance.name, recipient) in self.cuts:
            self._waiting.append((instance.name, recipient, decoded.incoming))
        else:
            self._deliver_later(instance.name, recipient, decoded.incoming)

    def _deliver_later(self, sender: str, recipient: str, incoming: Incoming) -> None:
        def deliver() -> None:
            instance = self.by_name.get(recipient)
            if instance is not None:
                self._handle(instance, incoming)

        self._at(LINK_S, deliver)

    def _publish(self, instance: FeedInstance, changed: KvChanged) -> None:
        known = instance.revision_by_key.get(changed.key, 0)
        assert changed.revision >= known, f"{changed.key} goes back"
        instance.revision_by_key[changed.key] = changed.revision
        instance.seen_at_by_revision.setdefault(changed.revision, self.now)
        if changed.value is None:
            instance.value_by_key.pop(changed.key, None)
            if changed.key.startswith(tuple(instance.interrupted_prefixes)):
                instance.doubted_removals.add(changed.key)
        else:
            instance.value_by_key[changed.key] = changed.value
        if changed.key.startswith(SESSIONS):
            self._update_members(instance)

    def _update_members(self, instance: FeedInstance) -> None:
        members = {instance.name: instance.own}
        for key, value in instance.value_by_key.items():
            if key.startswith(SESSIONS):
                name = key.removeprefix(SESSIONS)
                incarnation, _, zone = value.decode().partition(" ")
                if name != instance.name:
                    members[name] = Member(name, incarnation, zone, "h", 1)
        if members != instance.members:
            instance.members = members
            self._at(0.0, lambda: self._post(instance, MembershipChanged(members)))

    # Sessions and watches

    def _renew(self, instance: FeedInstance) -> None:
        """Renew the session for ever, and end it when the instance does not."""
        if not self._is_current(instance):
            return
        if instance.name in self.suspended:
            self._at(RENEW_S, lambda: self._renew(instance))
            return
        sent_at = self.now
        self.service.calls += 1
        if instance.name in self.unanswered or instance.is_call_silent:
            instance.is_call_silent = False
            self._at(CALL_TIMEOUT_S, lambda: self._renewed(instance, sent_at, False))
            return
        is_reached = self._reaches_service(instance.name)
        if is_reached:
            instance.renewed_at = self.now
            key = SESSIONS + instance.name
            value = f"{instance.own.incarnation} {instance.own.zone}".encode()
            if self.service.value_by_key.get(key, (b"", 0))[0] != value:
                self.service.put(key, value)
            self._at(SESSION_S, lambda: self._expire(instance))
        self._at(CALL_S, lambda: self._renewed(instance, sent_at, is_reached))

    def _renewed(
        self, instance: FeedInstance, sent_at: float, is_reached: bool
    ) -> None:
        era = era_of(self.service.revision) if is_reached else 0
        self._post(instance, KvReachability(is_reached, sent_at, era=era))
        interval_s = RENEW_S if is_reached else RENEW_RETRY_S
        self._at(interval_s, lambda: self._renew(instance))

    def _expire(self, instance: FeedInstance) -> None:
        if self.now - instance.renewed_at < SESSION_S - 0.001:
            return
        key = SESSIONS + instance.name
        value = self.service.value_by_key.get(key, (b"", 0))[0]
        if value.startswith(instance.own.incarnation.encode() + b" "):
            self.service.remove(key)

    def _watch_all(self, instance: FeedInstance, watches: list[_Watch]) -> None:
        for watch in instance.watches:
            watch.is_ended = True
        instance.watches = watches
        for watch in watches:
            watch.answered_at = self.now
            self._at(CALL_S, lambda watch=watch: self._step(instance, watch))  # type: ignore[misc]

    def _step(self, instance: FeedInstance, watch: _Watch) -> None:
        """Do one step of a watch."""
        if watch.is_ended or not self._is_current(instance):
            return
        delay_s = RETRY_S
        if instance.name in self.suspended:
            delay_s = CALL_S
        elif instance.name in self.unanswered or watch.is_silent:
            delay_s = self._wait_for_answer(instance, watch)
        elif instance.name in self.refused:
            self.service.calls += 1
            self._break(instance, watch)
        else:
            watch.silent_since = None
            delay_s = self._answer(instance, watch)
        if not watch.is_ended:
            self._at(delay_s, lambda: self._step(instance, watch))

    def _wait_for_answer(self, instance: FeedInstance, watch: _Watch) -> float:
        if watch.silent_since is None:
            watch.silent_since = self.now
        is_listing = watch.revision is None
        limit_s = CALL_TIMEOUT_S if is_listing else WATCH_TIMEOUT_S
        if self.now - watch.silent_since < limit_s:
            return 0.05
        watch.silent_since = None
        self._break(instance, watch)
        # After a watch that has lasted for some time, the listing follows at once.
        return RETRY_S if is_listing else CALL_S

    def _break(self, instance: FeedInstance, watch: _Watch) -> None:
        watch.revision = None
        watch.is_silent = False
        if not watch.is_broken and not watch.only_lists:
            self._post(instance, WatchBroken(watch.prefix, "no answer"))
        watch.is_broken = True

    def _answer(self, instance: FeedInstance, watch: _Watch) -> float:
        if watch.revision is None:
            self.service.calls += 1
            watch.listed_at = self.now
            items = self.service.list(watch.prefix)
            watch.revision = self.service.revision
            watch.is_broken = False
            watch.is_ended = watch.only_lists
            listed = PrefixListed(watch.prefix, items, watch.revision, self.now)
            self._post(instance, listed)
            return CALL_S
        is_other_era = era_of(watch.revision) != era_of(self.service.revision)
        if is_other_era and self.now - watch.answered_at < self.return_notice_s:
            return 0.02
        if is_other_era or watch.revision < self.service.forgotten_until:
            self.service.calls += 1
            self._break(instance, watch)
            # Listings of one watch are some time apart.
            return max(watch.listed_at + RETRY_S - self.now, CALL_S)
        changes = self.service.since(watch.prefix, watch.revision)
        if not changes and self.now - watch.answered_at < WATCH_WAIT_S:
            return 0.02
        self.service.calls += 1
        after, watch.revision = watch.revision, self.service.revision
        watch.answered_at = self.now
        self._post(
            instance,
            PrefixChanges(
                prefix=watch.prefix,
                after=after,
                revision=watch.revision,
                changes=changes,
            ),
        )
        return FeedTimes.from_bound(BOUND_S).read_pause_s
