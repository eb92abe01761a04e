"""Layout of the keys in the key-value service.

Keys that every instance follows (the head of the configuration, sessions and owner
records) lie under one prefix, so that one watch per instance is enough. Everything
that is written often (server records, claims, patient requests) and the bodies of the
configuration lie outside of it.
"""

from __future__ import annotations

from typing import Final

ROOT: Final = "/siskinspool/"
# The one prefix that each instance watches.
SHARED_PREFIX: Final = f"{ROOT}shared/"
CONFIG_HEAD: Final = f"{SHARED_PREFIX}config/head"
SESSION_PREFIX: Final = f"{SHARED_PREFIX}session/"
OWNER_PREFIX: Final = f"{SHARED_PREFIX}owner/"

CONFIG_BODY_PREFIX: Final = f"{ROOT}config/body/"
SERVERS_PREFIX: Final = f"{ROOT}servers/"
CLAIMS_PREFIX: Final = f"{ROOT}claims/"
ANSWERS_PREFIX: Final = f"{ROOT}answers/"
PATIENT_PREFIX: Final = f"{ROOT}patient/"


def session_key(instance_id: str) -> str:
    """Return the key of an instance's session."""
    return SESSION_PREFIX + instance_id


def owner_key(partition: str) -> str:
    """Return the key of a partition's owner record."""
    return OWNER_PREFIX + partition


def lease_group(key: str) -> str:
    """Return the part of a key whose writes share leases: up to the last slash."""
    return key[: key.rfind("/") + 1]
