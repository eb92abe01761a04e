"""The heartbeat, the only periodic message between instances.

It is kept small, because each instance sends several of them twice a second: times
are whole milliseconds, and members in outage statements are named by a 32-bit hash.

All ages in a heartbeat refer to the time of sending. ``sent_ms`` is opaque to the
recipient, which returns it as ``echo_ms`` together with the time it was held. From
these the original sender bounds how long the answer can have been in transit, without
synchronized clocks (see `siskinspool.machines.freshness`).
"""

from __future__ import annotations

from typing import ClassVar

import attrs
import xxhash

from ..core.message import Message
from ..links.codec import wire

# Marks missing evidence, or that there is no heartbeat to echo.
UNKNOWN_MS = -1


@wire
@attrs.frozen
class Heartbeat(Message):
    """The state of an instance, as sent to one neighbour."""

    is_replaceable: ClassVar[bool] = True

    # The sender's monotonic clock.
    sent_ms: int
    # `sent_ms` of the last heartbeat received from the recipient, or `UNKNOWN_MS`.
    echo_ms: int
    # Time between the receipt of that heartbeat and this one's sending.
    held_ms: int
    # Manifest revision that the sender applies.
    revision: int
    # Highest manifest revision that the sender knows of.
    highest: int
    # Age of the sender's evidence, or `UNKNOWN_MS`.
    evidence_ms: int
    leaving_servers: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    # Age in tenths of a second of the statement "the key-value service does not
    # answer", by `member_hash` of the member that made it.
    outage: dict[int, int] = attrs.field(factory=dict)


def member_hash(instance_id: str) -> int:
    """Return the 32-bit hash that identifies a member in outage statements."""
    return int(xxhash.xxh32_intdigest(instance_id.encode()))
