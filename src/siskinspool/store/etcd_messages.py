"""The answers of etcd's JSON gateway.

Only the fields below are decoded: other JSON could take many times the memory of its
bytes. The gateway writes 64-bit numbers as text.
"""

from __future__ import annotations

import msgspec

Number = int | str


class EtcdHeader(msgspec.Struct):
    """The state of the service at the answer."""

    revision: Number = 0


class EtcdEntry(msgspec.Struct):
    """A key; the key and its value are encoded in base64."""

    key: str
    mod_revision: Number
    value: str = ""


class EtcdEvent(msgspec.Struct):
    """A change of a key in a watch."""

    kv: EtcdEntry
    type: str = ""


class EtcdResult(msgspec.Struct):
    """A message of a stream: changes of a watch, or the renewal of a lease."""

    header: EtcdHeader = msgspec.field(default_factory=EtcdHeader)
    events: list[EtcdEvent] = []
    ttl_s: Number = msgspec.field(default=0, name="TTL")


class EtcdAnswer(msgspec.Struct):
    """The fields of all answers."""

    header: EtcdHeader = msgspec.field(default_factory=EtcdHeader)
    kvs: list[EtcdEntry] = []
    succeeded: bool = False
    # Undecoded, as only those of a conflict are read.
    responses: msgspec.Raw = msgspec.Raw(b"[]")
    lease_id: Number | None = msgspec.field(default=None, name="ID")
    ttl_s: Number | None = msgspec.field(default=None, name="TTL")
    result: EtcdResult = msgspec.field(default_factory=EtcdResult)


class EtcdRange(msgspec.Struct):
    """The keys that a transaction has read."""

    kvs: list[EtcdEntry] = []


class EtcdRangeResponse(msgspec.Struct):
    """The response to a read in a transaction."""

    response_range: EtcdRange


answer_decoder = msgspec.json.Decoder(EtcdAnswer)
# A transaction of this system reads one key if its condition does not hold.
conflict_decoder = msgspec.json.Decoder(tuple[EtcdRangeResponse])
