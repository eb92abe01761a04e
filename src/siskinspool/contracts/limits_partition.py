"""Assignment of teams to the partitions of the quota allocator."""

from __future__ import annotations

import hashlib
from typing import Final

PARTITIONS: Final = 16
PREFIX: Final = "limits/"


def limits_partition(team_id: str) -> str:
    """Return the partition whose owner allocates the shares of a team.

    Unlike the built-in ``hash`` of a string, this hash is the same in every process.
    """
    digest = hashlib.blake2b(team_id.encode(), digest_size=8).digest()
    return f"{PREFIX}{int.from_bytes(digest, 'big') % PARTITIONS}"
