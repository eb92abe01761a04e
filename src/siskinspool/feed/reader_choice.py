"""Which instances read the key-value service, and through whom the others hear of it.

All instances rank the members in the same way; the first are the readers. The ranking
takes the zones in turn, so that some readers remain when a zone is lost.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final, Self

import attrs

from ..core.member import Member
from ..machines.rendezvous import score

MEMBERS_PER_READER: Final = 24
MIN_READERS: Final = 2
_RANKING_KEY: Final = "reader"


@attrs.frozen
class ReaderRanking:
    """The members in the order in which they read for the others."""

    member_by_id: Mapping[str, Member]
    ranked_ids: tuple[str, ...]
    reader_count: int

    @classmethod
    def from_members(cls, member_by_id: Mapping[str, Member]) -> Self:
        """Rank the members."""
        ids_by_zone: dict[str, list[str]] = {}
        for instance_id, member in member_by_id.items():
            ids_by_zone.setdefault(member.zone, []).append(instance_id)
        rank_by_id: dict[str, tuple[int, str]] = {}
        for zone, ids in ids_by_zone.items():
            ids.sort(key=lambda name: (score(_RANKING_KEY, name), name), reverse=True)
            for position, instance_id in enumerate(ids):
                rank_by_id[instance_id] = (position, zone)
        count = max(MIN_READERS, -(-len(member_by_id) // MEMBERS_PER_READER))
        ranked = tuple(sorted(rank_by_id, key=rank_by_id.__getitem__))
        return cls(member_by_id, ranked, count)

    @property
    def reader_ids(self) -> tuple[str, ...]:
        """The ids of the readers."""
        return self.ranked_ids[: self.reader_count]

    def choose_feeder(self, own: Member, avoided_ids: Collection[str]) -> str | None:
        """Return the instance to subscribe to.

        It is a reader, preferably of the own zone, so that the subscribers of a lost
        reader spread over the others. If all readers are to be avoided, it is the next
        in the ranking, which reads as soon as it has a subscriber.
        """
        excluded = {own.instance_id, *avoided_ids}
        readers = [name for name in self.reader_ids if name not in excluded]
        if readers:
            return max(readers, key=lambda name: self._preference(own, name))
        others = self.ranked_ids[self.reader_count :]
        return next((name for name in others if name not in excluded), None)

    def _preference(self, own: Member, name: str) -> tuple[bool, int]:
        is_near = self.member_by_id[name].zone == own.zone
        return is_near, score(own.instance_id, name)
