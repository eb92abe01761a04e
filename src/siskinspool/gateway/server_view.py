"""A gateway's view of one server.

A `ServerView` combines the server's registry entry with this gateway's own
observations: its in-flight requests, the load in the last answer, failures, the prompt
parts it sent there, and models found present or missing before the entry showed it.
`cost_s` estimates the time to a first event, by which servers are compared.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final

import attrs

from ..pace.load import LoadFigure
from ..pace.sampling import Contender
from ..pace.server_estimate import (
    RUNNING_COST_S,
    WAITING_COST_S,
    SendEnd,
    SendResult,
    ServerEstimate,
    Work,
)
from ..pace.speed import PREFILL_TOKENS_PER_S
from ..server_signals.observations import ServerStart
from ..server_signals.server_signals import ServerSignals
from .demand import target_name
from .desired_state import ServiceSpec
from .messages import AssignServer, AttemptResult
from .request import PromptPart
from .run_durations import RunDurations
from .servers import ServerLoad, ServerRecord, ServerState
from .token_bucket import TokenBucket

# Cost of a server in another zone: the network delay and the price of the traffic.
OTHER_ZONE_COST_S: Final = 0.03
# Cost of a server other than the one that all gateways prefer for the first part of a
# prompt, so that among equal servers the preferred one gets the requests that share it.
NON_PREFERRED_COST_S: Final = 0.04
# Cost of each recent failure.
FAILURE_COST_S: Final = 0.5
# The count of recent failures decays by this per second.
FAILURE_DECAY_PER_S: Final = 0.25
# After a failure to connect, a server gets no request for this long; the pause doubles
# with each further failure.
MIN_PAUSE_S: Final = 0.5
MAX_PAUSE_S: Final = 4.0
# A server that rejected a request because it was full gets none for this long.
FULL_PAUSE_S: Final = 0.1
# The load stated in an answer is used for this long.
LOAD_TTL_S: Final = 1.5
# How long a model or adapter found present counts; by then the registry entry must have
# been updated.
OBSERVED_TARGET_TTL_S: Final = 3.0
# How much older an entry may be than its arrival: the time between two reads of the
# registry, plus the transfer.
MAX_ENTRY_LAG_S: Final = 1.5
# An unload waits for the running requests of its model, and the registry lists the
# model until then. Most of them end within this time; if one takes longer, another
# rejection shows it.
UNLOAD_TTL_S: Final = 4.0
# Share of a server's token capacity that is assumed to cache prompts.
CACHE_SHARE: Final = 0.6


class PromptCache:
    """Prompt parts that this gateway has sent to a server, per model and adapter."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens = 0
        self._tokens_by_key: OrderedDict[tuple[str, str], int] = OrderedDict()

    def missing_tokens(self, target: str, parts: tuple[PromptPart, ...]) -> int:
        """Return the number of prompt tokens that the server has to process."""
        for index, part in enumerate(parts):
            if (target, part.part_id) not in self._tokens_by_key:
                return sum(later.tokens for later in parts[index:])
        return 0

    def add(self, target: str, parts: tuple[PromptPart, ...]) -> None:
        """Record that a prompt was sent."""
        for part in parts:
            key = (target, part.part_id)
            self._tokens += part.tokens - self._tokens_by_key.pop(key, 0)
            self._tokens_by_key[key] = part.tokens
        while self._tokens > self._capacity and self._tokens_by_key:
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens

    def drop_model(self, model: str) -> None:
        """Drop the prompts of a model that the server no longer holds."""
        for key in list(self._tokens_by_key):
            if key[0].partition("/")[0] == model:
                self._tokens -= self._tokens_by_key.pop(key)


@attrs.define
class _InFlightRequest:
    """A request of this gateway that is in flight at the server."""

    model: str
    adapter: str
    # Prompt tokens still to be processed; 0 after the first event.
    unprocessed_tokens: int
    output_tokens: int
    # When it was sent, or when its first event arrived.
    since: float


@attrs.define(kw_only=True)
class ServerView:
    """The known state of one server; times are monotonic seconds."""

    record: ServerRecord
    # When the record arrived.
    record_at: float
    # The server is cold until then.
    cold_until: float
    # Requests that this gateway may send while the server is cold.
    cold_bucket: TokenBucket
    cache: PromptCache
    # Its speed and load, for the choice by expected time.
    estimate: ServerEstimate
    # This start of the server; a new start gets a new view.
    start: ServerStart
    signals: ServerSignals
    in_flight_by_request: dict[str, _InFlightRequest] = attrs.field(factory=dict)
    load: ServerLoad | None = None
    load_at: float = 0.0
    # Decaying count of recent failures.
    failures: float = 0.0
    failures_at: float = 0.0
    paused_until: float = 0.0
    _pause_s: float = MIN_PAUSE_S
    # Another server has the address.
    has_lost_address: bool = False
    # When models or adapters were found present or missing.
    held_at_by_target: dict[str, float] = attrs.field(factory=dict)
    missing_at_by_target: dict[str, float] = attrs.field(factory=dict)
    # Set if the registry entry was removed: the server is used until then, in case the
    # entry returns.
    drop_at: float | None = None

    @classmethod
    def from_record(
        cls,
        record: ServerRecord,
        service: ServiceSpec | None,
        cold_bucket: TokenBucket,
        estimate: ServerEstimate,
        signals: ServerSignals,
        now: float,
    ) -> ServerView:
        """Return a view of a server that has just been seen."""
        engine = None if service is None else service.engine
        capacity = 0 if engine is None else int(engine.token_capacity * CACHE_SHARE)
        return cls(
            record=record,
            record_at=now,
            cold_until=now + record.cold_s,
            cold_bucket=cold_bucket,
            cache=PromptCache(capacity),
            estimate=estimate,
            start=record.start,
            signals=signals,
        )

    def is_open(self, now: float) -> bool:
        """Return whether the server may get a request."""
        return (
            self._is_in_use(now)
            and now >= self.paused_until
            and self.signals.permission(self.start, now).allows_next
        )

    def opens_at(self, now: float) -> float:
        """Return when the server's pause ends; infinity if it is not in use.

        Failures to connect do not count: the server may be back at any time.
        """
        if not self._is_in_use(now):
            return math.inf
        return self.signals.opens_at(self.start, now)

    def _is_in_use(self, now: float) -> bool:
        return (
            self.record.state is ServerState.READY
            and not self.has_lost_address
            and (self.drop_at is None or now < self.drop_at)
        )

    def holds(self, model: str, adapter: str, now: float) -> bool:
        """Return whether the server holds a model and, if named, an adapter."""
        target = target_name(model, adapter)
        missing_at = max(
            self.missing_at_by_target.get(target, -math.inf),
            self.missing_at_by_target.get(model, -math.inf),
        )
        held_at = self.held_at_by_target.get(target, -math.inf)
        if missing_at > held_at and self.record_at < missing_at + UNLOAD_TTL_S:
            # The entry is from before or during the unload; in an outage of the store
            # it may stay outdated for long.
            return False
        if held_at > missing_at and now - held_at < OBSERVED_TARGET_TTL_S:
            return True
        held = self.record.holdings.model_by_name.get(model)
        return held is not None and (not adapter or adapter in held.adapters)

    def record_held(self, model: str, adapter: str, now: float) -> None:
        """Record that a model is present although the registry may not list it yet."""
        self.held_at_by_target[target_name(model, adapter)] = now

    def record_missing(self, model: str, adapter: str, now: float) -> None:
        """Record that a model is missing although the registry lists it."""
        self.missing_at_by_target[target_name(model, adapter)] = now
        self.cache.drop_model(model)

    def update_record(self, record: ServerRecord, now: float) -> None:
        """Update the registry entry.

        Once an entry no longer lists a missing model, later entries that list it are
        valid.
        """
        self.record = record
        self.record_at = now
        self.drop_at = None
        self.cold_until = max(self.cold_until, now + record.cold_s)
        for target, missing_at in list(self.missing_at_by_target.items()):
            model, _, adapter = target.partition("/")
            held = record.holdings.model_by_name.get(model)
            is_gone = held is None or (adapter and adapter not in held.adapters)
            if is_gone and now >= missing_at + MAX_ENTRY_LAG_S:
                del self.missing_at_by_target[target]

    def runs_by_target(self, durations: RunDurations, now: float) -> dict[str, float]:
        """Return the models and adapters of this gateway's requests at the server.

        Each comes with the seconds until the last of its requests is expected to end.
        """
        remaining_by_target: dict[str, float] = {}
        for request in self.in_flight_by_request.values():
            if request.model:
                target = target_name(request.model, request.adapter)
                remaining_s = durations.remaining_s(
                    request.model, request.output_tokens, now - request.since
                )
                known_s = remaining_by_target.get(target, 0.0)
                remaining_by_target[target] = max(known_s, remaining_s)
        return remaining_by_target

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self.cold_until

    def cost_s(self, call: AssignServer, own_zone: str, now: float) -> float:
        """Return the estimated time to the first event of a request."""
        running, waiting = self._load(now)
        cost = running * RUNNING_COST_S + waiting * WAITING_COST_S
        if running >= self.record.slots:
            cost += WAITING_COST_S
        if self.record.zone != own_zone:
            cost += OTHER_ZONE_COST_S
        if call.model:
            target = target_name(call.model, call.adapter)
            unprocessed_tokens = self.cache.missing_tokens(target, call.parts)
            unprocessed_tokens += sum(
                request.unprocessed_tokens
                for request in self.in_flight_by_request.values()
            )
            cost += unprocessed_tokens / PREFILL_TOKENS_PER_S
        return cost + self.current_failures(now) * FAILURE_COST_S

    def expected_first_event_s(
        self, call: AssignServer, own_zone: str, now: float
    ) -> float:
        """Return the time to the first event that the server's own answers suggest.

        Includes the costs of another zone and of recent failures.
        """
        slots = self.record.slots
        cost = self.estimate.expected_first_event_s(self._work(call), slots, now)
        if self.record.zone != own_zone:
            cost += OTHER_ZONE_COST_S
        return cost + self.current_failures(now) * FAILURE_COST_S

    def begin_pace(self, now: float) -> None:
        """Limit the requests in flight from now on; the server has just come up."""
        self.estimate.begin_pace(self.record.slots, self.record.cold_s, now)

    def contender(self, now: float) -> Contender:
        """Return the server as one of those that may be compared."""
        is_good = self.estimate.is_good(self.record.slots, now)
        return Contender(
            self.record.server_id,
            self.estimate.relative_speed,
            is_good and self.current_failures(now) < 1.0,
        )

    def _work(self, call: AssignServer) -> Work:
        if not call.model:
            return Work(prefill_tokens=0, is_short_call=True)
        target = target_name(call.model, call.adapter)
        tokens = self.cache.missing_tokens(target, call.parts)
        # Only the last part belongs to the request alone. Another gateway may have
        # sent the others, and the server then has them in its cache.
        last_tokens = call.parts[-1].tokens if call.parts else 0
        return Work(prefill_tokens=tokens, is_exact=0 < tokens <= last_tokens)

    def _load(self, now: float) -> tuple[int, int]:
        """Return the running and waiting requests as far as they are known."""
        own_count = len(self.in_flight_by_request)
        if self.load is None or now - self.load_at > LOAD_TTL_S:
            return min(own_count, self.record.slots), max(
                own_count - self.record.slots, 0
            )
        return max(
            self.load.running, min(own_count, self.record.slots)
        ), self.load.waiting

    def current_failures(self, now: float) -> float:
        """Return the recent failures, decayed to the present."""
        age_s = max(now - self.failures_at, 0.0)
        return max(self.failures - age_s * FAILURE_DECAY_PER_S, 0.0)

    def record_sent(self, call: AssignServer, now: float) -> None:
        """Record that a request is sent to the server."""
        work = self._work(call)
        self.estimate.record_sent(call.request_id, work, self.record.slots, now)
        self.signals.record_sent(self.start, now)
        target = target_name(call.model, call.adapter)
        unprocessed_tokens = self.cache.missing_tokens(target, call.parts)
        self.in_flight_by_request[call.request_id] = _InFlightRequest(
            call.model, call.adapter, unprocessed_tokens, call.output_tokens, now
        )
        self.cache.add(target, call.parts)

    def record_first_event(
        self, request_id: str, load: ServerLoad | None, now: float
    ) -> None:
        """Record the first event of a request: its prompt has been processed."""
        self.estimate.record_first_event(request_id, _figure(load), now)
        request = self.in_flight_by_request.get(request_id)
        if request is not None:
            request.unprocessed_tokens = 0
            request.since = now

    def forget_request(self, request_id: str) -> None:
        """Drop a request that was cancelled after its assignment: it was not sent."""
        self.in_flight_by_request.pop(request_id, None)
        self.estimate.forget(request_id)

    def record_run(self, request_id: str, durations: RunDurations, now: float) -> None:
        """Record the run time of a request whose whole answer has arrived."""
        request = self.in_flight_by_request.get(request_id)
        if request is not None and request.model:
            durations.record_run(
                request.model, request.output_tokens, now - request.since
            )

    def record_end(
        self,
        request_id: str,
        result: AttemptResult,
        load: ServerLoad | None,
        now: float,
        event_count: int = 0,
        *,
        has_signal: bool = False,
    ) -> None:
        """Record the end of a send, with the events of its answer.

        ``has_signal``: the server asked for no more.
        """
        end = SendEnd(
            result=_send_result(result),
            events=event_count,
            figure=_figure(load),
        )
        self.estimate.record_end(request_id, end, now)
        request = self.in_flight_by_request.pop(request_id, None)
        if load is not None:
            self.load = load
            self.load_at = now
        match result:
            case AttemptResult.ANSWERED:
                self._pause_s = MIN_PAUSE_S
            case AttemptResult.NOT_SENT:
                self._record_failure(now)
                self.paused_until = now + self._pause_s
                if self._pause_s > MIN_PAUSE_S:
                    # One failure to connect may be false; two in a row are an outage.
                    self.begin_pace(self.paused_until)
                self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
            case AttemptResult.FAILED | AttemptResult.LOST:
                self._record_failure(now)
            case AttemptResult.REJECTED if has_signal:
                # The signal is the reason: the server still holds the model.
                pass
            case AttemptResult.REJECTED if (
                request is not None and request.model and not self._is_full(load)
            ):
                # Rejected although the server is not full: the model is being unloaded.
                self.record_missing(request.model, request.adapter, now)
            case AttemptResult.REJECTED:
                self.paused_until = now + FULL_PAUSE_S
            case AttemptResult.WRONG_SERVER:
                self.has_lost_address = True
            case AttemptResult.MODEL_MISSING if request is not None:
                self.record_missing(request.model, request.adapter, now)

    @staticmethod
    def _is_full(load: ServerLoad | None) -> bool:
        return load is not None and load.running >= load.slots

    def _record_failure(self, now: float) -> None:
        self.failures = self.current_failures(now) + 1
        self.failures_at = now


def _figure(load: ServerLoad | None) -> LoadFigure | None:
    if load is None:
        return None
    return LoadFigure(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        slowdown=load.slowdown,
    )


def _send_result(result: AttemptResult) -> SendResult:
    match result:
        case AttemptResult.ANSWERED:
            return SendResult.ANSWERED
        case (
            AttemptResult.FAILED
            | AttemptResult.REJECTED
            | AttemptResult.NOT_SENT
            | AttemptResult.LOST
        ):
            return SendResult.FAILED
    return SendResult.OTHER
