"""API keys.

A key reads ``sk-<id>.<secret>``. The manifest keeps only a keyed BLAKE2b hash of the
whole key with a salt of its own. The id in the key finds the entry, so that a check
costs one hash however many keys there are; hashes are compared in constant time. The
secret has 256 random bits, so a slow password hash would add nothing.
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
# A whole key inside a longer text; a plain "sk-" occurs in words such as "desk-12".
_KEY_PATTERN: Final = re.compile(r"sk-[^\s.]+\.[A-Za-z0-9_-]{16,}")
# Percent-encoding may be applied twice on the way through a proxy.
_MAX_DECODINGS: Final = 2


def hash_key(text: str, salt: bytes) -> bytes:
    """Return the keyed hash of a key."""
    return hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), key=salt, digest_size=HASH_BYTES
    ).digest()


@attrs.frozen
class IssuedKey:
    """A new key: the text goes to the caller once, the entry to the manifest."""

    text: str = attrs.field(repr=False)
    entry: Key


def issue_key(key_id: str, team: str) -> IssuedKey:
    """Return a new random key for a team."""
    text = f"{KEY_PREFIX}{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
    salt = secrets.token_bytes(SALT_BYTES)
    entry = Key(id=key_id, team=team, salt=salt.hex(), hash=hash_key(text, salt).hex())
    return IssuedKey(text, entry)


def verify_key(catalog: Catalog, text: str) -> Team | None:
    """Return the team whose key this is, or None."""
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
    """Return the public id inside a key's text."""
    return text.removeprefix(KEY_PREFIX).partition(".")[0]


def contains_key(text: str) -> bool:
    """Tell whether a text holds a whole key, percent-encoded or not."""
    for _ in range(_MAX_DECODINGS + 1):
        if _KEY_PATTERN.search(text):
            return True
        text = unquote(text)
    return False


def redact_keys(text: str) -> str:
    """Return a text for a log line, without any key in it."""
    if contains_key(text):
        redacted = _KEY_PATTERN.sub(f"{KEY_PREFIX}***", text)
        return "***" if contains_key(redacted) else redacted
    return text
