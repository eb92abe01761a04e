"""State of one shard's claim log.

The log is a sequence of entries that only grows. Each instance that reads the same
entries comes to the same state, by these rules:

- of the `Claimed` records of a key, the first that is not released holds it;
- a `Released` token holds nothing from then on, even if its `Claimed` comes later
  (a forwarded request can be late), and cannot be released once it has finished;
- the first `Finished` of a token counts.

Instances forget an old token at slightly different times. A claim behind the holder is
therefore kept, so that it holds the key once the holder is forgotten here too.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs

from .claim_messages import Claimant, KeptAnswer, Verdict

# At most once holds for this time after the last use of a key.
RETENTION_S: Final = 24 * 3600.0


@attrs.frozen
class Claimed:
    """A token asks to hold a key."""

    scope: str
    key_digest: str
    body_digest: str
    token: str
    claimant: Claimant


@attrs.frozen
class Released:
    """The call of a token was never sent."""

    token: str


@attrs.frozen
class Finished:
    """The call of a token was answered."""

    token: str
    answer: KeptAnswer


@attrs.frozen
class Entry:
    """One batch of records, written by compare-and-swap under its number."""

    claimed: tuple[Claimed, ...] = ()
    released: tuple[Released, ...] = ()
    finished: tuple[Finished, ...] = ()


class EntryCodec(ABC):
    """Encoding of entries as values of the key-value service."""

    @abstractmethod
    def encode(self, entry: Entry) -> bytes:
        """Return the bytes of an entry."""

    @abstractmethod
    def decode(self, data: bytes) -> Entry | None:
        """Return the entry in ``data``, or None if it cannot be read."""


@attrs.frozen
class Judgement:
    """How a claim stands, with what a caller or waiter needs to know."""

    verdict: Verdict
    answer: KeptAnswer | None = None
    # Who holds the key, if another token does.
    holder: Claimant | None = None


class ShardLog:
    """What the entries of one shard say, up to `next_seq` - 1."""

    def __init__(self) -> None:
        self.next_seq = 1
        self._claims_by_key: dict[tuple[str, str], list[Claimed]] = {}
        self._answer_by_token: dict[str, KeptAnswer] = {}
        self._released: set[str] = set()
        # Tokens in the order in which they were last seen, for expiry.
        self._seen_at: dict[str, float] = {}
        self._key_by_token: dict[str, tuple[str, str]] = {}

    def apply(self, seq: int, entry: Entry, now: float) -> None:
        """Take in the entry with a number."""
        self.next_seq = max(self.next_seq, seq + 1)
        for claimed in entry.claimed:
            self._apply_claimed(claimed, now)
        for released in entry.released:
            self._touch(released.token, now)
            if released.token not in self._answer_by_token:
                self._release(released.token)
        for finished in entry.finished:
            self._touch(finished.token, now)
            if finished.token not in self._released:
                self._answer_by_token.setdefault(finished.token, finished.answer)

    def judge(self, claim: Claimed) -> Judgement:
        """Return how a claim stands by the entries read so far."""
        if claim.token in self._released:
            return Judgement(Verdict.RELEASED)
        claims = self._claims_by_key.get((claim.scope, claim.key_digest))
        if not claims:
            return Judgement(Verdict.FREE)
        held = claims[0]
        if held.token == claim.token:
            return Judgement(Verdict.GRANTED)
        if held.body_digest != claim.body_digest:
            return Judgement(Verdict.MISMATCH)
        answer = self._answer_by_token.get(held.token)
        if answer is not None:
            return Judgement(Verdict.REPLAYED, answer)
        return Judgement(Verdict.RUNNING, None, held.claimant)

    def has_ended(self, token: str) -> bool:
        """Return whether a token was released or finished."""
        return token in self._released or token in self._answer_by_token

    def has_claim(self, token: str) -> bool:
        """Return whether a token holds or waits for a key by the log."""
        return token in self._key_by_token

    def expire(self, now: float) -> None:
        """Forget what was last used before the retention time."""
        for token, seen_at in list(self._seen_at.items()):
            if seen_at > now - RETENTION_S:
                return
            del self._seen_at[token]
            self._released.discard(token)
            self._answer_by_token.pop(token, None)
            self._remove_claim(token)

    def _apply_claimed(self, claimed: Claimed, now: float) -> None:
        if claimed.token in self._released or claimed.token in self._key_by_token:
            return
        key = (claimed.scope, claimed.key_digest)
        self._claims_by_key.setdefault(key, []).append(claimed)
        self._key_by_token[claimed.token] = key
        self._touch(claimed.token, now)

    def _release(self, token: str) -> None:
        self._released.add(token)
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

    def _touch(self, token: str, now: float) -> None:
        self._seen_at.pop(token, None)
        self._seen_at[token] = now
