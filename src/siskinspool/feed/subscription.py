"""The other side of the change feed: through whom this instance hears of changes."""

from __future__ import annotations

import random
from typing import Final

from ..core.member import Member
from ..core.message import Address, Outgoing
from .feed_messages import (
    CHANGE_FEED_TASK,
    FeedSubscribe,
    FeedUnsubscribe,
)
from .feed_times import FeedTimes
from .reader_choice import ReaderRanking

# How long an instance that was silent or is stopping is avoided. After an outage of the
# service, the readers should soon be used again.
AVOID_RENEWALS: Final = 1.0
_NEVER: Final = float("-inf")


class Subscription:
    """The subscription of this instance to one other; times are in seconds."""

    def __init__(self, own: Member, times: FeedTimes, rng: random.Random) -> None:
        self.feeder_id: str | None = None
        # Until when all changes are known, by the last listing or update.
        self.current_at = _NEVER
        self._own = own
        self._times = times
        self._random = rng
        self._ranking = ReaderRanking.from_members({own.instance_id: own})
        self._avoided_until_by_id: dict[str, float] = {}
        # The instances that were subscribed to before and are to be told.
        self._former_ids: list[str] = []
        self._renew_at = _NEVER
        # The instance that sent the last update, and the update's number.
        self._last_update: tuple[str, int] | None = None
        # When the feeder was chosen, for one that never sends an update.
        self._chosen_at = _NEVER
        # The first and the last of the updates that followed each other in time.
        self._first_update_at: float | None = None
        self._last_update_at = _NEVER
        self._is_after_loss = False
        self._jitter_s = 0.0

    def set_ranking(self, ranking: ReaderRanking) -> None:
        """Set the members; keep the feeder unless there is a better one."""
        self._ranking = ranking
        is_member = self.feeder_id in ranking.member_by_id
        if not is_member or self._has_better_feeder():
            self._drop_feeder()

    def avoid(self, instance_id: str, now: float) -> None:
        """Choose another instance than the given one for some time."""
        until = now + AVOID_RENEWALS * self._times.renew_s
        self._avoided_until_by_id[instance_id] = until
        if self.feeder_id == instance_id:
            self._drop_feeder()

    def record_listing(self, read_at: float) -> None:
        """Record that all prefixes were listed."""
        self.current_at = max(self.current_at, read_at)
        self._jitter_s = self._random.uniform(0.0, self._times.jitter_s)

    def record_update(
        self, sender_id: str, number: int, age_s: float, now: float
    ) -> None:
        """Record an update that left no gap."""
        self._last_update = (sender_id, number)
        self._record_evidence(age_s, now)

    def record_proof(
        self, sender_id: str, number: int, age_s: float, now: float
    ) -> None:
        """Record that nothing has changed since an update, if that has arrived."""
        if self._last_update == (sender_id, number):
            self._record_evidence(age_s, now)
        elif sender_id == self.feeder_id:
            self.request_renewal(now)

    def _record_evidence(self, age_s: float, now: float) -> None:
        current_at = now - age_s
        if current_at <= self.current_at:
            return
        if self._first_update_at is None or not self.is_fresh(now):
            self._is_after_loss = self._first_update_at is not None
            self._first_update_at = now
            # A new delay for each time that the feed is lost.
            self._jitter_s = self._random.uniform(0.0, self._times.jitter_s)
        self.current_at = current_at
        self._last_update_at = now

    def record_return(self, now: float) -> None:
        """Record that this instance itself has listed the keys of a new era.

        What the feeder proves starts from its own listing, which may be another.
        """
        self._last_update = None
        self._first_update_at = None
        self.request_renewal(now)

    def request_renewal(self, now: float) -> None:
        """Subscribe again soon, since changes are missing."""
        self._renew_at = min(self._renew_at, now + self._times.update_s / 2)

    def is_fresh(self, now: float) -> bool:
        """Return whether the last update or listing shows the recent changes."""
        return now - self.current_at <= self._times.silence_s

    def is_steady(self, now: float) -> bool:
        """Return whether this instance can rely on the updates.

        A link that was cut delivers at once what was sent meanwhile, which shows
        nothing about the present.
        """
        if self._first_update_at is None or not self.is_fresh(now):
            return False
        lasted_s = self._last_update_at - self._first_update_at
        return not self._is_after_loss or lasted_s >= self._times.update_s

    def lost_at(self) -> float:
        """Return when this instance must read for itself without another update."""
        return self.current_at + self._times.silence_s + self._jitter_s

    def pop_requests(
        self, revision_by_prefix: dict[str, int], now: float
    ) -> list[Outgoing]:
        """Return the request to the feeder if one is due."""
        if self.feeder_id is not None and self._is_silent(now):
            self.avoid(self.feeder_id, now)
        if now < self._renew_at:
            return self._pop_farewells()
        self._drop_expired_avoidances(now)
        if self.feeder_id is not None and self._has_better_feeder():
            self._drop_feeder()
        if self.feeder_id is None:
            self._choose(now)
        if self.feeder_id is None:
            self._renew_at = now + self._times.renew_s
            return self._pop_farewells()
        is_fed = self.is_fresh(now) and self._first_update_at is not None
        self._renew_at = now + (self._times.renew_s if is_fed else self._times.update_s)
        request = FeedSubscribe(revision_by_prefix)
        return [*self._pop_farewells(), self._to_instance(self.feeder_id, request)]

    def end(self) -> list[Outgoing]:
        """End the subscription, as this instance reads for itself."""
        if self.feeder_id is not None:
            self._drop_feeder()
        return self._pop_farewells()

    def wake_at(self) -> float:
        """Return when a request is due next."""
        if self.feeder_id is None:
            return self._renew_at
        silent_at = max(self.current_at, self._chosen_at) + self._times.silence_s
        return min(self._renew_at, silent_at)

    def _is_silent(self, now: float) -> bool:
        return now - max(self.current_at, self._chosen_at) > self._times.silence_s

    def _has_better_feeder(self) -> bool:
        """Return whether a reader could replace a feeder that is none."""
        reader_ids = set(self._ranking.reader_ids)
        others = reader_ids - self._avoided_until_by_id.keys() - {self._own.instance_id}
        return self.feeder_id not in reader_ids and bool(others)

    def _drop_expired_avoidances(self, now: float) -> None:
        for instance_id, until in list(self._avoided_until_by_id.items()):
            if now >= until:
                del self._avoided_until_by_id[instance_id]

    def _choose(self, now: float) -> None:
        self.feeder_id = self._ranking.choose_feeder(
            self._own, self._avoided_until_by_id
        )
        self._chosen_at = now

    def _drop_feeder(self) -> None:
        if self.feeder_id is not None:
            self._former_ids.append(self.feeder_id)
        self.feeder_id = None
        self._renew_at = _NEVER

    def _pop_farewells(self) -> list[Outgoing]:
        former_ids, self._former_ids = self._former_ids, []
        return [
            self._to_instance(name, FeedUnsubscribe())
            for name in former_ids
            if name != self.feeder_id
        ]

    def _to_instance(
        self, instance_id: str, message: FeedSubscribe | FeedUnsubscribe
    ) -> Outgoing:
        return Outgoing(Address(instance_id, CHANGE_FEED_TASK), message)
