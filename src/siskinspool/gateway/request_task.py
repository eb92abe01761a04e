"""Runs one request from its admission to the end of its answer.

A `RequestTask` is a greenlet that owns the connections to servers. It requests tokens
from ``caps`` and a server from ``routing``, sends the request and forwards the answer
to a sink.

Retries: a request that no server ran may always be sent to another server. A request
that may have run is sent again only if the route allows it, and a stream is then
resumed after the last event that the requester has. 429 and 503 are answered only if no
server can have run the request; otherwise the answer is 502 or 504.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs
import gevent

from ..core.errors import ErrorCode
from ..core.message import Address, Message, Outgoing
from ..core.outcome import Refusal
from ..duties.usage_mark import UsageMark
from ..links.answer_sink import AnswerSink
from ..links.guarded_sink import GuardedSink
from ..links.server_link import Answer, Lost, NotSent, ServerRequest
from ..relay.relay_messages import RelayedSignal
from .answer_classification import NotRunAnswer, SentRequest, classify_answer
from .desired_state import RouteKind
from .event_stream import StreamPosition
from .messages import (
    CAPS_TASK,
    ROUTING_TASK,
    AnswerHeadReceived,
    AssignRefused,
    AssignServer,
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    RequestCancelled,
    ServerAssigned,
    SpendTokens,
    TokensGranted,
    TokensRefused,
)
from .prompt_outcome import PromptOutcome
from .request import AnswerHead, SendPlan
from .request_abort import AbortedError, QuarantinedError, StoppingError
from .request_context import GatewayRequest, RequestContext
from .request_log import RequestLog
from .request_refusals import (
    RETRY_AFTER_S,
    deadline_refusal,
    failure_refusal,
    internal_refusal,
    isolated_refusal,
    no_server_refusal,
    stopping_refusal,
)
from .request_time import RequestTime
from .stream_origin_finder import StreamOriginFinder

# Longest wait for the decision on tokens; the timeout for the owner is far shorter.
CAPS_TIMEOUT_S: Final = 0.5
# How long the answer of ``routing`` may take beyond the request's maximum wait.
ASSIGN_MARGIN_S: Final = 0.3
# A request with less time left than this is not sent.
MIN_SEND_S: Final = 0.02
# Rejections by servers that are allowed before the request is refused, beyond the
# route's limit on servers that run it.
MAX_REJECTIONS: Final = 3
SERVER_ERROR: Final = 500


@attrs.frozen
class _FailedSend:
    """The send returned no usable answer; a further send may succeed."""

    detail: str
    # No other server can be reached either.
    is_isolated: bool = False


class _AnswerDelivered:
    """The answer was passed to the sink, whole or cut short."""


class RequestTask:
    """Runs one request."""

    def __init__(
        self, request: GatewayRequest, context: RequestContext, sink: AnswerSink
    ) -> None:
        self.request = request
        self._context = context
        self._sink = GuardedSink(sink)
        self._log = RequestLog(request, context)
        self._prompt = PromptOutcome(request.head, context)
        self._usage = UsageMark(
            request.admission.team,
            context.dispatcher,
            context.clock,
            is_stream=request.admission.route.kind is RouteKind.STREAM,
            is_resumed=bool(request.head.last_event_id),
        )
        self._request_time = RequestTime.from_request(request)
        self._stream_position = StreamPosition.from_header(request.head.last_event_id)
        self._origin = StreamOriginFinder(request, context)
        # Servers that rejected the request, and servers at which it failed.
        self._rejecting_servers: set[str] = set()
        self._failed_servers: set[str] = set()
        self._send_count = 0
        # Number of sends that a server may have run.
        self._run_count = 0
        self._has_arrived = False
        # A server may have run the request.
        self._may_have_run = False
        # The instance is stopping, so a request that cannot have run is not sent.
        self._refuses_unsent = False
        # The answer that started the stream to the requester.
        self._stream_start: AnswerHead | None = None
        self._greenlet: gevent.Greenlet[..., None] | None = None

    def start(self, on_end: Callable[[], None]) -> None:
        """Start the greenlet; ``on_end`` is called when it ends."""

        def end(greenlet: gevent.Greenlet[..., None]) -> None:
            self._ensure_answer(greenlet.exception)
            on_end()

        self._greenlet = gevent.spawn(self._run)
        self._greenlet.rawlink(end)

    def cancel(self) -> None:
        """End the request because the requester has disconnected."""
        if self._greenlet is not None and not self._greenlet.dead:
            self._log.ended("cancelled", None)
            self._greenlet.kill(block=False)

    def _ensure_answer(self, error: BaseException | None) -> None:
        """Answer if the greenlet has ended without doing so; never blocks."""
        if error is None:
            # It has answered, or the requester has gone.
            return
        if isinstance(error, AbortedError):
            # It was ended before it had run.
            refusal = error.refusal(may_have_run=self._may_have_run)
        else:
            refusal = internal_refusal(error, may_have_run=self._may_have_run)
        if self._sink.end_with(refusal):
            self._log.ended(refusal.code, None, refusal)

    def refuse_unsent(self) -> None:
        """Do not send the request unless a server may already have run it.

        The instance is stopping, and an answer to a late send would be cut off.
        """
        self._refuses_unsent = True
        if not self._may_have_run:
            self.end_now()

    def end_now(self) -> None:
        """Answer at once because the instance is stopping."""
        self._abort(StoppingError())

    def end_quarantined(self, part_ids: frozenset[str]) -> None:
        """Answer at once because these parts crash servers, unless it was served."""
        if not self._prompt.is_served and not self.request.is_probe:
            self._abort(QuarantinedError(part_ids))

    def _abort(self, reason: AbortedError) -> None:
        if self._greenlet is not None and not self._greenlet.dead:
            self._greenlet.kill(reason, block=False)

    # Running the request

    def _run(self) -> None:
        timer = gevent.Timeout.start_new(max(self._remaining_s(), 0.001))
        try:
            refusal = self._origin.find_taken_up() or self._spend_tokens()
            if refusal is None:
                refusal = self._run_attempts()
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            refusal = deadline_refusal("", may_have_run=self._may_have_run)
        except AbortedError as aborted:
            refusal = aborted.refusal(may_have_run=self._may_have_run)
        finally:
            timer.close()
        if refusal is not None:
            self._refuse(refusal)

    def _spend_tokens(self) -> Refusal | None:
        """Spend the request's tokens; return a refusal if the team has too few left."""
        admission = self.request.admission
        if not admission.team:
            return None
        spend = SpendTokens(admission.team, admission.tokens)
        answer = self._ask(CAPS_TASK, spend, CAPS_TIMEOUT_S)
        match answer:
            case TokensGranted(by):
                self._log.granted_by = by
                return None
            case TokensRefused(by, retry_after_s):
                return Refusal(
                    429,
                    ErrorCode.RATE_EXCEEDED,
                    f"tokens={admission.tokens} decided_by={by}",
                    retry_after_s=min(max(retry_after_s, 0.05), 60.0),
                )
        return Refusal(
            503,
            ErrorCode.STORE_UNAVAILABLE,
            "no decision on the team's cap",
            retry_after_s=RETRY_AFTER_S,
        )

    def _run_attempts(self) -> Refusal | None:
        """Send until an answer has been forwarded; return a refusal if none will be."""
        detail = ""
        while True:
            if self._refuses_unsent and not self._may_have_run:
                return stopping_refusal(may_have_run=False)
            if self._remaining_s() < MIN_SEND_S:
                return deadline_refusal(detail, may_have_run=self._may_have_run)
            assigned = self._request_server()
            if not isinstance(assigned, ServerAssigned):
                return no_server_refusal(
                    assigned, detail, may_have_run=self._may_have_run
                )
            outcome = self._send(assigned)
            if isinstance(outcome, _AnswerDelivered):
                return None
            detail = outcome.detail
            if outcome.is_isolated:
                return isolated_refusal(detail, may_have_run=self._may_have_run)
            limit = self.request.admission.route.max_attempts
            if self._run_count >= limit or self._send_count >= limit + MAX_REJECTIONS:
                return self._final_failure(detail)
            if self._may_have_run and not self._may_repeat():
                return self._final_failure(detail)
            if self._stream_start is not None and not self._origin.confirm():
                return self._final_failure(f"{detail}; its version is not known")

    def _request_server(self) -> ServerAssigned | AssignRefused | None:
        head, admission = self.request.head, self.request.admission
        now = self._now()
        max_wait_s = self._request_time.max_wait_s(now)
        call = AssignServer(
            request_id=head.request_id,
            service=admission.service,
            team=admission.team,
            model=head.model,
            adapter=head.adapter,
            parts=head.parts,
            tokens=head.tokens or 0,
            output_tokens=head.output_tokens,
            priority=admission.priority,
            excluded=frozenset(self._rejecting_servers),
            avoided=frozenset(self._failed_servers),
            repeat=self._has_arrived,
            max_wait_s=max_wait_s,
            software_version=self._origin.software_version,
            reach_s=self._request_time.reach_s(now),
            route=admission.route.name,
            timeout_s=admission.route.timeout_s,
            deadline_s=head.deadline_s,
        )
        has_answer = False
        try:
            answer = self._ask(ROUTING_TASK, call, max_wait_s + ASSIGN_MARGIN_S)
            has_answer = True
        finally:
            if not has_answer:
                self._notify_routing(RequestCancelled(head.request_id))
        if isinstance(answer, ServerAssigned | AssignRefused):
            return answer
        self._notify_routing(RequestCancelled(head.request_id))
        return None

    # A single send

    def _send(self, assigned: ServerAssigned) -> _AnswerDelivered | _FailedSend:
        """Send to one server and forward its answer."""
        self._send_count += 1
        self._run_count += 1
        self._prompt.start_send()
        self._usage.record_sent()
        may_have_run_before = self._may_have_run
        # From here on, if no answer arrives, it is unknown whether a server ran it.
        self._may_have_run = True
        result = AttemptResult.CANCELLED
        answer_head: AnswerHead | None = None
        answer: Answer | None = None
        try:
            call_result = self._open_call(assigned)
            if isinstance(call_result, NotSent):
                result = AttemptResult.NOT_SENT
                if call_result.is_isolated:
                    result = AttemptResult.ISOLATED
                self._usage.record_not_run()
                self._run_count -= 1
                self._may_have_run = may_have_run_before
                return self._report_failure(assigned, result, call_result.reason)
            self._has_arrived = True
            if isinstance(call_result, Lost):
                result = AttemptResult.LOST
                return self._report_lost(assigned, call_result)
            answer = call_result
            answer_head = self._context.codec.decode_answer(
                answer.status, answer.headers
            ).for_server(assigned.server_id)
            self._report_head(assigned, answer_head, answer.relay_id)
            rejection = classify_answer(answer_head, self._describe_sent(assigned))
            if isinstance(rejection, NotRunAnswer):
                # This server does not count toward the route's limit, which limits
                # the servers that run a request.
                self._usage.record_not_run()
                self._run_count -= 1
                self._may_have_run = may_have_run_before
            if rejection is not None:
                result = rejection.result
                return self._report_failure(assigned, result, rejection.detail)
            result, outcome = self._handle_answer(assigned, answer, answer_head)
            return outcome
        except Exception:
            # The server's answer may have caused the error, so it must not look like
            # one that has nothing to do.
            result = AttemptResult.FAILED
            raise
        finally:
            if answer is not None:
                answer.close()
            self._record_server_result(assigned.server_id, result, answer_head)
            self._notify_routing(self._attempt_ended(assigned, result, answer_head))

    def _open_call(self, assigned: ServerAssigned) -> Answer | NotSent | Lost:
        head, admission = self.request.head, self.request.admission
        remaining_s = self._remaining_s()
        last_id = self._stream_position.last_id
        plan = SendPlan(
            server_id=assigned.server_id,
            remaining_s=remaining_s,
            priority=admission.priority,
            team=admission.team,
            last_event_id="" if last_id is None else str(last_id),
            keeps_authorization=admission.keeps_authorization,
        )
        request = ServerRequest(
            host=assigned.host,
            port=assigned.port,
            method=head.method,
            uri=head.target,
            headers=self._context.codec.server_headers(head, plan),
            body=self.request.body,
            host_header=head.headers.get("host"),
            start=assigned.start,
        )
        return self._context.link.open_call(request, remaining_s)

    def _report_head(
        self, assigned: ServerAssigned, head: AnswerHead, relay_id: str
    ) -> None:
        """Report what an answer's head states about its server as it arrives.

        The server means the gateway that is connected to it, which may be a relay.
        """
        stated = head.observation(assigned.start, self._now())
        if stated is not None:
            request_id = self.request.head.request_id
            received = AnswerHeadReceived(request_id, stated, head.max_rejections_per_s)
            self._notify_routing(received)
        if stated is not None and relay_id and head.has_signal:
            self._notify_relay(relay_id, assigned, head)

    def _notify_relay(
        self, relay_id: str, assigned: ServerAssigned, head: AnswerHead
    ) -> None:
        signal = RelayedSignal(
            assigned.server_id,
            assigned.born_ms,
            assigned.start.boot_id,
            head.is_leaving,
            head.retry_after_s,
        )
        dispatcher = self._context.dispatcher
        sender = Address(dispatcher.instance_id, "request")
        dispatcher.send(sender, Outgoing(Address(relay_id, ROUTING_TASK), signal))

    def _attempt_ended(
        self, assigned: ServerAssigned, result: AttemptResult, head: AnswerHead | None
    ) -> AttemptEnded:
        return AttemptEnded(
            request_id=self.request.head.request_id,
            server_id=assigned.server_id,
            result=result,
            load=None if head is None else head.load,
            is_leaving=head is not None and head.is_leaving,
            retry_after_s=None if head is None else head.retry_after_s,
            max_rejections_per_s=None if head is None else head.max_rejections_per_s,
            event_count=self._prompt.event_count,
        )

    def _describe_sent(self, assigned: ServerAssigned) -> SentRequest:
        return SentRequest(
            request_id=self.request.head.request_id,
            server_id=assigned.server_id,
            is_idempotent=self.request.admission.route.is_idempotent,
            stream_start=self._stream_start,
        )

    def _handle_answer(
        self, assigned: ServerAssigned, answer: Answer, answer_head: AnswerHead
    ) -> tuple[AttemptResult, _AnswerDelivered | _FailedSend]:
        """Forward an answer, or drop it if another server may give a better one."""
        if answer_head.status >= SERVER_ERROR and self._may_repeat():
            # If no other server can be tried, this answer is forwarded.
            result = AttemptResult.FAILED
            failure = self._report_failure(assigned, result, f"{answer_head.status}")
            if self._can_try_another():
                return result, failure
        if (
            self.request.admission.route.kind is RouteKind.STREAM
            and answer_head.is_event_stream
        ):
            return self._forward_stream(assigned, answer, answer_head)
        return self._forward_whole(assigned, answer, answer_head)

    def _forward_whole(
        self, assigned: ServerAssigned, answer: Answer, answer_head: AnswerHead
    ) -> tuple[AttemptResult, _AnswerDelivered | _FailedSend]:
        body = answer.read_all()
        if isinstance(body, Lost):
            return AttemptResult.LOST, self._report_lost(assigned, body)
        self._prompt.record_served()
        self._log.first_byte_at = self._now()
        headers = self._context.codec.answer_headers(answer.headers)
        self._sink.send_whole(answer.status, headers, body)
        failed = answer_head.status >= SERVER_ERROR
        self._log.ended("server_error" if failed else "ok", assigned.server_id)
        return (
            AttemptResult.FAILED if failed else AttemptResult.ANSWERED
        ), _AnswerDelivered()

    def _forward_stream(
        self, assigned: ServerAssigned, answer: Answer, answer_head: AnswerHead
    ) -> tuple[AttemptResult, _AnswerDelivered | _FailedSend]:
        for event in answer.events():
            if isinstance(event, Lost):
                return AttemptResult.LOST, self._report_lost(assigned, event)
            self._prompt.record_event()
            if self._stream_position.has_gap_before(event):
                result = AttemptResult.LOST
                return result, self._report_failure(assigned, result, "a gap in ids")
            if self._stream_position.accepts(event):
                self._begin_stream(assigned, answer, answer_head)
                self._usage.record_event()
                self._sink.send_event(event)
        self._prompt.record_served()
        self._begin_stream(assigned, answer, answer_head)
        self._sink.end()
        self._log.ended("ok", assigned.server_id)
        return AttemptResult.ANSWERED, _AnswerDelivered()

    def _begin_stream(
        self, assigned: ServerAssigned, answer: Answer, answer_head: AnswerHead
    ) -> None:
        if self._log.first_byte_at is None:
            self._log.first_byte_at = self._now()
            received = FirstEventReceived(
                self.request.head.request_id, assigned.server_id, answer_head.load
            )
            self._notify_routing(received)
        if self._stream_start is None:
            self._origin.begin(assigned)
            # A stream resumed at another server keeps the headers of the first one.
            self._stream_start = answer_head
            headers = self._context.codec.answer_headers(answer.headers)
            self._sink.begin(answer.status, headers)

    # Retries after failures

    def _may_repeat(self) -> bool:
        route = self.request.admission.route
        if not route.is_idempotent or self.request.is_probe:
            return False
        return self._stream_start is None or self._stream_position.last_id is not None

    def _can_try_another(self) -> bool:
        route = self.request.admission.route
        return (
            self._run_count < route.max_attempts
            and self._remaining_s() > route.target_latency_s / 2
        )

    def _record_server_result(
        self, server_id: str, result: AttemptResult, head: AnswerHead | None
    ) -> None:
        match result:
            case AttemptResult.REJECTED if head is not None and head.has_signal:
                # The signal already keeps it from being chosen, and after a pause it
                # may take this request.
                pass
            case (
                AttemptResult.REJECTED
                | AttemptResult.MODEL_MISSING
                | AttemptResult.WRONG_SERVER
            ):
                self._rejecting_servers.add(server_id)
            case AttemptResult.FAILED | AttemptResult.LOST:
                self._failed_servers.add(server_id)

    def _report_failure(
        self, assigned: ServerAssigned, result: AttemptResult, detail: str
    ) -> _FailedSend:
        self._log.send_failed(
            assigned.server_id,
            result,
            detail,
            event_count=self._prompt.event_count,
            may_have_run=self._may_have_run,
        )
        return _FailedSend(detail, is_isolated=result is AttemptResult.ISOLATED)

    def _report_lost(self, assigned: ServerAssigned, lost: Lost) -> _FailedSend:
        self._prompt.record_lost(assigned, lost)
        return self._report_failure(assigned, AttemptResult.LOST, lost.reason)

    def _final_failure(self, detail: str) -> Refusal:
        in_time = self._remaining_s() >= MIN_SEND_S
        return failure_refusal(detail, may_have_run=self._may_have_run, in_time=in_time)

    def _refuse(self, refusal: Refusal) -> None:
        self._log.ended(refusal.code, None, refusal)
        self._sink.refuse(refusal)

    # Helpers

    def _now(self) -> float:
        return self._context.clock.now()

    def _remaining_s(self) -> float:
        return self._request_time.remaining_s(self._now())

    def _ask(self, task: str, message: Message, timeout_s: float) -> Message | None:
        dispatcher = self._context.dispatcher
        return dispatcher.ask(dispatcher.address(task), message, timeout_s)

    def _notify_routing(self, message: Message) -> None:
        dispatcher = self._context.dispatcher
        sender = Address(dispatcher.instance_id, "request")
        dispatcher.send(sender, Outgoing(dispatcher.address(ROUTING_TASK), message))
