"""Builders for tests of links, sessions, membership and ownership."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import gevent

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Incoming, Message
from siskinspool.links.codec import MsgpackCodec
from siskinspool.links.peer import PeerLink

from .builders import incoming


def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true in time"
        gevent.sleep(0.005)


@attrs.define
class RecordingInbox(Inbox):
    """Records the messages posted to it."""

    received: list[Incoming] = attrs.field(factory=list)

    def post(self, incoming: Incoming) -> bool:
        """Record a message."""
        self.received.append(incoming)
        return True

    def messages(self) -> list[Message]:
        """Return the messages without their senders."""
        return [one.message for one in self.received]


@attrs.frozen
class Peer:
    """A peer link on loopback whose task ``placement`` records its messages."""

    dispatcher: Dispatcher
    link: PeerLink
    inbox: RecordingInbox

    def member(self) -> Member:
        """Return the member that represents this peer."""
        name = self.dispatcher.instance_id
        return Member(name, f"{name}-1", "a", "127.0.0.1", self.link.port)

    def set_members(self, *members: Member) -> None:
        """Set the peers of the link."""
        by_id = {member.instance_id: member for member in members}
        self.link.handle(incoming(MembershipChanged(by_id)))


@contextmanager
def peers(*names: str, former_member_s: float = 0.0) -> Iterator[list[Peer]]:
    """Run peer links whose peers are not set yet."""
    built = []
    for name in names:
        dispatcher = Dispatcher(name)
        inbox = RecordingInbox()
        dispatcher.register("placement", inbox)
        link = PeerLink(
            dispatcher,
            MonotonicClock(),
            MsgpackCodec(),
            "127.0.0.1",
            former_member_s=former_member_s,
        )
        dispatcher.attach_peer_transport(link)
        link.start()
        built.append(Peer(dispatcher, link, inbox))
    try:
        yield built
    finally:
        for peer in built:
            peer.link.stop()
