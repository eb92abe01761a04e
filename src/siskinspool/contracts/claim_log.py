"""State of one shard's claim log.

The log is a sequence of entries that only grows. Each instance that reads the same
entries comes to the same state, by these rules:

- of the `ClaimRecord` records of a key, the first that is not released holds it;
- a `ReleaseRecord` token holds nothing from then on, even if its `ClaimRecord` comes later
  (a forwarded request can be late), and cannot be released once it has finished;
- the first `FinishRecord` of a token counts.

Instances forget an old token at slightly different times. A claim behind the holder is
therefore kept, so that it holds the key once the holder is forgotten here too.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs

from .claim_messages import ClaimOutcome, InstanceIncarnation, StoredAnswer

# At most once holds for this time after the last use of a key.
RETENTION_S: Final = 24 * 3600.0


@attrs.frozen
class ClaimRecord:
    """A token asks to hold a key."""

    scope: str
    key_digest: str
    body_digest: str
    token: str
    claimant: InstanceIncarnation


@attrs.frozen
class ReleaseRecord:
    """The call of a token was never sent."""

    token: str


@attrs.frozen
class FinishRecord:
    """The call of a token was answered."""

    token: str
    answer: StoredAnswer


@attrs.frozen
class Entry:
    """One batch of records, written by compare-and-swap under its number."""

    claimed: tuple[ClaimRecord, ...] = ()
    released: tuple[ReleaseRecord, ...] = ()
    finished: tuple[FinishRecord, ...] = ()


class EntryCodec(ABC):
    """Encoding of entries as values of the key-value service."""

    @abstractmethod
    def encode(self, entry: Entry) -> bytes:
        """Return the bytes of an entry."""

    @abstractmethod
    def decode(self, data: bytes) -> Entry | None:
        """Return the entry in ``data``, or None if it cannot be read."""


@attrs.frozen
class ClaimStatus:
    """How a claim stands, with what a caller or waiter needs to know."""

    outcome: ClaimOutcome
    answer: StoredAnswer | None = None
    # Who holds the key, if another token does.
    holder: InstanceIncarnation | None = None


class ClaimLog:
    """What the entries of one shard say, up to `next_seq` - 1."""

    def __init__(self) -> None:
        self.next_seq = 1
        self._claims_by_key: dict[tuple[str, str], list[ClaimRecord]] = {}
        self._answer_by_token: dict[str, StoredAnswer] = {}
        self._released_tokens: set[str] = set()
        # Tokens in the order in which they were last seen, for expiry.
        self._last_used_at: dict[str, float] = {}
        self._key_by_token: dict[str, tuple[str, str]] = {}

    def apply(self, seq: int, entry: Entry, now: float) -> None:
        """Take in the entry with a number."""
        self.next_seq = max(self.next_seq, seq + 1)
        for claimed in entry.claimed:
            self._apply_claimed(claimed, now)
        for released in entry.released:
            self._update_last_use(released.token, now)
            if released.token not in self._answer_by_token:
                self._release(released.token)
        for finished in entry.finished:
            self._update_last_use(finished.token, now)
            if finished.token not in self._released_tokens:
                self._answer_by_token.setdefault(finished.token, finished.answer)

    def evaluate(self, claim: ClaimRecord) -> ClaimStatus:
        """Return how a claim stands by the entries read so far."""
        if claim.token in self._released_tokens:
            return ClaimStatus(ClaimOutcome.RELEASED)
        claims = self._claims_by_key.get((claim.scope, claim.key_digest))
        if not claims:
            return ClaimStatus(ClaimOutcome.FREE)
        held = claims[0]
        if held.token == claim.token:
            return ClaimStatus(ClaimOutcome.GRANTED)
        if held.body_digest != claim.body_digest:
            return ClaimStatus(ClaimOutcome.MISMATCH)
        answer = self._answer_by_token.get(held.token)
        if answer is not None:
            return ClaimStatus(ClaimOutcome.REPLAYED, answer)
        return ClaimStatus(ClaimOutcome.RUNNING, None, held.claimant)

    def has_ended(self, token: str) -> bool:
        """Return whether a token was released or finished."""
        return token in self._released_tokens or token in self._answer_by_token

    def has_claim(self, token: str) -> bool:
        """Return whether a token holds or waits for a key by the log."""
        return token in self._key_by_token

    def expire(self, now: float) -> None:
        """Forget what was last used before the retention time."""
        for token, seen_at in list(self._last_used_at.items()):
            if seen_at > now - RETENTION_S:
                return
            del self._last_used_at[token]
            self._released_tokens.discard(token)
            self._answer_by_token.pop(token, None)
            self._remove_claim(token)

    def _apply_claimed(self, claimed: ClaimRecord, now: float) -> None:
        if (
            claimed.token in self._released_tokens
            or claimed.token in self._key_by_token
        ):
            return
        key = (claimed.scope, claimed.key_digest)
        self._claims_by_key.setdefault(key, []).append(claimed)
        self._key_by_token[claimed.token] = key
        self._update_last_use(claimed.token, now)

    def _release(self, token: str) -> None:
        self._released_tokens.add(token)
        self._remove_claim(token)

    def _remove_claim(self, token: str) -> None:
        key = self._key_by_token.pop(token, None)
        if key is None:
            return
        left = [claim for claim in self._claims_by_key[key] if claim.token != token]
        if left:
            self._claims_by_key[key] = left
        else:
            del self._claims_by_key[key]

    def _update_last_use(self, token: str, now: float) -> None:
        self._last_used_at.pop(token, None)
        self._last_used_at[token] = now
