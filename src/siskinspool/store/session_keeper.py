"""The instance's session: a lease and a key attached to it.

A greenlet requests the lease, writes the session key and renews the lease every 3 s. It
reports each success with the time at which the call was sent, because the service
counts the time to live from a later time.

The key is written only if it is absent or belongs to this incarnation. The session of
an earlier process with the same name has to expire first, unless the keeper takes over:
its holder may be paused and would otherwise lose partitions that it still considers its
own.

A service that returns from an older copy may lack the lease and give its id to another
instance. A renewal that finds the service in a new era therefore counts only if the
session key still names the lease.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import gevent
import msgspec
from gevent.event import Event

from ..core.clock import Clock
from ..core.malformed import MALFORMED_ERRORS
from ..core.member import Member
from ..core.message import Message
from ..telemetry.logs import log_event
from .keys import session_key
from .kv import KeyValueService, LostAnswerError, UnavailableError
from .kv_events import KvReachability, SessionEnded, SessionGone, SessionRenewed

logger = logging.getLogger(__name__)

SESSION_TTL_S: Final = 10.0
RENEW_INTERVAL_S: Final = 3.0
# Shorter after a failed renewal, so that one lost answer does not end the session.
RETRY_INTERVAL_S: Final = 1.0

Report = Callable[[Message], None]


class SessionRecord(msgspec.Struct, frozen=True):
    """Value of a session key."""

    incarnation: str
    zone: str
    host: str
    port: int
    # Distinguishes a write of this session from one with an earlier lease.
    lease_id: int
    # Where callers and operators connect.
    listen_host: str = ""
    listen_port: int = 0
    # Absent if the instance relays no calls.
    relay_port: int | msgspec.UnsetType = msgspec.UNSET


def encode_session(member: Member, lease_id: int) -> bytes:
    """Encode the value of a session key."""
    return msgspec.json.encode(
        SessionRecord(
            member.incarnation,
            member.zone,
            member.host,
            member.port,
            lease_id,
            member.listen_host,
            member.listen_port,
            member.relay_port or msgspec.UNSET,
        )
    )


def decode_session(instance_id: str, value: bytes) -> Member | None:
    """Decode a session key's value to a member; return None if it is malformed."""
    try:
        record = msgspec.json.decode(value, type=SessionRecord)
    except MALFORMED_ERRORS:
        return None
    return Member(
        instance_id,
        record.incarnation,
        record.zone,
        record.host,
        record.port,
        listen_host=record.listen_host,
        listen_port=record.listen_port,
        relay_port=record.relay_port or 0,
    )


class SessionKeeper:
    """Owns the session's lease and reports to the ``kv`` task by messages."""

    def __init__(
        self,
        service: KeyValueService,
        clock: Clock,
        member: Member,
        report: Report,
        ttl_s: float = SESSION_TTL_S,
        renew_interval_s: float = RENEW_INTERVAL_S,
        takes_over: bool = False,
    ) -> None:
        """Initialise; ``takes_over`` replaces an earlier process's session at once.

        This is safe only if an instance's name identifies one machine, so that no
        earlier process with the name can still run.
        """
        self._service = service
        self._clock = clock
        self._member = member
        self._report = report
        self._ttl_s = ttl_s
        self._renew_interval_s = renew_interval_s
        self._retry_s = min(RETRY_INTERVAL_S, renew_interval_s / 2)
        self._lease_id: int | None = None
        # The service's era in which the lease is known to be this instance's.
        self._era = 0
        self._takes_over = takes_over
        self._end_requested = Event()

    def run(self) -> None:
        """Keep the session open until `end` is called."""
        while not self._end_requested.is_set():
            started_at = self._clock.now()
            interval_s = (
                self._renew_interval_s if self._open_or_renew() else self._retry_s
            )
            elapsed_s = self._clock.now() - started_at
            self._end_requested.wait(max(interval_s - elapsed_s, 0.05))
        self._revoke()

    def end(self) -> None:
        """Make `run` revoke the lease and return."""
        self._end_requested.set()

    def _open_or_renew(self) -> bool:
        sent_at = self._clock.now()
        try:
            is_open = self._open() if self._lease_id is None else self._renew(sent_at)
        except Exception as error:
            # Even an answer that the adapter cannot parse must not end the keeper.
            if not isinstance(error, LostAnswerError | UnavailableError):
                log_event(logger, logging.ERROR, "session_failed", error=repr(error))
            self._report(KvReachability(False, sent_at))
            return False
        self._report(KvReachability(True, sent_at, era=self._service.era))
        return is_open

    def _open(self) -> bool:
        """Request a lease and write the key; return False if the key is in use."""
        sent_at = self._clock.now()
        lease = self._service.grant_lease(self._ttl_s)
        lease_id = lease.lease_id
        era = self._service.era
        if not self._write_key(lease_id):
            log_event(logger, logging.INFO, "session_waits", reason="key_in_use")
            # Otherwise each attempt would leave an unused lease.
            self._service.revoke_lease(lease_id)
            return False
        if self._service.era != era:
            # The id may be another instance's now; it is not revoked.
            return False
        self._lease_id, self._era = lease_id, era
        log_event(logger, logging.INFO, "session_opened", lease=lease_id)
        self._report_renewed(lease_id, sent_at, lease.ttl_s)
        return True

    def _write_key(self, lease_id: int) -> bool:
        key = session_key(self._member.instance_id)
        value = encode_session(self._member, lease_id)
        current = self._service.get(key)
        if current is not None:
            holder = decode_session(self._member.instance_id, current.value)
            is_own = holder is None or holder.incarnation == self._member.incarnation
            if not is_own and not self._takes_over:
                return False
        revision = current.revision if current is not None else 0
        try:
            return self._service.swap(key, revision, value, lease_id).succeeded
        except LostAnswerError:
            written = self._service.get(key)
            return written is not None and written.value == value

    def _renew(self, sent_at: float) -> bool:
        lease_id = self._lease_id
        assert lease_id is not None
        ttl_s = self._service.keep_alive(lease_id)
        if ttl_s is None or not self._is_own(lease_id):
            log_event(logger, logging.WARNING, "session_lost", lease=lease_id)
            self._lease_id = None
            self._report(SessionGone())
            return self._open()
        self._report_renewed(lease_id, sent_at, ttl_s)
        return True

    def _is_own(self, lease_id: int) -> bool:
        """Return whether a lease that was renewed is that of the session key."""
        era = self._service.era
        if era != self._era:
            written = self._service.get(session_key(self._member.instance_id))
            expected = encode_session(self._member, lease_id)
            if written is None or written.value != expected:
                return False
            if self._service.era != era:
                return False
            self._era = era
        return True

    def _report_renewed(self, lease_id: int, sent_at: float, ttl_s: float) -> None:
        """Report a session that lasts for the applied time to live.

        A longer one than requested is not used, as other instances do not expect it.
        """
        ttl_s = min(ttl_s, self._ttl_s)
        incarnation = self._member.incarnation
        renewed = SessionRenewed(incarnation, lease_id, sent_at, ttl_s, self._era)
        self._report(renewed)

    def _revoke(self) -> None:
        # The drain has already released the partitions. Tasks that still use the
        # session are informed before the service deletes it.
        self._report(SessionGone())
        gevent.sleep(0)
        if self._lease_id is not None:
            try:
                self._service.revoke_lease(self._lease_id)
            except Exception as error:
                log_event(
                    logger, logging.WARNING, "session_not_revoked", error=repr(error)
                )
            self._lease_id = None
        self._report(SessionEnded())
