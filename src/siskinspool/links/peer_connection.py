"""The sending connection to one peer instance.

Each connection belongs to one greenlet, which owns its DEALER socket and sends from a
bounded queue.
"""

from __future__ import annotations

from typing import Final

import attrs
import gevent
import zmq.green as zmq

from ..core.clock import Clock
from ..core.member import Member
from .peer_queue import PeerQueue, QueuedMessage

QUEUE_CAPACITY_MESSAGES: Final = 1_000
# At least as long as any deadline of a question between instances.
MAX_QUEUED_S: Final = 5.0
# Low, because the queue's rules do not apply to messages inside ZeroMQ.
SEND_BUFFER_MESSAGES: Final = 100
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
# Detects a peer whose host vanished without closing the connection.
LINK_PING_INTERVAL_MS: Final = 1_000
LINK_PING_TIMEOUT_MS: Final = 3_000
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1_000


@attrs.define
class LinkCounters:
    """Message counts since the start of the process."""

    sent: int = 0
    received: int = 0
    # The peer is unknown, or its queue is full.
    refused: int = 0
    # Heartbeats and reports dropped from a full queue for newer messages.
    dropped: int = 0
    # Queued for longer than MAX_QUEUED_S.
    expired: int = 0
    malformed: int = 0
    unknown_version: int = 0


class PeerConnection:
    """The sending connection to one peer."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        member: Member,
        clock: Clock,
        counters: LinkCounters,
    ) -> None:
        """Connect to a member; the first message waits until that has succeeded."""
        self.member = member
        # When the last message was queued.
        self.used_at = clock.now()
        self.queue = PeerQueue(QUEUE_CAPACITY_MESSAGES)
        self._context = context
        self._clock = clock
        self._counters = counters
        self._greenlet = gevent.spawn(self._run)

    def put(self, data: bytes, is_droppable: bool) -> bool:
        """Queue an encoded message; return False if the queue is full."""
        self.used_at = self._clock.now()
        dropped_before = self.queue.dropped
        message = QueuedMessage(data, self.used_at, is_droppable)
        is_queued = self.queue.put(message)
        self._counters.dropped += self.queue.dropped - dropped_before
        return is_queued

    def close(self) -> None:
        """Stop the greenlet, which closes the socket."""
        self._greenlet.kill()

    def _run(self) -> None:
        socket = self._context.socket(zmq.DEALER)
        try:
            configure(socket)
            socket.setsockopt(zmq.HEARTBEAT_IVL, LINK_PING_INTERVAL_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, LINK_PING_TIMEOUT_MS)
            # The receiver needs no probes of its own to notice a lost sender.
            socket.setsockopt(zmq.HEARTBEAT_TTL, LINK_PING_TIMEOUT_MS)
            socket.connect(f"tcp://{self.member.host}:{self.member.port}")
            while True:
                self._send(socket, self.queue.get())
        finally:
            socket.close(linger=0)

    def _send(self, socket: zmq.Socket[bytes], message: QueuedMessage) -> None:
        if self._clock.now() - message.queued_at > MAX_QUEUED_S:
            self._counters.expired += 1
            return
        # Blocks only this greenlet while the peer is not connected.
        socket.send(message.data)
        self._counters.sent += 1


def configure(socket: zmq.Socket[bytes]) -> None:
    """Set the limits and reconnect times of a socket."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.SNDHWM, SEND_BUFFER_MESSAGES)
    # Otherwise messages for a disconnected peer pile up inside ZeroMQ.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
