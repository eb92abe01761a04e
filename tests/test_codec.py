"""The peer codec: round trips, and a clear outcome for bytes that are no message."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinspool.core.message import Address, Outgoing
from siskinspool.links.codec import Decoded, Malformed, MsgpackCodec
from siskinspool.machines.messages import ReplicaRequest
from siskinspool.manifest.model import RequestClass

SENDER = Address("i1", "routing")
REPLICA_REQUEST = Outgoing(
    Address("i2", "placement"), ReplicaRequest("m", "a", RequestClass.URGENT, 1.5, 3)
)


def test_message_survives_the_round_trip() -> None:
    """Guards against a field that is lost or changed on the way to a peer."""
    codec = MsgpackCodec()
    decoded = codec.decode(codec.encode(SENDER, REPLICA_REQUEST))
    assert isinstance(decoded, Decoded)
    assert decoded.recipient_task == "placement"
    assert decoded.incoming.sender == SENDER
    assert decoded.incoming.message == REPLICA_REQUEST.message


@given(st.binary(max_size=200))
def test_fuzz_random_bytes_are_malformed(data: bytes) -> None:
    """Guards against an exception in the peer link on bytes from elsewhere."""
    assert isinstance(MsgpackCodec().decode(data), Malformed)


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_fuzz_changed_byte_never_raises(position: int, change: int) -> None:
    """Guards against an exception on a message damaged in one byte."""
    codec = MsgpackCodec()
    data = bytearray(codec.encode(SENDER, REPLICA_REQUEST))
    data[position % len(data)] ^= change
    assert isinstance(codec.decode(bytes(data)), Decoded | Malformed)
