"""The ``kv`` task: the only user of the key-value service's adapter.

A fixed pool of greenlets executes requests from a bounded queue; each request gets
exactly one reply. Three more greenlets wait on the service: one keeps the session, one
watches the shared prefix, and one reads the configuration's head when membership
requests a check. They share no state with the task and report by messages to its inbox
or to the registered tasks.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import attrs
import gevent
from gevent.event import Event
from gevent.queue import Full, Queue

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.member import Member
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.task import Task
from ..machines.session_validity import SessionValidity
from ..telemetry.logs import log_event
from .keys import CONFIG_HEAD
from .kv import (
    KeyValueService,
    KvAnswerLost,
    KvConflict,
    KvDelete,
    KvDeleted,
    KvGet,
    KvList,
    KvListing,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
    LostAnswerError,
    SwapResult,
    UnavailableError,
)
from .kv_events import (
    EndSession,
    KvReachability,
    ProbeHead,
    SessionEnded,
    SessionGone,
    SessionRenewed,
)
from .kv_watch import SharedWatch
from .leases import SharedLeases
from .session_keeper import RENEW_INTERVAL_S, SESSION_TTL_S, SessionKeeper

logger = logging.getLogger(__name__)

KV_TASK: Final = "kv"
WORKER_COUNT: Final = 16
QUEUE_CAPACITY_REQUESTS: Final = 1_000
# Low enough that other instances are informed of an outage within 4 s.
PROBE_TIMEOUT_S: Final = 1.0


@attrs.frozen
class _PendingRequest:
    """A queued request, with the session lease to attach, if any."""

    sender: Address
    request: KvRequest
    session_lease_id: int | None
    # The service's era when it was queued.
    era: int


class KvTask(Task):
    """Owns the adapter to the key-value service."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        service: KeyValueService,
        member: Member,
        *,
        watchers: tuple[str, ...] = ("membership", "ownership", "revisions"),
        health_watchers: tuple[str, ...] = ("membership", "ownership"),
        workers: int = WORKER_COUNT,
        queue_capacity: int = QUEUE_CAPACITY_REQUESTS,
        session_ttl_s: float = SESSION_TTL_S,
        renew_interval_s: float = RENEW_INTERVAL_S,
        takes_over: bool = False,
    ) -> None:
        """Set the tasks that receive `KvChanged` and those that get health messages.

        Without tasks that receive `KvChanged` the shared prefix is not watched.
        """
        super().__init__(KV_TASK, dispatcher, clock)
        self._service = service
        self._watchers = watchers
        self._health_watchers = health_watchers
        self._worker_count = workers
        self._pending_requests: Queue[_PendingRequest | None] = Queue(queue_capacity)
        self._leases = SharedLeases(service, clock)
        self._session = SessionValidity()
        self._end_requesters: list[Address] = []
        self._probe_requested = Event()
        self._keeper = SessionKeeper(
            service,
            clock,
            member,
            self._on_session_report,
            session_ttl_s,
            renew_interval_s,
            takes_over,
        )
        self._watch = SharedWatch(service, clock, self._publish)
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Start the task and the greenlets that use the service."""
        super().start()
        loops: list[Callable[[], None]] = [self._process_requests] * self._worker_count
        loops += [self._keeper.run, self._probe_head]
        if self._watchers:
            loops.append(self._watch.run)
        self._greenlets = [gevent.spawn(loop) for loop in loops]

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop the task and its greenlets; to end the session, use `EndSession`."""
        super().stop(timeout_s)
        gevent.killall(self._greenlets, block=True, timeout=timeout_s)
        self._greenlets = []

    def handle(self, incoming: Incoming) -> None:
        """Queue a request, or update the state of the session."""
        match incoming.message:
            case KvRequest() as request:
                self._queue_request(incoming.sender, request)
            case ProbeHead():
                self._probe_requested.set()
            case SessionRenewed() as renewed:
                self._session.record_renewal(renewed)
            case SessionGone():
                self._session.record_end()
            case SessionEnded():
                for sender in self._end_requesters:
                    self._send(sender, SessionEnded())
                self._end_requesters.clear()
            case EndSession():
                self._end_requesters.append(incoming.sender)
                self._keeper.end()

    def _queue_request(self, sender: Address, request: KvRequest) -> None:
        lease_id = None
        if isinstance(request, KvSwap) and request.with_session:
            lease_id = self._session_lease_id()
            if lease_id is None:
                self._send(sender, KvUnavailable(request.request_id, request.key))
                return
        try:
            self._pending_requests.put_nowait(
                _PendingRequest(sender, request, lease_id, self._service.era)
            )
        except Full:
            log_event(logger, logging.WARNING, "kv_queue_full")
            self._send(sender, KvUnavailable(request.request_id, _request_key(request)))

    def _session_lease_id(self) -> int | None:
        """Return the session's lease, or None if it is not known to be valid.

        After a return of the service the lease's id may be another instance's.
        """
        if self._session.era != self._service.era:
            return None
        return self._session.valid_lease_id(self.clock.now())

    def _process_requests(self) -> None:
        for job in self._pending_requests:
            if job is not None:
                self._send(job.sender, self._execute_and_report(job))

    def _execute_and_report(self, job: _PendingRequest) -> KvReply:
        request = job.request
        sent_at = self.clock.now()
        try:
            reply = self._execute(job)
        except UnavailableError:
            self._report_health(KvReachability(False, sent_at))
            return KvUnavailable(request.request_id, _request_key(request))
        except Exception as error:
            # After any other error the request may have taken effect.
            if not isinstance(error, LostAnswerError):
                log_event(logger, logging.ERROR, "kv_failed", error=repr(error))
            self._report_health(KvReachability(False, sent_at))
            return KvAnswerLost(request.request_id, _request_key(request))
        self._report_health(KvReachability(True, sent_at, era=self._service.era))
        return reply

    def _execute(self, job: _PendingRequest) -> KvReply:
        match job.request:
            case KvGet(request_id, key):
                item = self._service.get(key)
                if item is None:
                    return KvValue(request_id, key, None, 0)
                return KvValue(request_id, key, item.value, item.revision)
            case KvList(request_id, prefix):
                return KvListing(request_id, prefix, self._service.list(prefix))
            case KvSwap() if job.session_lease_id is not None and self._is_late(job):
                raise UnavailableError("the service has returned from an older copy")
            case KvSwap() as swap:
                return self._swap(swap, job.session_lease_id)
            case KvDelete(request_id, key, expected):
                result = self._service.delete(key, expected)
                if result.succeeded:
                    return KvDeleted(request_id, key)
                return _build_conflict(request_id, key, result)
            case _:
                raise UnavailableError("unknown request")

    def _is_late(self, job: _PendingRequest) -> bool:
        """Return whether the service has returned since a request was queued."""
        return job.era != self._service.era

    def _swap(self, swap: KvSwap, lease_id: int | None) -> KvReply:
        if swap.ttl_s is not None and lease_id is None:
            try:
                lease_id = self._leases.lease_id(swap.key, swap.ttl_s)
            except LostAnswerError as error:
                # The write itself was not sent.
                raise UnavailableError(str(error)) from error
        try:
            result = self._service.swap(
                swap.key, swap.expected_revision, swap.value, lease_id
            )
        except LostAnswerError:
            if swap.ttl_s is not None:
                self._leases.invalidate(swap.key, swap.ttl_s)
            raise
        if result.succeeded:
            return KvSwapped(swap.request_id, swap.key, result.revision)
        return _build_conflict(swap.request_id, swap.key, result)

    def _probe_head(self) -> None:
        while True:
            self._probe_requested.wait()
            self._probe_requested.clear()
            sent_at = self.clock.now()
            try:
                with gevent.Timeout(PROBE_TIMEOUT_S):
                    item = self._service.get(CONFIG_HEAD)
            except (gevent.Timeout, Exception):
                # Any failure means that the service was not shown to be reachable.
                self._report_health(KvReachability(False, sent_at))
                continue
            if item is not None:
                self._watch.publish_if_newer(item)
            era = self._service.era
            self._report_health(KvReachability(True, sent_at, True, era))

    def _on_session_report(self, message: Message) -> None:
        """Forward a message of the session keeper; runs in the keeper's greenlet."""
        self._report_health(message)
        if not isinstance(message, KvReachability):
            self._send(self.address, message)

    def _report_health(self, message: Message) -> None:
        for task in self._health_watchers:
            self._send(self.dispatcher.address(task), message)

    def _publish(self, message: Message) -> None:
        for task in self._watchers:
            self._send(self.dispatcher.address(task), message)

    def _send(self, recipient: Address, message: Message) -> None:
        self.dispatcher.send(self.address, Outgoing(recipient, message))


def _request_key(request: KvRequest) -> str:
    match request:
        case KvGet(_, key) | KvDelete(_, key, _):
            return key
        case KvSwap() as swap:
            return swap.key
        case KvList(_, prefix):
            return prefix
        case _:
            return ""


def _build_conflict(request_id: str, key: str, result: SwapResult) -> KvConflict:
    return KvConflict(request_id, key, result.value, result.revision)
