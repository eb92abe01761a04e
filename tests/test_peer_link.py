"""Tests of the peer link over loopback: delivery, bounded queues, malformed input."""

from __future__ import annotations

import gevent
import msgspec
import pytest
import zmq.green as zmq

from siskinspool.core.member import Member
from siskinspool.core.message import Address, Outgoing
from siskinspool.links.codec import MsgpackCodec
from siskinspool.links.peer_connection import QUEUE_CAPACITY_MESSAGES
from siskinspool.links.peer_queue import PeerQueue, QueuedMessage
from siskinspool.machines.heartbeat import Heartbeat
from siskinspool.machines.messages import ReplicaRefused

from .builders_membership import Peer, peers, wait_until

HEARTBEAT = Heartbeat(1, -1, 0, 1, 1, 0)


def send_refusal(peer: Peer, recipient_id: str, reason: str = "full") -> bool:
    message = ReplicaRefused("m", "", reason)
    sender = peer.dispatcher.address("routing")
    return peer.dispatcher.send(
        sender, Outgoing(Address(recipient_id, "placement"), message)
    )


def send_raw(port: int, *frames: bytes) -> None:
    context = zmq.Context()
    socket = context.socket(zmq.DEALER)
    socket.connect(f"tcp://127.0.0.1:{port}")
    socket.send_multipart(list(frames))
    socket.close(linger=2_000)
    context.term()


def test_messages_arrive_in_order_with_their_sender() -> None:
    """Guards against lost, reordered or misattributed messages between instances."""
    with peers("i1", "i2") as (one, two):
        one.set_members(one.member(), two.member())
        assert all(send_refusal(one, "i2", str(number)) for number in range(200))
        wait_until(lambda: len(two.inbox.received) == 200)
        expected = [ReplicaRefused("m", "", str(number)) for number in range(200)]
        assert two.inbox.messages() == expected
        assert two.inbox.received[0].sender == Address("i1", "routing")


def test_unknown_peer_is_refused_at_once() -> None:
    """Guards against waiting for a reply from a peer that does not exist."""
    with peers("i1") as (one,):
        assert not send_refusal(one, "i9")
        assert one.link.counters.refused == 1


def test_new_address_of_a_peer_is_followed() -> None:
    """Guards against sending to the old address of a restarted peer."""
    with peers("i1", "i2") as (one, two):
        one.set_members(Member("i2", "i2-0", "a", "127.0.0.1", 1))
        one.set_members(two.member())
        assert send_refusal(one, "i2")
        wait_until(lambda: len(two.inbox.received) == 1)
        one.set_members(one.member())
        assert not send_refusal(one, "i2")


def test_unreachable_peer_fills_only_a_bounded_queue() -> None:
    """Guards against a dead peer that blocks senders or exhausts memory (R3)."""
    with peers("i1") as (one,):
        one.set_members(Member("i2", "i2-1", "a", "127.0.0.1", 1))
        attempts = QUEUE_CAPACITY_MESSAGES + 50
        accepted = sum(send_refusal(one, "i2") for _ in range(attempts))
        assert QUEUE_CAPACITY_MESSAGES <= accepted <= QUEUE_CAPACITY_MESSAGES + 1
        assert one.link.counters.refused == attempts - accepted


def test_full_queue_drops_the_oldest_heartbeat_only() -> None:
    """Guards against heartbeats displacing requests, and against dropped requests."""
    queue = PeerQueue(3)
    for name, droppable in ((b"ask1", False), (b"beat1", True), (b"beat2", True)):
        assert queue.put(QueuedMessage(name, 0.0, droppable))
    assert queue.put(QueuedMessage(b"ask2", 0.0, False))
    assert queue.put(QueuedMessage(b"ask3", 0.0, False))
    assert not queue.put(QueuedMessage(b"ask4", 0.0, False))
    assert queue.dropped == 2
    assert [queue.get().data for _ in range(3)] == [b"ask1", b"ask2", b"ask3"]


def test_malformed_and_foreign_messages_are_counted_and_dropped() -> None:
    """Guards against foreign bytes ending the receiving greenlet."""
    with peers("i1", "i2") as (one, two):
        port = two.link.port
        send_raw(port, b"\xc1garbage")
        send_raw(port, b"two", b"frames")
        outgoing = Outgoing(Address("i2", "placement"), HEARTBEAT)
        envelope = msgspec.msgpack.decode(
            MsgpackCodec().encode(Address("i1", "x"), outgoing)
        )
        send_raw(port, msgspec.msgpack.encode([99, *envelope[1:]]))
        counters = two.link.counters
        wait_until(lambda: counters.malformed == 2 and counters.unknown_version == 1)
        assert two.inbox.received == []
        one.set_members(two.member())
        assert send_refusal(one, "i2")
        wait_until(lambda: len(two.inbox.received) == 1)


def test_member_that_lost_its_session_can_still_be_answered() -> None:
    """Guards against a gateway that loses its peers together with its store session.

    In the run baul-bogota-grown trouble-1 the store rejected 24 gateways, and 257
    requests at them were refused, since the owners of caps could not reply to them.
    """
    with peers("i1", "i2", former_member_s=60.0) as (one, two):
        one.set_members(one.member(), two.member())
        one.set_members(one.member())
        assert send_refusal(one, "i2")
        wait_until(lambda: len(two.inbox.received) == 1)


def test_member_that_left_long_ago_is_forgotten() -> None:
    """Guards against keeping connections to all former members."""
    with peers("i1", "i2", former_member_s=0.05) as (one, two):
        one.set_members(one.member(), two.member())
        one.set_members(one.member())
        gevent.sleep(0.1)
        one.set_members(one.member())
        assert not send_refusal(one, "i2")


def test_only_peers_that_get_messages_are_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a mesh of idle connections, each with its keep-alive probes.

    With 195 gateways, 194 open connections at each of them cost more processor time
    than the requests.
    """
    monkeypatch.setattr("siskinspool.links.peer.IDLE_CLOSE_S", 0.2)
    with peers("i1", "i2", "i3") as (one, two, three):
        one.set_members(one.member(), two.member(), three.member())
        gevent.sleep(0.05)
        assert one.link.connected_ids() == []
        assert send_refusal(one, "i2")
        assert one.link.connected_ids() == ["i2"]
        wait_until(lambda: len(two.inbox.received) == 1)
        wait_until(lambda: one.link.connected_ids() == [])
        assert send_refusal(one, "i2")
        wait_until(lambda: len(two.inbox.received) == 2)
