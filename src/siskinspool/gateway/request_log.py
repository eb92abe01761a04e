"""Log lines and measurements of one request.

A failed send is logged with the ids of the prompt's parts and the number of events that
had arrived, so that the ends of a server can be compared: which requests ran there, and
what they had in common.
"""

from __future__ import annotations

import logging

import attrs

from ..core.outcome import Refusal
from ..telemetry.logs import log_event
from .gateway_metrics import RequestMeasurement
from .messages import AttemptResult
from .request_context import GatewayRequest, RequestContext

logger = logging.getLogger(__name__)


@attrs.define
class RequestLog:
    """Logs the failed sends and the end of one request."""

    request: GatewayRequest
    context: RequestContext
    # What granted the request's tokens: "owner", "local" or "uncapped".
    granted_by: str | None = None
    # When the first byte of the answer was passed on.
    first_byte_at: float | None = None

    def send_failed(
        self,
        server_id: str,
        result: AttemptResult,
        detail: str,
        *,
        event_count: int,
        may_have_run: bool,
    ) -> None:
        """Log a send that brought no usable answer, after this many whole events."""
        log_event(
            logger,
            logging.INFO,
            "send_failed",
            request=self.request.head.request_id,
            server=server_id,
            result=result,
            detail=detail,
            parts=",".join(part.part_id for part in self.request.head.parts),
            events=event_count,
            may_have_run=may_have_run,
            elapsed_s=self._elapsed_s(),
        )

    def ended(
        self, outcome: str, server_id: str | None, refusal: Refusal | None = None
    ) -> None:
        """Log and measure the end of the request."""
        head, admission = self.request.head, self.request.admission
        total_s = self._elapsed_s()
        first_byte_s = None
        if self.first_byte_at is not None:
            first_byte_s = self.first_byte_at - self.request.arrived_at
        log_event(
            logger,
            logging.INFO,
            "request_ended",
            request=head.request_id,
            route=admission.route.name,
            team=admission.team,
            tokens=admission.tokens,
            model=head.model,
            adapter=head.adapter,
            granted_by=self.granted_by,
            outcome=outcome,
            last_event=head.last_event_id,
            resumes=head.resumed_id,
            status=None if refusal is None else refusal.status,
            detail=None if refusal is None else refusal.detail,
            server=server_id,
            first_byte_s=first_byte_s,
            total_s=total_s,
        )
        self.context.metrics.record(
            RequestMeasurement(
                route=admission.route.name,
                team=admission.team,
                outcome=outcome,
                total_s=total_s,
                first_byte_s=first_byte_s,
            )
        )

    def _elapsed_s(self) -> float:
        return self.context.clock.now() - self.request.arrived_at
