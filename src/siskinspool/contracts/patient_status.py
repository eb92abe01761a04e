"""Reading of the state of a patient request, at any instance.

The head of the request is read from the key-value service. When its answer is fetched
for the first time, the head is rewritten with a short time to live.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address
from ..store.kv import KvGet, KvReply, KvRequest, KvSwap, KvValue
from .answer_parts import PartFetch
from .kv_client import IdGenerator, SequentialKvClient
from .patient_messages import PatientState, PatientStatus
from .patient_record import Head, HeadCodec

# How long an answer is stored after it was first fetched.
FETCHED_TTL_S: Final = 600.0


class PatientStatusReader(SequentialKvClient):
    """Answers one `GetPatientStatus`."""

    def __init__(
        self,
        key: str,
        team: str,
        reply_to: Address,
        deadline: float,
        codec: HeadCodec,
        ids: IdGenerator,
    ) -> None:
        super().__init__(ids)
        self.reply_to = reply_to
        self.deadline = deadline
        # Set as soon as the status is known.
        self.result: PatientStatus | None = None
        self.is_answered = False
        self.is_done = False
        self._key = key
        self._team = team
        self._codec = codec
        self._head: Head | None = None
        self._revision = 0
        self._fetch: PartFetch | None = None

    def next_request(self, now: float) -> KvRequest | None:
        """Return the read of the head or a part, or the write that marks the fetch."""
        if self.is_done:
            return None
        if self._head is None:
            return KvGet(self.ids.next_id(), self._key)
        if self._fetch is not None and self.result is None:
            return self._fetch.next_request(now)
        value = self._codec.encode(attrs.evolve(self._head, fetched=True))
        request_id = self.ids.next_id()
        return KvSwap(request_id, self._key, self._revision, value, ttl_s=FETCHED_TTL_S)

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Process the head, a part or the result of the write that marks the fetch."""
        if isinstance(request, KvSwap):
            # The write only affects the time to live, so it is not repeated.
            self.is_done = True
        elif self._fetch is not None and self._head is not None:
            self._fetch.process_reply(request, reply, sent_at, now)
            if self._fetch.is_missing:
                self._finish(PatientStatus(PatientState.UNAVAILABLE))
            elif self._fetch.is_done:
                self._set_answer(self._head, self._fetch.body)
        elif isinstance(reply, KvValue):
            self._process_head(reply)

    def due_at(self) -> float | None:
        """Return 0 until the reader is done, otherwise None."""
        return None if self.is_done else 0.0

    def _process_head(self, reply: KvValue) -> None:
        head = None if reply.value is None else self._codec.decode(reply.value)
        if head is None or head.request.team != self._team:
            self._finish(PatientStatus(PatientState.NOT_FOUND))
        elif not head.has_ended:
            self._finish(PatientStatus(head.state))
        else:
            self._head, self._revision = head, reply.revision
            if head.answer_parts:
                part_count = head.answer_parts
                self._fetch = PartFetch(head.answer_prefix, part_count, self.ids)
            else:
                self._set_answer(head, head.answer)

    def _set_answer(self, head: Head, body: bytes) -> None:
        self.result = PatientStatus(
            head.state, head.status, head.content_type, body, head.failure
        )
        self.is_done = head.fetched

    def _finish(self, result: PatientStatus) -> None:
        self.result, self.is_done = result, True
