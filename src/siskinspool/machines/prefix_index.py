"""Index of the servers that probably hold the KV cache of a prompt prefix.

Hints are delayed and incomplete, and servers evict prefixes without notice. A hint is
therefore only a bonus in the choice of a server, and the bonus decays exponentially.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import attrs

from .routing_messages import PrefixHint

# Bonus of a fresh hint for the whole prefix, in units of load ratio: a server with the
# cached prompt is preferred to one whose load ratio is lower by up to this difference.
FULL_BONUS: Final = 0.5
HALF_LIFE_S: Final = 60.0
# About 200 bytes each, so 2 MB of an instance's 64 MB.
MAX_HINTS: Final = 10_000


@attrs.frozen
class PrefixKey:
    """A cached prefix on a server."""

    server_id: str
    prefix_hash: int


class PrefixIndex:
    """The most recent hints, up to a maximum number."""

    def __init__(self, max_hints: int = MAX_HINTS) -> None:
        self._max_hints = max_hints
        self._published_at: OrderedDict[PrefixKey, float] = OrderedDict()

    def record_hint(self, hint: PrefixHint, now: float) -> None:
        """Record a hint; an older one does not replace a newer one."""
        key = PrefixKey(hint.server_id, hint.prefix_hash)
        at = now - hint.age_s
        self._published_at[key] = max(at, self._published_at.get(key, at))
        self._published_at.move_to_end(key)
        if len(self._published_at) > self._max_hints:
            self._published_at.popitem(last=False)

    def forget_server(self, server_id: str) -> None:
        """Drop the hints of a server that has restarted."""
        stale = [key for key in self._published_at if key.server_id == server_id]
        for key in stale:
            del self._published_at[key]

    def bonus(self, server_id: str, hashes: Sequence[int], now: float) -> float:
        """Return the bonus for the longest hinted prefix.

        The hashes are chained, so a hint for a long prefix also covers shorter
        prefixes whose hints were lost.
        """
        for blocks in range(len(hashes), 0, -1):
            key = PrefixKey(server_id, hashes[blocks - 1])
            published_at = self._published_at.get(key)
            if published_at is not None:
                decay = 0.5 ** (max(0.0, now - published_at) / HALF_LIFE_S)
                return FULL_BONUS * blocks / len(hashes) * float(decay)
        return 0.0
