"""Inquiry of a quota allocator about outages of the key-value service.

Outage mode requires reports from a majority of members. Therefore, if a majority that
is asked after some time reports when it last saw an outage, no outage before that time
can remain undetected.
"""

from __future__ import annotations

from collections.abc import Set
from typing import Final

import attrs

from ..core.message import Address, Outgoing
from .share_messages import OutageAnswer, OutageQuestion

OUTAGE_QUESTION_INTERVAL_S: Final = 1.0
# Younger instances cannot know whether an outage ended just before they started.
MIN_ANSWERER_UPTIME_S: Final = 30.0
_MAX_OPEN_QUESTIONS: Final = 10


@attrs.define
class OutageInquiry:
    """Questions and answers of the allocator of one partition."""

    _question_no: int = 0
    _asked_at: float | None = None
    _asked_at_by_no: dict[int, float] = attrs.field(factory=dict)
    # Send time of the latest question that an instance answered, and whether the
    # instance has been up for long enough to know of an outage.
    _answer_by_instance: dict[str, tuple[float, bool]] = attrs.field(factory=dict)

    def build_questions(
        self, partition: str, epoch: int, members: Set[str], now: float
    ) -> list[Outgoing]:
        """Return the questions to all members, at most once per interval."""
        if (
            self._asked_at is not None
            and now < self._asked_at + OUTAGE_QUESTION_INTERVAL_S
        ):
            return []
        self._asked_at = now
        self._question_no += 1
        self._asked_at_by_no[self._question_no] = now
        self._asked_at_by_no.pop(self._question_no - _MAX_OPEN_QUESTIONS, None)
        question = OutageQuestion(partition, epoch, self._question_no)
        return [
            Outgoing(Address(instance_id, "limits"), question)
            for instance_id in sorted(members)
        ]

    def record_answer(self, instance_id: str, answer: OutageAnswer) -> bool:
        """Record an answer; return False if its question is no longer stored."""
        asked_at = self._asked_at_by_no.get(answer.number)
        if asked_at is None:
            return False
        previous = self._answer_by_instance.get(instance_id)
        if previous is None or previous[0] < asked_at:
            is_reliable = answer.uptime_s >= MIN_ANSWERER_UPTIME_S
            self._answer_by_instance[instance_id] = (asked_at, is_reliable)
        return True

    def has_majority(self, members: Set[str], asked_from: float) -> bool:
        """Return whether a majority answered questions sent at or after a time."""
        answers = [
            is_reliable
            for instance_id, (asked_at, is_reliable) in self._answer_by_instance.items()
            if instance_id in members and asked_at >= asked_from
        ]
        return 2 * sum(answers) > len(members)
