"""The heartbeat between instances, their only regular message.

A heartbeat is small, because each instance sends several of them twice a second: times
are whole milliseconds, and members in outage statements are named by a 32-bit hash.

All ages in a heartbeat are counted at its sending. ``sent_ms`` means nothing to the
recipient, which returns it as ``echo_ms`` together with the time it was held; from
these the first sender bounds how long the answer can have been under way, without any
agreement between clocks (see `siskinspool.machines.freshness`).
"""

from __future__ import annotations

import attrs
import xxhash

from ..core.message import Message
from ..links.codec import wire

# Stands for "no evidence" and "nothing to echo".
UNKNOWN_MS = -1


@wire
@attrs.frozen
class Heartbeat(Message):
    """What an instance knows, for one neighbour."""

    # The sender's monotonic clock.
    sent_ms: int
    # `sent_ms` of the last heartbeat received from the recipient, or `UNKNOWN_MS`.
    echo_ms: int
    # Time between the receipt of that heartbeat and this one's sending.
    held_ms: int
    # Manifest revision in force at the sender.
    revision: int
    # Highest manifest revision that the sender has heard of.
    highest: int
    # Age of the sender's evidence, or `UNKNOWN_MS`.
    evidence_ms: int
    leaving_servers: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    # Age in tenths of a second of the statement "the key-value service does not
    # answer", by `member_hash` of the member that made it.
    outage: dict[int, int] = attrs.field(factory=dict)


def member_hash(instance_id: str) -> int:
    """Return the 32-bit hash that stands for a member in outage statements."""
    return int(xxhash.xxh32_intdigest(instance_id.encode()))
