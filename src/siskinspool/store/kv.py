"""The platform's key-value service: messages and the adapter interface.

Decisions use the service through messages to the task ``kv``: each request has a
``request_id`` chosen by the sender and gets exactly one reply: `KvValue`, `KvListing`,
`KvSwapped`, `KvDeleted`, `KvConflict`, `KvAnswerLost` or `KvUnavailable`. The service
only needs to support compare-and-swap on one key. Revisions are positive and contain
the service's era (`siskinspool.store.revision`); 0 means that the key does not exist.

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
    # 0 if the key must not exist.
    expected_revision: int
    value: bytes
    # Attach the instance's session lease, so that the key is deleted with the session.
    with_session: bool = False
    # Attach a lease with this time to live; None keeps the key permanently.
    ttl_s: float | None = None


@attrs.frozen
class KvDelete(KvRequest):
    """Delete a key if its revision is the expected one."""

    key: str
    expected_revision: int


@attrs.frozen
class KvItem:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class KvReply(Message):
    """Base class of replies of the service."""

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
    """The revision was not the expected one; contains the current state."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class KvAnswerLost(KvReply):
    """The reply was lost; it is unknown whether the request took effect."""

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
    """The keys with a prefix, and a revision after which a watch misses no change."""

    items: tuple[KvItem, ...]
    revision: int


@attrs.frozen
class WatchBroken(Message):
    """The watch on a prefix failed; changes may be missed until `WatchListed`."""

    prefix: str
    reason: str


@attrs.frozen
class WatchListed(Message):
    """All keys with a prefix were listed and published."""

    prefix: str


class LostAnswerError(Exception):
    """The connection ended or timed out after a request was sent."""


class UnavailableError(Exception):
    """The service could not be reached; the request was not sent."""


@attrs.frozen
class SwapResult:
    """The result of a compare-and-swap, with the current state of the key."""

    succeeded: bool
    value: bytes | None
    # The new revision on success, otherwise the current one (0 if the key is absent).
    revision: int


@attrs.frozen
class Lease:
    """A granted lease; the service may apply another time to live than requested."""

    lease_id: int
    ttl_s: float


class KeyValueService(ABC):
    """Adapter to the key-value service.

    Every method may raise `UnavailableError` (not sent) or `LostAnswerError` (sent,
    effect unknown). Times are in seconds.
    """

    @property
    def era(self) -> int:
        """The era of the service's last answer; 0 if the service has no eras.

        It rises when the service returns from an older copy. What was written since
        that copy is lost, and leases may be gone or belong to others.
        """
        return 0

    @abstractmethod
    def get(self, key: str) -> KvItem | None:
        """Return a key, or None if it does not exist."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return all keys with a prefix, in key order."""

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all keys with a prefix, and a revision from which to watch."""
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
    def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease; ``ttl_s`` is the requested time to live."""

    @abstractmethod
    def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return the time to live, or None if the lease is gone."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until the link fails.

        It fails, too, if the service returns from an older copy.
        """
