"""Usage of each replica by this instance, for the placement owner (M2)."""

from __future__ import annotations

from typing import Final

import attrs

from .call_targets import ReplicaKey
from .messages import ReplicaUsed

USAGE_INTERVAL_S: Final = 1.0


@attrs.frozen
class UsageKey:
    """A replica on a server."""

    replica: ReplicaKey
    server_id: str


@attrs.define
class ReplicaUse:
    """Usage of one replica since the last message."""

    running: int = 0
    sent: int = 0


class ReplicaUsage:
    """Counts the calls per replica and server."""

    def __init__(self) -> None:
        self._usage_by_key: dict[UsageKey, ReplicaUse] = {}
        self._since = 0.0

    def __len__(self) -> int:
        """Return the number of replicas in use."""
        return len(self._usage_by_key)

    def record_sent(self, key: UsageKey, now: float) -> None:
        """Record that a call was sent to a replica."""
        if not self._usage_by_key:
            self._since = now
        usage = self._usage_by_key.setdefault(key, ReplicaUse())
        usage.running += 1
        usage.sent += 1

    def record_ended(self, key: UsageKey) -> None:
        """Record the end of a call."""
        self._usage_by_key[key].running -= 1

    def next_due_at(self) -> float | None:
        """Return when the next messages are due; None if no replica is in use."""
        return self._since + USAGE_INTERVAL_S if self._usage_by_key else None

    def pop_due(self, now: float) -> list[ReplicaUsed]:
        """Return the messages that are due; drop replicas that are no longer used."""
        due_at = self.next_due_at()
        if due_at is None or now < due_at:
            return []
        interval_s = now - self._since
        batch = [
            ReplicaUsed(
                key.replica.model,
                key.replica.adapter,
                key.server_id,
                usage.running,
                usage.sent / interval_s,
                sent_at=now,
            )
            for key, usage in self._usage_by_key.items()
        ]
        self._since = now
        self._usage_by_key = {
            key: ReplicaUse(running=usage.running)
            for key, usage in self._usage_by_key.items()
            if usage.running
        }
        return batch
