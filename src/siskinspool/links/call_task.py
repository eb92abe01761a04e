"""Runs one call from admission to the end of its answer.

A `CallTask` is a greenlet that owns the connection to the server. It queries the local
tasks ``claims`` (calls with an idempotency key), ``limits`` (tokens) and ``routing`` (a
server) in this order, sends the request, and forwards the answer to an `AnswerSink`.
The sink belongs to the caller's connection or, for a patient request, to the runner.

Whether a call is retried depends on whether a byte of the request may have been sent
and whether the call is idempotent. After `NotSent` any call may try another server;
after `Lost` only an idempotent call of which the caller has received nothing yet.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Final

import attrs
import gevent

from ..contracts.call import Call
from ..contracts.claim_messages import (
    ClaimCall,
    ClaimGranted,
    ClaimMismatch,
    ClaimReplayed,
    ClaimUnknown,
    FinishClaim,
    ReleaseClaim,
)
from ..contracts.retry_budget import RetryBudget
from ..contracts.share_messages import (
    SettleTokens,
    SpendGranted,
    SpendRefused,
    SpendTokens,
)
from ..contracts.trace_context import TRACEPARENT, trace_headers, trace_id
from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.errors import ErrorCode
from ..core.message import Address, Message, Outgoing
from ..core.outcome import Refusal, RunState
from ..machines.routing_messages import (
    CallAnswered,
    CallCancelled,
    CallDispatched,
    CallEnded,
    CallRefused,
    CallResult,
    RouteCall,
)
from ..relay.relay_messages import RelayedSignal
from ..server_signals.headers import (
    UNAVAILABLE_STATUS,
    stated_pause_s,
    states_leaving,
)
from ..server_signals.observations import AnswerStarted, observation
from ..telemetry.logs import log_event
from ..telemetry.messages import CallMeasured
from .answer_sink import (
    PROBLEM_CONTENT_TYPE,
    AnswerSink,
    answer_headers,
    problem_body,
)
from .call_outcome import (
    STATUS_BY_CODE,
    failed_call_refusal,
    incomplete_answer_refusal,
    parse_reported_tokens,
    spend_refusal_detail,
)
from .guarded_sink import GuardedSink
from .prefix import prefix_hashes
from .server_link import Answer, Lost, NotSent, ServerLink, ServerRequest

logger = logging.getLogger(__name__)

# How long a call waits for a larger quota share before it is refused.
SHARE_WAIT_S: Final = 0.15
# How long to wait for a reply beyond the deadline sent with the question.
ASK_MARGIN_S: Final = 0.25
RECORD_TIMEOUT_S: Final = 5.0
STREAM_IDLE_TIMEOUT_S: Final = 30.0
MAX_ATTEMPTS: Final = 3
STREAM_END: Final = b"data: [DONE]"


@attrs.frozen(kw_only=True)
class CallContext:
    """Objects shared by all calls of an instance."""

    dispatcher: Dispatcher
    clock: Clock
    link: ServerLink
    retry_budget: RetryBudget

    def address(self, task: str) -> Address:
        """Return the address of a local task."""
        return self.dispatcher.address(task)


@attrs.frozen
class _ForwardedAnswer:
    """The answer was forwarded to the sink; ``is_complete`` is False if it is cut."""

    is_complete: bool
    used_tokens: int | None


class CallTask:
    """Runs one call."""

    def __init__(self, call: Call, context: CallContext, sink: AnswerSink) -> None:
        self.call = call
        self._headers = trace_headers(call.headers, call.id)
        self._context = context
        self._sink = GuardedSink(sink)
        self._excluded_server_ids: set[str] = set()
        self._is_sent = False
        # The answer to a sent attempt was lost; a later attempt may be refused.
        self._may_have_run = False
        self._first_byte_at: float | None = None
        self._attempts = 0
        self._greenlet: gevent.Greenlet[..., None] | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)
        self._greenlet.rawlink(self._ensure_answer)

    def on_end(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the greenlet has ended."""
        if self._greenlet is not None:
            self._greenlet.rawlink(lambda _: callback())

    def cancel(self) -> None:
        """End the call, unless a non-idempotent request was sent.

        Such a request continues without its caller, so that its result is recorded.
        """
        can_end = self.call.is_idempotent or not self._is_sent
        if self._greenlet is not None and can_end:
            self._greenlet.kill(block=False)

    def abandon(self) -> None:
        """Cancel the call after its caller disconnected, and release its handler."""
        self.cancel()
        self._sink.close()

    def revoke(self, refusal: Refusal) -> None:
        """End the call with a refusal because its key is no longer valid (R4)."""
        run = self._run_state()
        self.cancel()
        self._sink.cut_short(replace(refusal, run=run))

    def _ensure_answer(self, greenlet: gevent.Greenlet[..., None]) -> None:
        """Answer if the greenlet has ended without doing so; never blocks."""
        error = greenlet.exception
        # Without an error it has answered, or the caller has gone.
        if error is not None and self._sink.end_with(self._internal_refusal(error)):
            self._log(ErrorCode.INTERNAL, self._context.clock.now())

    def _internal_refusal(self, error: BaseException) -> Refusal:
        name = type(error).__name__
        return Refusal(500, ErrorCode.INTERNAL, name, self._run_state())

    def _run_state(self) -> RunState:
        """Return the run state for a call that ends now without an answer."""
        may_have_run = self._is_sent or self._may_have_run
        return RunState.UNKNOWN if may_have_run else RunState.NOT_RUN

    def join(self, timeout_s: float | None = None) -> None:
        """Wait for the end of the call."""
        if self._greenlet is not None:
            self._greenlet.join(timeout_s)

    def _run(self) -> None:
        started_at = self._context.clock.now()
        refusal: Refusal | None = None
        outcome = "cancelled"
        try:
            refusal = self._claim_and_run()
            outcome = refusal.code if refusal else "ok"
        except Exception as error:
            logger.debug("call failed", exc_info=True)
            refusal = self._internal_refusal(error)
            outcome = refusal.code
        finally:
            self._log(outcome, started_at)
        if refusal is not None and refusal.code is not ErrorCode.ANSWER_INCOMPLETE:
            self._sink.refuse(refusal)

    def _log(self, outcome: str, started_at: float) -> None:
        now = self._context.clock.now()
        first = self._first_byte_at
        log_event(
            logger,
            logging.INFO,
            "call",
            request=self.call.id,
            trace=trace_id(self._headers[TRACEPARENT]),
            team=self.call.team,
            route=self.call.route.id if self.call.route else self.call.uri,
            model=self.call.model,
            target=self.call.target,
            request_class=self.call.request_class,
            outcome=outcome,
            attempts=self._attempts,
            first_byte_s=None if first is None else first - started_at,
            duration_s=now - started_at,
        )
        self._notify(
            "telemetry",
            CallMeasured(
                team=self.call.team,
                request_class=self.call.request_class,
                outcome=str(outcome),
                duration_s=now - started_at,
                first_byte_s=None if first is None else first - started_at,
            ),
        )

    def _remaining_s(self) -> float:
        return max(0.0, self.call.deadline_at - self._context.clock.now())

    def _ask(self, task: str, message: Message, timeout_s: float) -> Message | None:
        context = self._context
        return context.dispatcher.ask(context.address(task), message, timeout_s)

    def _notify(self, task: str, message: Message) -> None:
        self._send_to(self._context.address(task), message)

    def _send_to(self, recipient: Address, message: Message) -> None:
        sender = self._context.address(f"call:{self.call.id}")
        self._context.dispatcher.send(sender, Outgoing(recipient, message))

    def _claim_and_run(self) -> Refusal | None:
        if not self.call.idempotency_key:
            return self._spend_and_run(None)
        token = self.call.id
        answer = self._claim(token)
        match answer:
            case ClaimGranted():
                return self._run_claimed(token)
            case ClaimReplayed(status=status, content_type=content_type, body=body):
                headers = {"content-type": content_type, "idempotency-replayed": "true"}
                self._sink.send_whole(status, headers, body)
                return None
            case ClaimMismatch():
                return Refusal(
                    422,
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another request",
                )
            case ClaimUnknown():
                return Refusal(
                    409,
                    ErrorCode.OUTCOME_UNKNOWN,
                    "an earlier request with this key may have run",
                    RunState.UNKNOWN,
                )
            case _:
                return Refusal(
                    503,
                    ErrorCode.IDEMPOTENCY_UNAVAILABLE,
                    "the idempotency key could not be recorded",
                    retry_after_s=1.0,
                )

    def _claim(self, token: str) -> Message | None:
        answer: Message | None = None
        try:
            answer = self._ask(
                "claims",
                ClaimCall(
                    scope=self.call.team,
                    key_digest=self.call.idempotency_key_digest,
                    body_digest=self.call.body_digest,
                    token=token,
                    deadline_in_s=self._remaining_s(),
                ),
                self._remaining_s() + ASK_MARGIN_S,
            )
        finally:
            if answer is None:
                # The caller disconnected or the reply timed out: this call is never
                # sent, and a claim granted later must not block the key.
                self._notify("claims", ReleaseClaim(token))
        return answer

    def _run_claimed(self, token: str) -> Refusal | None:
        refusal: Refusal | None = None
        try:
            refusal = self._spend_and_run(token)
            return refusal
        finally:
            if not self._is_sent:
                self._notify("claims", ReleaseClaim(token))
            elif refusal is not None and refusal.run is RunState.UNKNOWN:
                # Later requests with the key get the same "unknown" immediately.
                body = problem_body(refusal)
                self._record_claim_result(
                    FinishClaim(token, refusal.status, PROBLEM_CONTENT_TYPE, body)
                )

    def _spend_and_run(self, token: str | None) -> Refusal | None:
        if not self.call.team:
            return self._route_and_run(token)[0]
        answer = self._ask(
            "limits",
            SpendTokens(self.call.team, self.call.estimate_tokens, SHARE_WAIT_S),
            SHARE_WAIT_S + ASK_MARGIN_S,
        )
        if not isinstance(answer, SpendGranted):
            retry_after_s = (
                answer.retry_after_s if isinstance(answer, SpendRefused) else 1.0
            )
            return Refusal(
                429,
                ErrorCode.RATE_EXCEEDED,
                spend_refusal_detail(answer),
                retry_after_s=retry_after_s,
            )
        self._log_tokens("tokens_spent", self.call.estimate_tokens, answer.spent_at)
        used_tokens = 0
        try:
            refusal, used_tokens = self._route_and_run(token)
            return refusal
        finally:
            if (self._is_sent or self._may_have_run) and not used_tokens:
                used_tokens = self.call.estimate_tokens
            self._notify("limits", SettleTokens(answer.spend_id, used_tokens))
            if used_tokens != self.call.estimate_tokens:
                now = self._context.clock.now()
                self._log_tokens("tokens_settled", used_tokens, now)

    def _log_tokens(self, event: str, tokens: int, at: float) -> None:
        # Microseconds of the machine's monotonic clock, which is the same for all
        # instances on it, so that their spends can be merged into one trace (R5).
        log_event(
            logger,
            logging.INFO,
            event,
            request=self.call.id,
            team=self.call.team,
            tokens=tokens,
            at_us=int(at * 1e6),
        )

    def _route_and_run(self, token: str | None) -> tuple[Refusal | None, int]:
        """Try servers until one answers; return the refusal and the used tokens."""
        while True:
            self._attempts += 1
            dispatched = self._route()
            if isinstance(dispatched, Refusal):
                return self._combine_with_attempts(dispatched), 0
            result = self._send(dispatched, token)
            self._may_have_run |= isinstance(result, Lost)
            match result:
                case _ForwardedAnswer(is_complete=True, used_tokens=used_tokens):
                    return None, used_tokens or self.call.estimate_tokens
                case _ForwardedAnswer():
                    refusal = incomplete_answer_refusal()
                    self._sink.abort(refusal)
                    return refusal, self.call.estimate_tokens
                case NotSent() | Lost() if self._may_retry(result):
                    self._excluded_server_ids.add(dispatched.server_id)
                case _:
                    return self._combine_with_attempts(failed_call_refusal(result)), 0

    def _combine_with_attempts(self, refusal: Refusal) -> Refusal:
        """Return the refusal with a run state that covers all attempts (R9)."""
        if self._may_have_run and refusal.run is RunState.NOT_RUN:
            return replace(refusal, run=RunState.UNKNOWN)
        return refusal

    def _route(self) -> CallDispatched | Refusal:
        call = self.call
        answer: Message | None = None
        try:
            answer = self._ask(
                "routing",
                RouteCall(
                    call_id=call.id,
                    team=call.team,
                    target=call.target,
                    request_class=call.request_class,
                    deadline_in_s=self._remaining_s(),
                    prefix_hashes=prefix_hashes(call.body) if call.model else (),
                    idempotent=call.is_idempotent,
                    excluded_server_ids=frozenset(self._excluded_server_ids),
                ),
                self._remaining_s() + ASK_MARGIN_S,
            )
        finally:
            if not isinstance(answer, CallDispatched | CallRefused):
                self._notify("routing", CallCancelled(call.id))
        if isinstance(answer, CallDispatched):
            return answer
        if isinstance(answer, CallRefused):
            status = STATUS_BY_CODE.get(answer.code, 503)
            return Refusal(
                status, answer.code, answer.detail, retry_after_s=answer.retry_after_s
            )
        return Refusal(504, ErrorCode.DEADLINE_PASSED, "no server in time")

    def _may_retry(self, result: NotSent | Lost) -> bool:
        if self._attempts >= MAX_ATTEMPTS or self._remaining_s() <= 0:
            return False
        if isinstance(result, Lost) and not self.call.is_idempotent:
            return False
        return self._context.retry_budget.try_retry(
            self.call.target, self._context.clock.now()
        )

    def _send(
        self, dispatched: CallDispatched, token: str | None
    ) -> _ForwardedAnswer | NotSent | Lost:
        result = CallResult.CANCELLED
        headers = {**self._headers, "x-request-id": self.call.id}
        request = ServerRequest(
            host=dispatched.host,
            port=dispatched.port,
            method=self.call.method,
            uri=self.call.uri,
            headers=headers,
            body=self.call.body,
            start=dispatched.start,
        )
        self._context.retry_budget.count_request(
            self.call.target, self._context.clock.now()
        )
        try:
            self._is_sent = True
            answer = self._context.link.open_call(request, self._timeout_s())
            if isinstance(answer, NotSent):
                self._is_sent = False
                result = CallResult.FAILED_BEFORE_SEND
                return answer
            if isinstance(answer, Answer):
                self._report_head(dispatched, answer)
            forwarded = (
                answer
                if isinstance(answer, Lost)
                else self._forward_answer(answer, token)
            )
            is_complete = (
                isinstance(forwarded, _ForwardedAnswer) and forwarded.is_complete
            )
            result = CallResult.OK if is_complete else CallResult.FAILED
            return forwarded
        finally:
            self._notify("routing", CallEnded(self.call.id, result, None))

    def _report_head(self, dispatched: CallDispatched, answer: Answer) -> None:
        """Report whether the server states that it is leaving or wants a pause.

        The server means the instance that is connected to it, which may be a relay.
        """
        is_leaving = states_leaving(answer.headers)
        retry_after_s = stated_pause_s(answer.status, answer.headers)
        stated = observation(
            dispatched.start,
            self._context.clock.now(),
            is_leaving=is_leaving,
            retry_after_s=retry_after_s,
        )
        has_signal = not isinstance(stated, AnswerStarted)
        if has_signal or answer.status != UNAVAILABLE_STATUS:
            self._notify("routing", CallAnswered(stated))
        if has_signal and answer.relay_id:
            signal = RelayedSignal(
                dispatched.server_id,
                dispatched.start.born_ms,
                dispatched.boot_id,
                is_leaving,
                retry_after_s,
            )
            self._send_to(Address(answer.relay_id, "routing"), signal)

    def _timeout_s(self) -> float:
        if self.call.is_streamed:
            return max(STREAM_IDLE_TIMEOUT_S, self._remaining_s())
        return max(self._remaining_s(), 0.05)

    def _forward_answer(
        self, answer: Answer, token: str | None
    ) -> _ForwardedAnswer | Lost:
        try:
            answered_id = answer.headers.get("x-request-id", self.call.id)
            if answered_id != self.call.id:
                # The answer belongs to another request (R8).
                return Lost("the answer carries another request id")
            if self._is_transient(answer.status):
                return Lost(f"the server answers {answer.status}")
            content_type = answer.headers.get("content-type", "")
            if content_type.startswith("text/event-stream"):
                return self._forward_events(answer)
            return self._forward_whole(answer, token)
        finally:
            answer.close()

    def _is_transient(self, status: int) -> bool:
        """Return whether an idempotent call is worth retrying at another server.

        An engine answers 404 if it unloaded the model after the call was routed.
        """
        if not self.call.is_idempotent:
            return False
        return status in (502, 503) or (bool(self.call.model) and status == 404)

    def _forward_events(self, answer: Answer) -> _ForwardedAnswer | Lost:
        used_tokens: int | None = None
        is_complete = False
        for event in answer.events():
            if isinstance(event, Lost):
                break
            if self._first_byte_at is None:
                self._first_byte_at = self._context.clock.now()
                self._sink.begin(answer.status, answer_headers(answer.headers))
            if b'"usage"' in event:
                used_tokens = parse_reported_tokens(event) or used_tokens
            is_complete = is_complete or event.startswith(STREAM_END)
            self._sink.send_event(event)
        if self._first_byte_at is None:
            return Lost("the stream ended before its first event")
        if is_complete:
            self._sink.end()
        return _ForwardedAnswer(is_complete, used_tokens)

    def _forward_whole(
        self, answer: Answer, token: str | None
    ) -> _ForwardedAnswer | Lost:
        body = answer.read_all()
        if isinstance(body, Lost):
            return body
        self._first_byte_at = self._context.clock.now()
        if token is not None:
            content_type = answer.headers.get(
                "content-type", "application/octet-stream"
            )
            self._record_claim_result(
                FinishClaim(token, answer.status, content_type, body)
            )
        self._sink.send_whole(answer.status, answer_headers(answer.headers), body)
        return _ForwardedAnswer(
            True, parse_reported_tokens(body) if self.call.model else None
        )

    def _record_claim_result(self, finish: FinishClaim) -> None:
        if self._ask("claims", finish, RECORD_TIMEOUT_S) is None:
            log_event(
                logger,
                logging.WARNING,
                "claim_result_not_recorded",
                request=self.call.id,
            )
