"""Encoding of messages between instances.

A `Codec` encodes and decodes message envelopes. `MsgpackCodec` writes a msgpack array
``[version, sender instance, sender task, recipient task, type name, body]`` and decodes
the body into the attrs class registered under the type name. Decoding invalid bytes
returns `Malformed`; it never raises.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Address, Incoming, Message, Outgoing

PROTOCOL_VERSION: Final = 1

_wire_class_by_name: Final[dict[str, type[Message]]] = {}
_wire_name_by_class: Final[dict[type[Message], str]] = {}

_MessageT = TypeVar("_MessageT", bound=Message)


def wire(cls: type[_MessageT]) -> type[_MessageT]:
    """Class decorator that registers a message for sending between instances."""
    return wire_as(cls.__name__)(cls)


def wire_as(
    outer_name: str,
) -> Callable[[type[_MessageT]], type[_MessageT]]:
    """Return a class decorator like `wire`, with the given type name on the wire."""

    def register(cls: type[_MessageT]) -> type[_MessageT]:
        if outer_name in _wire_class_by_name:
            raise TypeError(f"two wire messages are named {outer_name}")
        _wire_class_by_name[outer_name] = cls
        _wire_name_by_class[cls] = outer_name
        return cls

    return register


def wire_classes() -> dict[str, type[Message]]:
    """Return the registered message classes by type name."""
    return dict(_wire_class_by_name)


@dataclass(frozen=True)
class Decoded:
    """A message for a task of this instance."""

    recipient_task: str
    incoming: Incoming


@dataclass(frozen=True)
class Malformed:
    """Bytes that do not encode a message of a known version and type."""

    reason: str


@dataclass(frozen=True)
class UnknownVersion(Malformed):
    """An envelope of another protocol version."""


class Codec(ABC):
    """Encodes messages for a peer link."""

    @abstractmethod
    def encode(self, sender: Address, outgoing: Outgoing) -> bytes:
        """Encode a message; raise TypeError for a local-only class."""

    @abstractmethod
    def decode(self, data: bytes) -> Decoded | Malformed:
        """Decode a message, or return why it is malformed."""


class MsgpackCodec(Codec):
    """Encodes messages as msgpack with msgspec."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(
            tuple[int, str, str, str, str, msgspec.Raw]
        )
        self._decoder_by_name: dict[str, msgspec.msgpack.Decoder[Message]] = {}

    def encode(self, sender: Address, outgoing: Outgoing) -> bytes:
        """Encode a message; raise TypeError for a local-only class."""
        message_class = type(outgoing.message)
        type_name = _wire_name_by_class.get(message_class)
        if type_name is None:
            raise TypeError(f"{message_class.__name__} is not a wire message")
        return self._encoder.encode(
            (
                PROTOCOL_VERSION,
                sender.instance_id,
                sender.task,
                outgoing.recipient.task,
                type_name,
                outgoing.message,
            )
        )

    def decode(self, data: bytes) -> Decoded | Malformed:
        """Decode a message, or return why it is malformed."""
        try:
            version, instance_id, task, recipient, type_name, body = (
                self._envelope_decoder.decode(data)
            )
        except MALFORMED_ERRORS as error:
            return Malformed(f"envelope: {error}")
        if version != PROTOCOL_VERSION:
            return UnknownVersion(f"protocol version {version}")
        decoder = self._decoder(type_name)
        if decoder is None:
            return Malformed("unknown message type")
        try:
            message = decoder.decode(body)
        except MALFORMED_ERRORS as error:
            return Malformed(f"{type_name}: {error}")
        return Decoded(recipient, Incoming(Address(instance_id, task), message))

    def _decoder(self, type_name: str) -> msgspec.msgpack.Decoder[Message] | None:
        decoder = self._decoder_by_name.get(type_name)
        if decoder is None:
            cls = _wire_class_by_name.get(type_name)
            if cls is None:
                return None
            decoder = msgspec.msgpack.Decoder(cls)
            self._decoder_by_name[type_name] = decoder
        return decoder
