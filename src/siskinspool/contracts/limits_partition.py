"""Assignment of teams to the partitions of the mint."""

from __future__ import annotations

import hashlib
from typing import Final

PARTITIONS: Final = 16
PREFIX: Final = "limits/"


def limits_partition(team_id: str) -> str:
    """Return the partition whose owner mints the shares of a team.

    The hash is the same in every process, unlike the built-in ``hash`` of a string.
    """
    digest = hashlib.blake2b(team_id.encode(), digest_size=8).digest()
    return f"{PREFIX}{int.from_bytes(digest, 'big') % PARTITIONS}"
