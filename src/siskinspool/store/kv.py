"""The platform's key-value service: messages and the adapter interface.

Decisions talk to the service by messages to the task ``kv``: each request carries a
``request_id`` chosen by the sender and is answered by exactly one of `KvValue`,
`KvListing`, `KvSwapped`, `KvDeleted`, `KvConflict`, `KvAnswerLost` or `KvUnavailable`. Only
compare-and-swap on one key is assumed. Revisions are positive; 0 stands for "the key
does not exist".

`KeyValueService` is the adapter interface; `siskinspool.store.etcd` implements it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator

import attrs

from ..core.message import Message


@attrs.frozen
class KvRequest(Message):
    """Base class of requests to the service."""

    request_id: str


@attrs.frozen
class KvGet(KvRequest):
    """Read one key."""

    key: str


@attrs.frozen
class KvList(KvRequest):
    """Read all keys with a prefix, in key order."""

    prefix: str


@attrs.frozen
class KvSwap(KvRequest):
    """Write a key if its revision is the expected one."""

    key: str
    # 0: the key must not exist.
    expected_revision: int
    value: bytes
    # Attach the instance's session lease, so that the key goes with the session.
    with_session: bool = False
    # Attach a lease of its own with this time to live; None keeps the key for good.
    ttl_s: float | None = None


@attrs.frozen
class KvDelete(KvRequest):
    """Delete a key if its revision is the expected one."""

    key: str
    expected_revision: int


@attrs.frozen
class KvItem:
    """One key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class KvReply(Message):
    """Base class of answers of the service."""

    request_id: str


@attrs.frozen
class KvValue(KvReply):
    """The value of a key; None and revision 0 if it does not exist."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class KvListing(KvReply):
    """The keys under a prefix."""

    prefix: str
    items: tuple[KvItem, ...]


@attrs.frozen
class KvSwapped(KvReply):
    """The write took effect."""

    key: str
    revision: int


@attrs.frozen
class KvDeleted(KvReply):
    """The deletion took effect."""

    key: str


@attrs.frozen
class KvConflict(KvReply):
    """The revision was not the expected one; holds what the service has."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class KvAnswerLost(KvReply):
    """No answer came; whether the request took effect is unknown."""

    key: str


@attrs.frozen
class KvUnavailable(KvReply):
    """The request certainly did not take effect."""

    key: str


@attrs.frozen
class KvChanged(Message):
    """A watched key changed; value None means that it was deleted."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class WatchEvent:
    """One event of a watch; ``key`` is None for a progress notification."""

    key: str | None
    value: bytes | None
    revision: int


@attrs.frozen
class Snapshot:
    """The keys under a prefix, and the revision from which a watch misses nothing."""

    items: tuple[KvItem, ...]
    revision: int


@attrs.frozen
class WatchBroken(Message):
    """The watch on a prefix failed; changes are unknown until `WatchListed`."""

    prefix: str
    reason: str


@attrs.frozen
class WatchListed(Message):
    """All keys under a prefix were listed and published."""

    prefix: str


class LostAnswerError(Exception):
    """The connection ended or timed out after a request was sent."""


class UnavailableError(Exception):
    """The service was not reached; the request was not sent."""


@attrs.frozen
class SwapResult:
    """Whether a compare-and-swap took effect, with what the service now has."""

    succeeded: bool
    value: bytes | None
    # The new revision if it succeeded, else the current one (0 if absent).
    revision: int


class KeyValueService(ABC):
    """Adapter to the key-value service.

    Every method may raise `UnavailableError` (not sent) or `LostAnswerError` (sent,
    effect unknown). Times are in seconds.
    """

    @abstractmethod
    def get(self, key: str) -> KvItem | None:
        """Return a key, or None if it does not exist."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return the keys with a prefix, in key order."""

    def snapshot(self, prefix: str) -> Snapshot:
        """Return the keys with a prefix and the revision to watch from."""
        items = self.list(prefix)
        return Snapshot(items, max((item.revision for item in items), default=0))

    @abstractmethod
    def swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int | None
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""

    @abstractmethod
    def delete(self, key: str, expected_revision: int) -> SwapResult:
        """Delete a key if its revision is the expected one."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    @abstractmethod
    def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return the time to live, or None if the lease is gone."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix, from a revision on, until the link fails."""
