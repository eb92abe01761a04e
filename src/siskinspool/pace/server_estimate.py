"""What one sender knows about the speed and load of one server.

`ServerEstimate` receives the sends to a server and their results, and estimates the
time until the first event of a further request. All times are monotonic seconds.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import attrs

from .load import FleetLoad, Load, LoadEstimate, LoadFigure
from .pace_limit import PaceLimit, PaceStart
from .speed import (
    EVENT_GAP_S,
    PREFILL_TOKENS_PER_S,
    SHORT_CALL_S,
    FleetSpeed,
    SpeedEstimate,
    WorkKind,
)
from .spell import SpellEstimate

# Time that each running request adds until a first event, over all steps.
RUNNING_COST_S: Final = 0.004
# Estimated delay for each waiting request at a full server.
WAITING_COST_S: Final = 0.05
# Time until a first event apart from queue and prompt: the network and one step.
BASE_S: Final = 0.005
# With more waiting requests than this, a first event shows the queue, not the speed.
MAX_WAITING_TO_MEASURE: Final = 0.5
# A server that is slower than usual by this is in a spell.
SLOW_SPELL_RATIO: Final = 1.5
# Assumed time of a request in flight before any was answered.
FIRST_IN_FLIGHT_S: Final = 1.0
MIN_IN_FLIGHT_S: Final = 0.001
NEWEST_IN_FLIGHT_WEIGHT: Final = 0.1
# An answer that takes longer than expected by this shows a queue. A spell alone makes
# it 2.5 times longer.
QUEUED_RATIO: Final = 3.0
MIN_QUEUED_S: Final = 0.1
# A stream with fewer events gives no reliable time between events.
MIN_EVENTS_TO_MEASURE: Final = 8


@attrs.frozen(kw_only=True)
class Work:
    """What a request asks of a server."""

    # Prompt tokens to process; 0 for a short call.
    prefill_tokens: int
    # Other senders cannot have had these tokens processed at the server before.
    is_exact: bool = False
    # A call to a plain service, which has no prompt and no events.
    is_short_call: bool = False


class SendResult(Enum):
    """What the end of a send says about the server."""

    # The whole answer arrived, and the server reports no failure.
    ANSWERED = "answered"
    # The server rejected or failed the request, or could not be reached.
    FAILED = "failed"
    # Nothing: for example, the requester disconnected.
    OTHER = "other"


@attrs.frozen(kw_only=True)
class SendEnd:
    """The end of one send."""

    result: SendResult
    # Events of the answer; 0 if it is not a stream.
    events: int = 0
    figure: LoadFigure | None = None


@attrs.define
class FleetEstimate:
    """What is known about all servers of a service."""

    speed: FleetSpeed = attrs.field(factory=FleetSpeed)
    load: FleetLoad = attrs.field(factory=FleetLoad)
    # Senders that share the servers, this one included.
    senders: int = 1
    # Mean time from send to end of the answered requests.
    in_flight_s: float = FIRST_IN_FLIGHT_S

    def record_in_flight(self, took_s: float) -> None:
        """Record the time from the send to the end of an answered request."""
        newest = max(took_s, MIN_IN_FLIGHT_S)
        self.in_flight_s += NEWEST_IN_FLIGHT_WEIGHT * (newest - self.in_flight_s)


@attrs.define
class _Sent:
    """A request in flight."""

    work: Work
    sent_at: float
    # Time to the first event at a server of the usual speed; None if there was a queue
    # or another prompt to process first.
    nominal_s: float | None
    # Expected time to the first event, or of a short call.
    expected_s: float
    first_event_at: float | None = None
    # The answer has stated a load already.
    has_figure: bool = False


@attrs.define
class ServerEstimate:
    """Speed and load of one server since its start."""

    fleet: FleetEstimate
    speed: SpeedEstimate
    load: LoadEstimate
    spell: SpellEstimate = attrs.field(factory=SpellEstimate)
    pace: PaceLimit = attrs.field(factory=PaceLimit)
    # From 0 to 1; spreads the first requests of the senders to a started server.
    phase: float = 0.0
    _sent_by_request: dict[str, _Sent] = attrs.field(factory=dict)

    @classmethod
    def of_fleet(cls, fleet: FleetEstimate, phase: float = 0.0) -> ServerEstimate:
        """Return the estimate of a server that has just been seen."""
        speed, load = SpeedEstimate(fleet.speed), LoadEstimate(fleet.load)
        return cls(fleet, speed, load, phase=phase)

    @property
    def in_flight(self) -> int:
        """The number of own requests in flight."""
        return len(self._sent_by_request)

    @property
    def relative_speed(self) -> float:
        """The lasting speed, relative to the mean server of the service."""
        return 1.0 / self.speed.slowdown

    def expected_first_event_s(self, work: Work, slots: int, now: float) -> float:
        """Return the expected time until the first event of a further request."""
        nominal_s = self._nominal_s(work, self.current_load(slots, now), slots)
        # Prompts that this sender has sent are processed before.
        pending_s = self._pending_tokens() / PREFILL_TOKENS_PER_S
        nominal_s += 0.0 if work.is_short_call else pending_s
        return nominal_s * self.speed.time_ratio(_kind(work)) * self.spell.ratio(now)

    def is_good(self, slots: int, now: float) -> bool:
        """Return whether the server has a free slot and is not in a slow spell."""
        load = self.current_load(slots, now)
        has_free_slot = load.waiting < 1.0 and load.running < slots
        return has_free_slot and self.spell.ratio(now) < SLOW_SPELL_RATIO

    def current_load(self, slots: int, now: float) -> Load:
        """Return the estimated load of the server."""
        return self.load.current(slots, self.in_flight, now)

    def begin_pace(self, slots: int, cold_s: float, now: float) -> None:
        """Limit the requests in flight: the server has just started or recovered."""
        start = PaceStart(
            share=slots / max(self.fleet.senders, 1),
            phase=self.phase,
            in_flight_s=self.fleet.in_flight_s,
            cold_s=cold_s,
        )
        self.pace.begin(start, now)
        self.load.begin_change(now)

    def may_send(self, now: float) -> bool:
        """Return whether the limit allows a further request."""
        return self.pace.may_send(self.in_flight, now)

    def record_sent(self, request_id: str, work: Work, slots: int, now: float) -> None:
        """Record that a request is sent."""
        load = self.current_load(slots, now)
        nominal_s = (
            self._nominal_s(work, load, slots)
            if not self._pending_tokens()
            and load.waiting <= MAX_WAITING_TO_MEASURE
            and load.running < slots
            else None
        )
        expected_s = self.expected_first_event_s(work, slots, now)
        self._sent_by_request[request_id] = _Sent(work, now, nominal_s, expected_s)
        self.load.record_sent()
        self.pace.record_sent(now)

    def record_first_event(
        self, request_id: str, figure: LoadFigure | None, now: float
    ) -> None:
        """Record the first event of a stream, with the load in the answer's head."""
        sent = self._sent_by_request.get(request_id)
        if figure is not None:
            self.record_figure(figure, now)
        if sent is None or sent.first_event_at is not None:
            return
        sent.first_event_at = now
        sent.has_figure = figure is not None
        self._record_queue(sent, figure, now)
        if sent.nominal_s is not None and sent.work.is_exact:
            took_s = now - sent.sent_at
            spell = self.spell.ratio(now)
            self.speed.record(WorkKind.PREFILL, took_s, sent.nominal_s, spell)

    def record_end(self, request_id: str, end: SendEnd, now: float) -> None:
        """Record the end of a send; only whole answers say anything about the speed."""
        sent = self._sent_by_request.pop(request_id, None)
        if sent is None:
            # It was sent to an earlier start of the server.
            return
        self.load.record_ended()
        # A stream states its load as it begins, which is long ago at its end.
        if end.figure is not None and not sent.has_figure:
            self.record_figure(end.figure, now)
        if end.result is SendResult.FAILED:
            self.pace.record_bad_sign(now)
        if end.result is SendResult.ANSWERED:
            self.fleet.record_in_flight(now - sent.sent_at)
            self._record_times(sent, end.events, now)
            if sent.work.is_short_call:
                self._record_queue(sent, end.figure, now)

    def record_figure(self, figure: LoadFigure, now: float) -> None:
        """Record a load that the server states."""
        if figure.slowdown is not None:
            self.spell.record(figure.slowdown, now)
        self.load.record_figure(figure, now)

    def forget(self, request_id: str) -> None:
        """Drop a request that was not sent after all."""
        if self._sent_by_request.pop(request_id, None) is not None:
            self.load.record_ended()

    def _record_queue(self, sent: _Sent, figure: LoadFigure | None, now: float) -> None:
        """Record whether an answer shows a queue at the server."""
        has_queue = figure is not None and figure.waiting > 0
        limit_s = max(sent.expected_s * QUEUED_RATIO, MIN_QUEUED_S)
        if has_queue or now - sent.sent_at > limit_s:
            self.pace.record_bad_sign(now)
        else:
            self.pace.record_clear_answer(now)

    def _pending_tokens(self) -> int:
        return sum(
            sent.work.prefill_tokens
            for sent in self._sent_by_request.values()
            if sent.first_event_at is None
        )

    def _record_times(self, sent: _Sent, events: int, now: float) -> None:
        if sent.work.is_short_call and sent.nominal_s is not None:
            took_s = now - sent.sent_at
            spell = self.spell.ratio(now)
            self.speed.record(WorkKind.SHORT_CALL, took_s, sent.nominal_s, spell)
        elif sent.first_event_at is not None and events >= MIN_EVENTS_TO_MEASURE:
            gap_s = (now - sent.first_event_at) / (events - 1)
            self.speed.record(WorkKind.EVENT_GAP, gap_s, EVENT_GAP_S)

    def _nominal_s(self, work: Work, load: Load, slots: int) -> float:
        """Return the time to a first event at a server of the usual speed."""
        if work.is_short_call:
            # Below the number of slots, too, as the load is uncertain.
            ahead = load.running + load.waiting
            return BASE_S + SHORT_CALL_S * (1.0 + ahead / max(slots, 1))
        queue_s = load.running * RUNNING_COST_S + load.waiting * WAITING_COST_S
        if load.running >= slots:
            queue_s += WAITING_COST_S
        return BASE_S + queue_s + work.prefill_tokens / PREFILL_TOKENS_PER_S


def _kind(work: Work) -> WorkKind:
    return WorkKind.SHORT_CALL if work.is_short_call else WorkKind.PREFILL
