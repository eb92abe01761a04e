"""Messages between the ``kv`` task and the tasks that depend on its health.

`KvReachability` and the session messages contain the time at which a request was
*sent*: a reply proves the state of the service at a time no earlier than that, however
late the reply is handled.
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
    # The request read the configuration's head, and that head was published by
    # `KvChanged` first. Only such a reply proves that no newer configuration was
    # accepted before `sent_at`: leases are renewed even while a broken watch
    # misses changes.
    head_read: bool = False
    # The era of the service at its answer (`KeyValueService.era`).
    era: int = 0


@attrs.frozen
class ProbeHead(Message):
    """Read the configuration's head and report the result by `KvReachability`."""


@attrs.frozen
class SessionRenewed(Message):
    """The session is valid: its lease was granted or renewed."""

    incarnation: str
    lease_id: int
    # Monotonic seconds at which the grant or renewal was sent.
    sent_at: float
    ttl_s: float
    # The era of the service in which the lease is known to be this instance's.
    era: int = 0


@attrs.frozen
class SessionGone(Message):
    """The session must no longer be used."""


@attrs.frozen
class SessionEnded(Message):
    """Reply to `EndSession`: the lease was revoked, or will expire."""


@attrs.frozen
class EndSession(Message):
    """Revoke the session at the end of a drain; the reply is `SessionEnded`."""
