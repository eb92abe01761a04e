"""Links to other instances over ZeroMQ.

A ROUTER socket bound to the instance's address receives from all peers; one DEALER
socket per peer sends. Each socket belongs to one greenlet. Senders only append to the
bounded queue of the peer's greenlet, so they never wait for the network. The task
``peers`` opens and closes the sending sockets on `MembershipChanged`.

Delivery is best effort and at most once: a message may be lost when a connection
breaks. A sender that needs a reply uses a deadline.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs
import gevent
import zmq.green as zmq

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher, PeerTransport
from ..core.message import Address, Incoming, Outgoing
from ..core.task import Task
from ..machines.heartbeat import Heartbeat
from ..machines.messages import Member, MembershipChanged, ServerReport
from ..telemetry.logs import log_event
from .codec import Codec, Malformed, UnknownVersion
from .peer_queue import PeerQueue, QueuedMessage

logger = logging.getLogger(__name__)

PEERS_TASK: Final = "peers"
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
# The receiver yields to other greenlets after this many messages.
RECEIVE_BATCH_MESSAGES: Final = 64
LOG_INTERVAL_S: Final = 1.0


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


class _PeerConnection:
    """The sending connection to one peer."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        member: Member,
        clock: Clock,
        counters: LinkCounters,
    ) -> None:
        self.member = member
        self.queue = PeerQueue(QUEUE_CAPACITY_MESSAGES)
        self._context = context
        self._clock = clock
        self._counters = counters
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the greenlet, which closes the socket."""
        self._greenlet.kill()

    def _run(self) -> None:
        socket = self._context.socket(zmq.DEALER)
        try:
            _configure(socket)
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


class PeerLink(Task, PeerTransport):
    """Sends messages to other instances and receives theirs."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        codec: Codec,
        host: str,
        port: int = 0,
        former_member_s: float = 0.0,
    ) -> None:
        """Bind the receiving socket; with port 0 the kernel chooses the port.

        The connection to a member that has left is kept for ``former_member_s``: it may
        only have lost its connection to the store, and its questions need replies.
        Raises zmq.ZMQError if the address cannot be bound.
        """
        super().__init__(PEERS_TASK, dispatcher, clock)
        self.counters = LinkCounters()
        self._codec = codec
        self._context = zmq.Context()
        self._connection_by_id: dict[str, _PeerConnection] = {}
        self._former_member_s = former_member_s
        # When the members left whose connections are kept.
        self._left_at_by_id: dict[str, float] = {}
        self._receiver: gevent.Greenlet[..., None] | None = None
        self._last_log_at = clock.now() - LOG_INTERVAL_S
        self._socket = self._context.socket(zmq.ROUTER)
        _configure(self._socket)
        self._socket.bind(f"tcp://{host}:{port}")
        endpoint = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.port = int(endpoint.rsplit(":", 1)[1])

    def start(self) -> None:
        """Start receiving and handling membership changes."""
        super().start()
        self._receiver = gevent.spawn(self._receive)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Close all sockets; queued messages are lost."""
        super().stop(timeout_s)
        if self._receiver is not None:
            self._receiver.kill()
            self._receiver = None
        for connection in self._connection_by_id.values():
            connection.close()
        self._connection_by_id.clear()
        self._socket.close(linger=0)
        self._context.term()

    def handle(self, incoming: Incoming) -> None:
        """Open and close sending sockets when the membership changes."""
        if not isinstance(incoming.message, MembershipChanged):
            return
        member_by_id = incoming.message.member_by_id
        for instance_id, connection in list(self._connection_by_id.items()):
            member = member_by_id.get(instance_id)
            if member is None and self._can_send_to_former(instance_id):
                continue
            self._left_at_by_id.pop(instance_id, None)
            if member is None or _endpoint(member) != _endpoint(connection.member):
                del self._connection_by_id[instance_id]
                connection.close()
        for instance_id, member in member_by_id.items():
            is_connected = instance_id in self._connection_by_id
            if not is_connected and instance_id != self.dispatcher.instance_id:
                self._connection_by_id[instance_id] = _PeerConnection(
                    self._context, member, self.clock, self.counters
                )

    def _can_send_to_former(self, instance_id: str) -> bool:
        """Return whether the connection to a member that has left is kept."""
        now = self.clock.now()
        left_at = self._left_at_by_id.setdefault(instance_id, now)
        return now - left_at < self._former_member_s

    def send_to_peer(self, sender: Address, outgoing: Outgoing) -> bool:
        """Queue a message for a peer; return False if it was rejected."""
        connection = self._connection_by_id.get(outgoing.recipient.instance_id)
        if connection is None:
            self.counters.refused += 1
            return False
        try:
            data = self._codec.encode(sender, outgoing)
        except TypeError as error:
            log_event(logger, logging.ERROR, "message_not_encoded", error=str(error))
            self.counters.refused += 1
            return False
        is_droppable = isinstance(outgoing.message, Heartbeat | ServerReport)
        dropped_before = connection.queue.dropped
        message = QueuedMessage(data, self.clock.now(), is_droppable)
        is_queued = connection.queue.put(message)
        self.counters.dropped += connection.queue.dropped - dropped_before
        if not is_queued:
            self.counters.refused += 1
        return is_queued

    def _receive(self) -> None:
        while True:
            for _ in range(RECEIVE_BATCH_MESSAGES):
                self._handle_frames(self._socket.recv_multipart())
            gevent.sleep(0)

    def _handle_frames(self, frames: list[bytes]) -> None:
        # The ROUTER socket prepends the identity of the connection.
        if len(frames) != 2:
            self._count_malformed(Malformed(f"{len(frames)} frames"))
            return
        decoded = self._codec.decode(frames[1])
        if isinstance(decoded, Malformed):
            self._count_malformed(decoded)
            return
        self.counters.received += 1
        recipient = self.dispatcher.address(decoded.recipient_task)
        self.dispatcher.deliver(recipient, decoded.incoming)

    def _count_malformed(self, malformed: Malformed) -> None:
        if isinstance(malformed, UnknownVersion):
            self.counters.unknown_version += 1
        else:
            self.counters.malformed += 1
        now = self.clock.now()
        if now - self._last_log_at >= LOG_INTERVAL_S:
            self._last_log_at = now
            log_event(
                logger,
                logging.WARNING,
                "peer_message_dropped",
                reason=malformed.reason,
                malformed=self.counters.malformed,
                unknown_version=self.counters.unknown_version,
            )


def _endpoint(member: Member) -> tuple[str, str, int]:
    return member.incarnation, member.host, member.port


def _configure(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.SNDHWM, SEND_BUFFER_MESSAGES)
    # Otherwise messages for a disconnected peer pile up inside ZeroMQ.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.HEARTBEAT_IVL, LINK_PING_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, LINK_PING_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
