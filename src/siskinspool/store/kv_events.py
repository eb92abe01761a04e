"""Messages between the ``kv`` task and the tasks that depend on its health.

`KvReachability` and the session messages carry the time at which a request was *sent*:
what an answer proves holds from then on, however late the answer is handled.
"""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen
class KvReachability(Message):
    """Whether the service answered a request."""

    is_reachable: bool
    # Monotonic seconds at which the request was sent.
    sent_at: float
    # The answer was a read of the configuration's head, and the head as it was then
    # has been published by `KvChanged` before. Only such an answer proves that no
    # newer configuration was accepted before `at`: a lease is renewed just as well
    # while a broken watch hides changes.
    head_read: bool = False


@attrs.frozen
class ProbeHead(Message):
    """Read the configuration's head and report by `KvReachability`."""


@attrs.frozen
class SessionRenewed(Message):
    """The session exists and its lease was granted or renewed."""

    incarnation: str
    lease_id: int
    # Monotonic seconds at which the grant or renewal was sent.
    sent_at: float
    ttl_s: float


@attrs.frozen
class SessionGone(Message):
    """The session must not be used any more."""


@attrs.frozen
class SessionEnded(Message):
    """Answer to `EndSession`: the lease was revoked, or will expire by itself."""


@attrs.frozen
class EndSession(Message):
    """Revoke the session at the end of a drain; answered by `SessionEnded`."""
