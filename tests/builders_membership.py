"""Builders for tests of links, sessions, membership and ownership."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import gevent

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.message import Incoming, Message
from siskinspool.links.codec import MsgpackCodec
from siskinspool.links.peer import PeerLink
from siskinspool.machines.messages import Member, MembershipChanged

from .builders import incoming


def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true in time"
        gevent.sleep(0.005)


@attrs.define
class RecordingInbox(Inbox):
    """Keeps what it is sent."""

    received: list[Incoming] = attrs.field(factory=list)

    def post(self, incoming: Incoming) -> bool:
        """Keep a message."""
        self.received.append(incoming)
        return True

    def messages(self) -> list[Message]:
        """Return the messages without their senders."""
        return [one.message for one in self.received]


@attrs.frozen
class Peer:
    """A peer link on loopback with a task ``placement`` that records."""

    dispatcher: Dispatcher
    link: PeerLink
    inbox: RecordingInbox

    def member(self) -> Member:
        """Return the member that stands for this peer."""
        name = self.dispatcher.instance_id
        return Member(name, f"{name}-1", "a", "127.0.0.1", self.link.port)

    def set_members(self, *members: Member) -> None:
        """Tell the link who its peers are, and wait until it knows."""
        by_id = {member.instance_id: member for member in members}
        self.link.handle(incoming(MembershipChanged(by_id)))


@contextmanager
def peers(*names: str, former_member_s: float = 0.0) -> Iterator[list[Peer]]:
    """Run peer links that do not know each other yet."""
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
        dispatcher.attach_carrier(link)
        link.start()
        built.append(Peer(dispatcher, link, inbox))
    try:
        yield built
    finally:
        for peer in built:
            peer.link.stop()
