"""API keys: issue, verification and redaction.

A key has the form ``sk-<id>.<secret>``. The manifest stores only a keyed BLAKE2b hash
of the whole key, with a separate salt for each key. The entry is looked up by the id in
the key, so a check costs one hash regardless of the number of keys; hashes are compared
in constant time. The secret has 256 random bits, so a slow password hash would not add
security.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import Final
from urllib.parse import unquote

import attrs

from ..manifest.model import Catalog, Key, Team

KEY_PREFIX: Final = "sk-"
SECRET_BYTES: Final = 32
SALT_BYTES: Final = 16
HASH_BYTES: Final = 32
# Matches a whole key inside a text; "sk-" alone also occurs in words like "desk-12".
_KEY_PATTERN: Final = re.compile(r"sk-[^\s.]+\.[A-Za-z0-9_-]{16,}")
# Proxies may percent-encode a value a second time.
_MAX_DECODINGS: Final = 2


def hash_key(text: str, salt: bytes) -> bytes:
    """Return the keyed hash of a key."""
    return hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), key=salt, digest_size=HASH_BYTES
    ).digest()


@attrs.frozen
class IssuedKey:
    """A new key: its text, shown to the caller once, and its manifest entry."""

    text: str = attrs.field(repr=False)
    entry: Key


def issue_key(key_id: str, team: str) -> IssuedKey:
    """Create a random key for a team."""
    text = f"{KEY_PREFIX}{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
    salt = secrets.token_bytes(SALT_BYTES)
    entry = Key(id=key_id, team=team, salt=salt.hex(), hash=hash_key(text, salt).hex())
    return IssuedKey(text, entry)


def verify_key(catalog: Catalog, text: str) -> Team | None:
    """Return the team that a key belongs to, or None if it is not valid."""
    if not text.startswith(KEY_PREFIX):
        return None
    key_id = text[len(KEY_PREFIX) :].partition(".")[0]
    entry = catalog.key_by_id.get(key_id)
    if entry is None:
        return None
    expected = bytes.fromhex(entry.hash)
    if not hmac.compare_digest(hash_key(text, bytes.fromhex(entry.salt)), expected):
        return None
    return catalog.team_by_id.get(entry.team)


def key_id_of(text: str) -> str:
    """Return the public id in the text of a key."""
    return text.removeprefix(KEY_PREFIX).partition(".")[0]


def contains_key(text: str) -> bool:
    """Return whether a text contains a whole key, percent-encoded or not."""
    for _ in range(_MAX_DECODINGS + 1):
        if _KEY_PATTERN.search(text):
            return True
        text = unquote(text)
    return False


def redact_keys(text: str) -> str:
    """Return a text with all keys masked, for use in log lines."""
    if contains_key(text):
        redacted = _KEY_PATTERN.sub(f"{KEY_PREFIX}***", text)
        return "***" if contains_key(redacted) else redacted
    return text
