"""Layout of the keys in the key-value service.

Keys that every instance watches (the head of the configuration, sessions and owner
records) share one prefix, so that one watch per instance is enough. Frequently written
keys (server records, claims, patient requests) and the bodies of the configuration are
outside this prefix.
"""

from __future__ import annotations

from typing import Final

ROOT: Final = "/siskinspool/"
# Each instance watches this prefix.
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
    """Return the prefix of a key, up to the last slash, whose writes share leases."""
    return key[: key.rfind("/") + 1]
