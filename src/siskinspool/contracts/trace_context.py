"""The W3C trace context of a call.

A valid ``traceparent`` of the caller is forwarded to the server unchanged. Otherwise it
is derived from the call's id, so that all attempts of a call belong to one trace.
"""

from __future__ import annotations

import hashlib
import re
from typing import Final

TRACEPARENT: Final = "traceparent"
TRACESTATE: Final = "tracestate"
# Version, trace id, parent id, flags; a later version may append fields.
_TRACEPARENT_PATTERN: Final = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})-(?P<parent>[0-9a-f]{16})"
    r"-[0-9a-f]{2}(?P<more>-.*)?"
)


def trace_headers(headers: dict[str, str], call_id: str) -> dict[str, str]:
    """Return the headers of a call with a valid trace context."""
    if trace_id(headers.get(TRACEPARENT, "")):
        return headers
    # A tracestate is meaningless without its traceparent.
    remaining = {name: text for name, text in headers.items() if name != TRACESTATE}
    digest = hashlib.blake2b(call_id.encode(), digest_size=24).hexdigest()
    return {**remaining, TRACEPARENT: f"00-{digest[:32]}-{digest[32:]}-01"}


def trace_id(traceparent: str) -> str:
    """Return the trace id in a traceparent header, or "" if it is not valid."""
    match = _TRACEPARENT_PATTERN.fullmatch(traceparent.strip())
    if match is None or match["version"] == "ff":
        return ""
    if match["version"] == "00" and match["more"]:
        return ""
    if set(match["trace"]) == {"0"} or set(match["parent"]) == {"0"}:
        return ""
    return match["trace"]
