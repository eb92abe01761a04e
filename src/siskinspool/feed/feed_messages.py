"""Messages of the change feed, between instances (`wire`) and between its tasks."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Message
from ..links.codec import wire
from ..store.kv import KvItem

CHANGE_FEED_TASK: Final = "change_feed"
WATCH_TASK: Final = "watch"


@attrs.frozen
class KeyChange:
    """A change of one key; value None means that it was deleted."""

    key: str
    value: bytes | None
    revision: int
    # If positive, the value is a delta to the key's value of this revision.
    base_revision: int = 0


@attrs.frozen(kw_only=True)
class PrefixChanges(Message):
    """All changes of the keys with a prefix between two revisions.

    A receiver that knows the keys at revision ``after`` or later knows them at
    ``revision`` once it has applied the changes.
    """

    prefix: str
    after: int
    revision: int
    changes: tuple[KeyChange, ...] = ()
    # Some of the changes were found by a listing after an outage of the service.
    is_relisted: bool = False


@wire
@attrs.frozen
class FeedSubscribe(Message):
    """Requests `FeedUpdate` messages with the changes after these revisions."""

    revision_by_prefix: dict[str, int]


@wire
@attrs.frozen
class FeedUnsubscribe(Message):
    """Ends the sender's subscription."""


@wire
@attrs.frozen
class FeedUpdate(Message):
    """The changes of all prefixes since the last update to the same subscriber."""

    # Counts the updates to this subscriber.
    number: int
    # Seconds since the sender last knew that it missed no change.
    age_s: float
    prefixes: tuple[PrefixChanges, ...]


@wire
@attrs.frozen
class FeedReturned(Message):
    """An update that leads across a return of the service from an older copy.

    Its changes are the differences from the sender's last revision before the return. A
    receiver that knows more of the era before needs a listing.
    """

    update: FeedUpdate
    # Only of the prefixes whose changes lead across the return.
    last_before_return_by_prefix: dict[str, int]


@wire
@attrs.frozen
class FeedProof(Message):
    """Nothing has changed since the update with this number."""

    number: int
    age_s: float


@wire
@attrs.frozen
class FeedEnding(Message):
    """The sender is about to stop; its subscribers need another reader."""


@attrs.frozen
class StopFeeding(Message):
    """This instance is about to stop."""


@attrs.frozen
class ListPrefixes(Message):
    """List all prefixes once, without watching them."""


@attrs.frozen
class StartReading(Message):
    """Watch the service from these revisions on; list the other prefixes first."""

    revision_by_prefix: dict[str, int]


@attrs.frozen
class StopReading(Message):
    """End the watches on the service."""


@attrs.frozen
class PrefixListed(Message):
    """All keys with a prefix at a revision; some items may be newer."""

    prefix: str
    items: tuple[KvItem, ...]
    revision: int
    # Monotonic seconds at which the listing began.
    read_at: float
