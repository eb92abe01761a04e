"""Polls server reports over HTTP.

`ReportPoller` is the task ``report_poller``. Each poll runs in a greenlet of a bounded
pool, so that an unresponsive server does not delay the polls of others.
"""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Any, Final

import gevent
import msgspec
from gevent.pool import Pool

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.task import Task
from ..links.server_link import (
    MAX_REPORT_BYTES,
    Lost,
    NotSent,
    ServerLink,
    ServerRequest,
)
from .messages import (
    CheckpointTier,
    ReplicaState,
    ReportedReplica,
    ServerReport,
    ServerUnreachable,
)
from .report_messages import PollServer

logger = logging.getLogger(__name__)

MAX_PARALLEL_POLLS: Final = 32


class ReportPoller(Task):
    """Polls a server for each `PollServer` message."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, link: ServerLink) -> None:
        super().__init__("report_poller", dispatcher, clock)
        self._link = link
        self._pool = Pool(MAX_PARALLEL_POLLS)

    def handle(self, incoming: Incoming) -> None:
        """Start a poll in the pool."""
        if isinstance(incoming.message, PollServer):
            self._pool.spawn(self._poll, incoming.sender, incoming.message)

    def _poll(self, sender: Address, poll: PollServer) -> None:
        answer: Message
        try:
            answer = decode_report(poll.server_id, _read(self._link, poll))
        except Exception:
            # A report may be malformed in many ways. Without an answer the server would
            # never be polled again.
            logger.debug("poll failed", exc_info=True)
            answer = ServerUnreachable(poll.server_id)
        self.dispatcher.send(self.address, Outgoing(sender, answer))


def _read(link: ServerLink, poll: PollServer) -> bytes:
    """Return the body of a report; raise ValueError or TimeoutError without one."""
    request = ServerRequest(
        host=poll.host,
        port=poll.port,
        method="GET",
        uri="/v1/report",
        headers={},
        body=b"",
        start=poll.start,
    )
    # Bytes may arrive one at a time, each within the connection's own timeout.
    with gevent.Timeout(poll.timeout_s, TimeoutError("no report in time")):
        answer = link.open_call(request, poll.timeout_s)
        if isinstance(answer, NotSent | Lost):
            raise ValueError(answer.reason)
        try:
            body = answer.read_all(MAX_REPORT_BYTES)
        finally:
            answer.close()
    if isinstance(body, Lost):
        raise ValueError(body.reason)
    if answer.status != HTTPStatus.OK:
        raise ValueError(f"status {answer.status}")
    return body


def decode_report(server_id: str, data: bytes) -> ServerReport:
    """Decode a report; raise ValueError or KeyError if it is malformed."""
    document: dict[str, Any] = msgspec.json.decode(data)
    if document["server_id"] != server_id:
        raise ValueError("the report is about another server")
    return ServerReport(
        server_id=server_id,
        boot_id=str(document["boot_id"]),
        capacity=int(document["capacity"]),
        running=int(document["running"]),
        queued=int(document["queued"]),
        memory_mib=int(document["memory_mib"]),
        used_mib=int(document["used_mib"]),
        replicas=tuple(_replica(item) for item in document["replicas"]),
        checkpoint_tier_by_model={
            model: CheckpointTier(tier)
            for model, tier in document.get("checkpoints", {}).items()
        },
        highest_fence=int(document.get("highest_fence", 0)),
        age_s=int(document.get("age_ms", 0)) / 1000,
    )


def _replica(item: dict[str, Any]) -> ReportedReplica:
    return ReportedReplica(
        replica_id=str(item["replica_id"]),
        model=str(item["model"]),
        adapter=str(item.get("adapter", "")),
        state=ReplicaState(item["state"]),
    )
