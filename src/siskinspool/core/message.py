"""Messages and addresses.

Tasks exchange immutable attrs classes derived from `Message`. An `Address` names a task
of an instance, so that the sender treats a local task, a task of a peer and a waiting
request handler alike. The encoding is separate, in `siskinspool.links.codec`.
"""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen
class Message:
    """Base class of all messages."""

    # The next message of the class replaces it, so it may be dropped from a full queue.
    is_replaceable: ClassVar[bool] = False


@attrs.frozen
class Address:
    """Identifies the task that sends or receives a message."""

    instance_id: str
    task: str


@attrs.frozen
class Incoming:
    """A received message with its sender."""

    sender: Address
    message: Message


@attrs.frozen
class Outgoing:
    """A message to send, with its recipient."""

    recipient: Address
    message: Message
