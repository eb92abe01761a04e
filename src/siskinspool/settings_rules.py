"""Rules for settings beyond the types of their fields.

Each rule checks one value of the JSON document, so that all violations are reported at
once and together with type errors. A value of the wrong type violates no rule here,
because the strict conversion reports it.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

LOG_LEVELS: Final = ("debug", "info", "warning", "error")
MAX_ID_CHARS: Final = 128
MAX_PORT: Final = 65_535
# A longer wait gives the balancer nothing more and only delays the stop.
MAX_BALANCER_WAIT_S: Final = 60.0
# A shorter session expires during a short pause of the process; a longer one leaves
# the partitions of a dead instance without an owner for too long.
SESSION_TTL_RANGE_S: Final = (2.0, 60.0)
LISTENER_FIELDS: Final = ("listen", "peer")
SERVICES: Final = ("key_value", "instance_list", "statsd")


@attrs.frozen
class SettingsRule:
    """A rule for the value at a path such as ``listen.port``."""

    path: str
    kind: type | tuple[type, ...]
    holds: Callable[[Any], bool]
    wanted: str


def find_violations(document: object) -> list[str]:
    """Return one line per violated rule: the field, its value and what is allowed."""
    lines = [
        f"{rule.path}: {value!r} is not allowed; {rule.wanted}"
        for rule in _rules()
        for value in _values(document, rule)
        if not rule.holds(value)
    ]
    return lines + list(_check_renewal_interval(document))


def _rules() -> Iterator[SettingsRule]:
    for field in ("instance_id", "site", "zone"):
        remedy = f"use 1 to {MAX_ID_CHARS} characters without '/' and spaces"
        yield SettingsRule(field, str, _is_id, remedy)
    for field in (*LISTENER_FIELDS, *SERVICES):
        remedy = "use an IP number such as 10.0.1.5"
        yield SettingsRule(f"{field}.host", str, _is_ip, remedy)
    for field in LISTENER_FIELDS:
        remedy = "others connect to it; use an address of this machine"
        yield SettingsRule(f"{field}.host", str, _is_specific_address, remedy)
    for path in (*(f"{field}.port" for field in LISTENER_FIELDS), "relay_port"):
        remedy = f"use 0 (the kernel chooses) to {MAX_PORT}"
        yield SettingsRule(path, int, lambda port: 0 <= port <= MAX_PORT, remedy)
    for field in SERVICES:
        remedy = f"use 1 to {MAX_PORT}"
        yield SettingsRule(
            f"{field}.port", int, lambda port: 1 <= port <= MAX_PORT, remedy
        )
    levels = ", ".join(LOG_LEVELS)
    yield SettingsRule(
        "log_level", str, lambda level: level in LOG_LEVELS, f"use {levels}"
    )
    low, high = SESSION_TTL_RANGE_S
    yield SettingsRule(
        "session_ttl_s",
        (int, float),
        lambda ttl_s: low <= ttl_s <= high,
        f"use {low:g} to {high:g}",
    )
    yield SettingsRule(
        "balancer_wait_s",
        (int, float),
        lambda wait_s: 0 <= wait_s <= MAX_BALANCER_WAIT_S,
        f"use 0 to {MAX_BALANCER_WAIT_S:g}",
    )


def _values(document: object, rule: SettingsRule) -> Iterator[Any]:
    """Yield the value at a rule's path if it exists and has the rule's type."""
    value = document
    for name in rule.path.split("."):
        if not isinstance(value, dict) or name not in value:
            return
        value = value[name]
    if isinstance(value, rule.kind) and not isinstance(value, bool):
        yield value


def _check_renewal_interval(document: object) -> Iterator[str]:
    """Yield a fault if a single lost renewal would end the session."""
    if not isinstance(document, dict):
        return
    ttl_s = document.get("session_ttl_s", 10.0)
    renew_s = document.get("session_renew_s", 3.0)
    numbers = (int, float)
    if not isinstance(ttl_s, numbers) or not isinstance(renew_s, numbers):
        return
    if not 0 < renew_s * 2 < ttl_s:
        yield (
            f"session_renew_s: {renew_s!r} is not allowed; use more than 0 and less "
            f"than half of session_ttl_s ({ttl_s!r}), so that one lost renewal does "
            "not end the session"
        )


def _is_id(text: str) -> bool:
    is_plain = "/" not in text and not any(char.isspace() for char in text)
    return 0 < len(text) <= MAX_ID_CHARS and is_plain


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_specific_address(text: str) -> bool:
    return not _is_ip(text) or not ipaddress.ip_address(text).is_unspecified
