"""State of the claim log of one shard.

The log is an append-only sequence of entries. All instances that read the same entries
derive the same state, by these rules:

- of the `ClaimRecord` entries of a key, the first one not released holds the key;
- a token with a `ReleaseRecord` never holds a key again, even if its `ClaimRecord`
  follows later (a forwarded request can be delayed); a finished token cannot be
  released;
- only the first `FinishRecord` of a token counts.

Instances expire old tokens at slightly different times. A claim that was recorded after
the holder's is therefore kept, so that it holds the key once the holder expires here.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs

from .claim_messages import ClaimOutcome, InstanceIncarnation, StoredAnswer

# Calls run at most once within this time after the last use of their key.
RETENTION_S: Final = 24 * 3600.0


@attrs.frozen
class ClaimRecord:
    """A token claims a key."""

    scope: str
    key_digest: str
    body_digest: str
    token: str
    claimant: InstanceIncarnation


@attrs.frozen
class ReleaseRecord:
    """The call of a token was never sent, so its claim ends."""

    token: str


@attrs.frozen
class FinishRecord:
    """The call of a token was answered, with the answer for replays."""

    token: str
    answer: StoredAnswer


@attrs.frozen
class Entry:
    """A batch of records, written by compare-and-swap under a sequence number."""

    claimed: tuple[ClaimRecord, ...] = ()
    released: tuple[ReleaseRecord, ...] = ()
    finished: tuple[FinishRecord, ...] = ()


class EntryCodec(ABC):
    """Encodes entries as values of the key-value service."""

    @abstractmethod
    def encode(self, entry: Entry) -> bytes:
        """Return the encoded entry."""

    @abstractmethod
    def decode(self, data: bytes) -> Entry | None:
        """Return the entry in ``data``, or None if it cannot be decoded."""


@attrs.frozen
class ClaimStatus:
    """The outcome of a claim so far, with the stored answer or the holder."""

    outcome: ClaimOutcome
    answer: StoredAnswer | None = None
    # The instance that holds the key, if another token does.
    holder: InstanceIncarnation | None = None


class ClaimLog:
    """State derived from the entries of one shard, up to `next_seq` - 1."""

    def __init__(self) -> None:
        self.next_seq = 1
        self._claims_by_key: dict[tuple[str, str], list[ClaimRecord]] = {}
        self._answer_by_token: dict[str, StoredAnswer] = {}
        self._released_tokens: set[str] = set()
        # Tokens in the order of their last use, for expiry.
        self._last_used_at: dict[str, float] = {}
        self._key_by_token: dict[str, tuple[str, str]] = {}

    def apply(self, seq: int, entry: Entry, now: float) -> None:
        """Apply the entry with a sequence number."""
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
        """Return the status of a claim according to the entries read so far."""
        if claim.token in self._released_tokens:
            return ClaimStatus(ClaimOutcome.RELEASED)
        claims = self._claims_by_key.get((claim.scope, claim.key_digest))
        if not claims:
            return ClaimStatus(ClaimOutcome.FREE)
        holder_claim = claims[0]
        if holder_claim.token == claim.token:
            return ClaimStatus(ClaimOutcome.GRANTED)
        if holder_claim.body_digest != claim.body_digest:
            return ClaimStatus(ClaimOutcome.MISMATCH)
        answer = self._answer_by_token.get(holder_claim.token)
        if answer is not None:
            return ClaimStatus(ClaimOutcome.REPLAYED, answer)
        return ClaimStatus(ClaimOutcome.RUNNING, None, holder_claim.claimant)

    def has_ended(self, token: str) -> bool:
        """Return whether a token was released or finished."""
        return token in self._released_tokens or token in self._answer_by_token

    def has_claim(self, token: str) -> bool:
        """Return whether a token holds or waits for a key according to the log."""
        return token in self._key_by_token

    def expire(self, now: float) -> None:
        """Remove tokens whose last use is longer ago than the retention time."""
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
        remaining = [
            claim for claim in self._claims_by_key[key] if claim.token != token
        ]
        if remaining:
            self._claims_by_key[key] = remaining
        else:
            del self._claims_by_key[key]

    def _update_last_use(self, token: str, now: float) -> None:
        self._last_used_at.pop(token, None)
        self._last_used_at[token] = now
