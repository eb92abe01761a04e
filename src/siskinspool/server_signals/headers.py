"""Decodes the headers by which servers state signals; both front ends use them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final

SERVER_LEAVING: Final = "server-leaving"
RETRY_AFTER: Final = "retry-after"
SERVER_BRITTLE: Final = "server-brittle"
# The status with which a server may state a pause.
UNAVAILABLE_STATUS: Final = 503
_COUNT: Final = re.compile(r"[0-9]{1,9}", re.ASCII)
# Seconds, with at most as many digits as a float keeps exactly. Dates, signs and lists
# of values do not match.
_SECONDS: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?", re.ASCII)


def states_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether an answer states that its server is leaving."""
    # A header that was sent more than once is a list of its values.
    items = headers.get(SERVER_LEAVING, "").split(",")
    return any(item.strip() == "1" for item in items)


def stated_pause_s(status: int, headers: Mapping[str, str]) -> float | None:
    """Return the seconds for which a server wants no request; None if not stated."""
    text = headers.get(RETRY_AFTER, "").strip()
    if status != UNAVAILABLE_STATUS or _SECONDS.fullmatch(text) is None:
        return None
    return float(text) or None


def stated_rejections_per_s(headers: Mapping[str, str]) -> int | None:
    """Return how many rejections a second a brittle server bears; None for others."""
    text = headers.get(SERVER_BRITTLE, "").strip()
    if _COUNT.fullmatch(text) is None:
        return None
    return int(text) or None
