"""Links to other instances over ZeroMQ.

A ROUTER socket bound to the instance's address receives from all peers; one DEALER
socket per peer sends. Each socket belongs to one greenlet. Senders only append to the
bounded queue of the peer's greenlet, so they never wait for the network. A sending
socket is opened for the first message to a member and closed when it is idle: most
pairs of instances have nothing to tell each other, and each open connection costs
keep-alive probes. The task ``peers`` learns the members from `MembershipChanged`.

Delivery is best effort and at most once: a message may be lost when a connection
breaks. A sender that needs a reply uses a deadline.
"""

from __future__ import annotations

import logging
from typing import Final

import gevent
import zmq.green as zmq

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher, PeerTransport
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.task import Task
from ..telemetry.logs import log_event
from .codec import Codec, Malformed, UnknownVersion
from .peer_connection import LinkCounters, PeerConnection, configure

logger = logging.getLogger(__name__)

PEERS_TASK: Final = "peers"
# The receiver yields to other greenlets after this many messages.
RECEIVE_BATCH_MESSAGES: Final = 64
LOG_INTERVAL_S: Final = 1.0
# Longer than the interval of any periodic message, so that its connection stays open.
IDLE_CLOSE_S: Final = 10.0


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

        A member that has left can be sent messages for ``former_member_s``: it may only
        have lost its connection to the store, and its questions need replies.
        Raises zmq.ZMQError if the address cannot be bound.
        """
        super().__init__(PEERS_TASK, dispatcher, clock)
        self.counters = LinkCounters()
        self._codec = codec
        self._context = zmq.Context()
        self._member_by_id: dict[str, Member] = {}
        self._connection_by_id: dict[str, PeerConnection] = {}
        self._close_idle_at = clock.now() + IDLE_CLOSE_S / 2
        self._former_member_s = former_member_s
        # When the members left that can still be reached.
        self._left_at_by_id: dict[str, float] = {}
        self._receiver: gevent.Greenlet[..., None] | None = None
        self._last_log_at = clock.now() - LOG_INTERVAL_S
        self._socket = self._context.socket(zmq.ROUTER)
        configure(self._socket)
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
        """Close the connections to members that have left or moved."""
        if not isinstance(incoming.message, MembershipChanged):
            return
        member_by_id = incoming.message.member_by_id
        for instance_id in self._left_at_by_id.keys() & member_by_id.keys():
            del self._left_at_by_id[instance_id]
        for instance_id, known in list(self._member_by_id.items()):
            member = member_by_id.get(instance_id)
            if member is None and self._can_send_to_former(instance_id):
                continue
            self._left_at_by_id.pop(instance_id, None)
            if member is None or _endpoint(member) != _endpoint(known):
                del self._member_by_id[instance_id]
                self._close(instance_id)
        for instance_id, member in member_by_id.items():
            if instance_id != self.dispatcher.instance_id:
                self._member_by_id.setdefault(instance_id, member)

    def connected_ids(self) -> list[str]:
        """Return the ids of the members with an open connection."""
        return sorted(self._connection_by_id)

    def on_time(self) -> None:
        """Close the connections that are idle."""
        now = self.clock.now()
        self._close_idle_at = now + IDLE_CLOSE_S / 2
        for instance_id, connection in list(self._connection_by_id.items()):
            if now - connection.used_at >= IDLE_CLOSE_S and not connection.queue:
                self._close(instance_id)

    def wake_at(self) -> float | None:
        """Return when idle connections are closed next."""
        return self._close_idle_at

    def _close(self, instance_id: str) -> None:
        connection = self._connection_by_id.pop(instance_id, None)
        if connection is not None:
            connection.close()

    def _can_send_to_former(self, instance_id: str) -> bool:
        """Return whether a member that has left can still be sent messages."""
        now = self.clock.now()
        left_at = self._left_at_by_id.setdefault(instance_id, now)
        return now - left_at < self._former_member_s

    def send_to_peer(self, sender: Address, outgoing: Outgoing) -> bool:
        """Queue a message for a peer; return False if it was rejected."""
        connection = self._open(outgoing.recipient.instance_id)
        if connection is None:
            self.counters.refused += 1
            return False
        try:
            data = self._codec.encode(sender, outgoing)
        except TypeError as error:
            log_event(logger, logging.ERROR, "message_not_encoded", error=str(error))
            self.counters.refused += 1
            return False
        is_queued = connection.put(data, outgoing.message.is_replaceable)
        if not is_queued:
            self.counters.refused += 1
        return is_queued

    def _open(self, instance_id: str) -> PeerConnection | None:
        """Return the connection to a member; return None if it is unknown."""
        connection = self._connection_by_id.get(instance_id)
        if connection is None and instance_id in self._member_by_id:
            connection = PeerConnection(
                self._context,
                self._member_by_id[instance_id],
                self.clock,
                self.counters,
            )
            self._connection_by_id[instance_id] = connection
        return connection

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
