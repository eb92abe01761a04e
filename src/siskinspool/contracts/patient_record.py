"""The durable head record of a patient request, and the client that writes it.

The head ``patient/<shard>/<id>`` is changed only by compare-and-swap. A write whose
answer was lost is repeated with the same revision. A conflict with exactly the value
that was to be written means that the first copy took effect.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from ..store.keys import ANSWERS_PREFIX
from ..store.kv import (
    KvConflict,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
)
from .answer_parts import PartUpload
from .claim_messages import InstanceIncarnation
from .kv_client import IdGenerator, SequentialKvClient
from .patient_messages import PatientFailure, PatientState, SubmitPatient


@attrs.frozen
class Head:
    """The stored state of a patient request; large bodies are stored in parts."""

    request: SubmitPatient
    body_parts: int = 0
    state: PatientState = PatientState.ACCEPTED
    runner: InstanceIncarnation | None = None
    # Unique for each assignment to a runner.
    token: str = ""
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    answer_parts: int = 0
    failure: PatientFailure = PatientFailure.NONE
    fetched: bool = False

    @property
    def body_prefix(self) -> str:
        """The key prefix of the parts of the request's body."""
        return f"{ANSWERS_PREFIX}patient-{self.request.request_id}/body/"

    @property
    def answer_prefix(self) -> str:
        """The key prefix of the parts of the answer of this run."""
        return f"{ANSWERS_PREFIX}patient-{self.request.request_id}/{self.token}/"

    @property
    def has_ended(self) -> bool:
        """Whether the request is finished and will not run again."""
        return self.state in (PatientState.DONE, PatientState.FAILED)


class HeadCodec(ABC):
    """Encodes heads as values of the key-value service."""

    @abstractmethod
    def encode(self, head: Head) -> bytes:
        """Return the encoded head."""

    @abstractmethod
    def decode(self, data: bytes) -> Head | None:
        """Return the head in ``data``, or None if it cannot be decoded."""


class HeadWriter(SequentialKvClient):
    """Writes one head, after the parts that it refers to."""

    def __init__(self, key: str, codec: HeadCodec, ids: IdGenerator) -> None:
        super().__init__(ids)
        # The stored head, as far as known; None before the first write.
        self.head: Head | None = None
        self.revision = 0
        self.pending_head: Head | None = None
        # A copy of the pending write may have taken effect or may still do so.
        self.may_be_written = False
        # Another instance changed the record, so this one is no longer its owner.
        self.has_conflict = False
        self._key = key
        self._codec = codec
        self._value = b""
        self._ttl_s: float | None = None
        self._upload: PartUpload | None = None

    def start_write(
        self, head: Head, ttl_s: float | None = None, upload: PartUpload | None = None
    ) -> None:
        """Start to write a head; the previous write must have ended."""
        self.pending_head, self._ttl_s, self._upload = head, ttl_s, upload
        self._value = self._codec.encode(head)
        self.may_be_written = False

    def next_request(self, now: float) -> KvRequest | None:
        """Return the request that writes the next part or the head."""
        if self.pending_head is None:
            return None
        if self._upload is not None and not self._upload.is_done:
            return self._upload.next_request(now)
        request_id = self.ids.next_id()
        return KvSwap(
            request_id, self._key, self.revision, self._value, ttl_s=self._ttl_s
        )

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Process the reply to the write of a part or the head."""
        if self._upload is not None and not self._upload.is_done:
            self._upload.process_reply(request, reply, sent_at, now)
            return
        match reply:
            case KvSwapped(revision=revision):
                self._on_written(revision)
            case KvConflict(value=value, revision=revision) if value == self._value:
                self._on_written(revision)
            case KvConflict():
                self.has_conflict = True
                self.pending_head = None
            case KvUnavailable():
                pass
            case _:
                self.may_be_written = True

    def due_at(self) -> float | None:
        """Return 0 while a write is pending, otherwise None."""
        return None if self.pending_head is None else 0.0

    def is_certainly_unwritten(self) -> bool:
        """Return whether the pending head was not and will not be written."""
        is_out = (
            isinstance(self.in_flight_request, KvSwap)
            and self.in_flight_request.key == self._key
        )
        return not self.may_be_written and not is_out

    def _on_written(self, revision: int) -> None:
        self.head, self.revision, self.pending_head = self.pending_head, revision, None
