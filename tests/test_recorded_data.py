"""Messages and stored values that an earlier build wrote are read and written alike.

The files under ``data/recorded`` hold one example a line: the name on the wire or the
kind of a stored value, and the bytes in hexadecimal, as commit 4b42904 wrote them, or
the one that added the message. During a rolling update, instances of both builds
exchange messages and share stored values, so a renamed class or field must keep its
outer name.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from siskinspool.contracts.claim_encoding import MsgpackEntryCodec
from siskinspool.contracts.patient_encoding import MsgpackHeadCodec
from siskinspool.core.message import Outgoing
from siskinspool.gateway.load_ledger import decode_loads, encode_loads
from siskinspool.links.codec import Decoded, MsgpackCodec
from siskinspool.machines.ownership_records import decode_record, encode_record
from siskinspool.machines.record_encoding import JsonRecordEncoding
from siskinspool.manifest.head import (
    decode_change,
    decode_head,
    encode_change,
    encode_head,
)
from siskinspool.store.session_keeper import decode_session, encode_session

from .builders_recorded import (
    RECIPIENT,
    RECORDED_LEASE_ID,
    all_wire_classes,
    recorded_by_name,
)

Decode = Callable[[bytes], Any]
Encode = Callable[[Any], bytes]

WIRE_CLASSES = all_wire_classes()
MESSAGES = recorded_by_name("messages")
STORED_VALUES = recorded_by_name("stored_values")
CODEC_BY_KIND: dict[str, tuple[Decode, Encode]] = {
    "claim_entry": (MsgpackEntryCodec().decode, MsgpackEntryCodec().encode),
    "patient_head": (MsgpackHeadCodec().decode, MsgpackHeadCodec().encode),
    "server_record": (JsonRecordEncoding().decode, JsonRecordEncoding().encode),
    "owner_record": (decode_record, encode_record),
    "session": (
        lambda data: decode_session("i1", data),
        lambda member: encode_session(member, RECORDED_LEASE_ID),
    ),
    "manifest_head": (decode_head, encode_head),
    "change_record": (decode_change, encode_change),
    "load_ledger": (decode_loads, encode_loads),
}


def test_all_messages_and_values_are_recorded() -> None:
    """Guards against a message or value that these tests leave out."""
    assert set(MESSAGES) == set(WIRE_CLASSES)
    assert set(STORED_VALUES) == set(CODEC_BY_KIND)


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_recorded_message_is_read_and_written_alike(name: str) -> None:
    """Guards against a renamed message or field that the earlier build cannot read."""
    codec = MsgpackCodec()
    decoded = codec.decode(MESSAGES[name])
    assert isinstance(decoded, Decoded)
    outgoing = Outgoing(RECIPIENT, decoded.incoming.message)
    assert codec.encode(decoded.incoming.sender, outgoing) == MESSAGES[name]


@pytest.mark.parametrize("kind", sorted(STORED_VALUES))
def test_recorded_value_is_read_and_written_alike(kind: str) -> None:
    """Guards against a renamed field of a stored value that the earlier build wrote."""
    decode, encode = CODEC_BY_KIND[kind]
    value = decode(STORED_VALUES[kind])
    assert value is not None
    assert encode(value) == STORED_VALUES[kind]
