"""Messages and addresses.

Everything that crosses a task boundary is an immutable attrs class derived from
`Message`. An `Address` names a task on an instance, so that a task in the same
process, a task on a peer and a waiting request handler all look alike to the sender.
Encoding lives in `siskinspool.links.codec`; this module knows nothing about bytes.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Message:
    """Base class of all messages."""


@attrs.frozen
class Address:
    """The task that sends or receives a message."""

    instance_id: str
    task: str


@attrs.frozen
class Incoming:
    """A message as it reaches a decision or task."""

    sender: Address
    message: Message


@attrs.frozen
class Outgoing:
    """A message that a decision or task wants delivered."""

    recipient: Address
    message: Message
