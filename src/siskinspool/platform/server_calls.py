"""The platform's calls to servers: orders and reports."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Final

import gevent

from ..core.clock import Clock
from ..gateway.messages import OrderResult, ServerOrder
from ..gateway.server_control import ServerControl
from ..gateway.servers import Holdings
from ..links.server_link import (
    MAX_REPORT_BYTES,
    Answer,
    HttpServerLink,
    Lost,
    NotSent,
    ServerRequest,
)
from ..server_signals.observations import ServerStart
from ..telemetry.logs import log_event
from .desired_state import UnreadableValue
from .headers import EXPECT_INSTANCE, decode_answer
from .server_entries import decode_report

logger = logging.getLogger(__name__)

# A healthy server answers in milliseconds; the remaining leadership term that an order
# needs (`siskinspool.gateway.placement`) covers this.
CALL_TIMEOUT_S: Final = 0.5

_RESULT_BY_STATUS: Final = {
    200: OrderResult.HOLDS,
    202: OrderResult.ACCEPTED,
    400: OrderResult.INVALID,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.INVALID,
}


class PlatformServerControl(ServerControl):
    """Sends orders to servers and reads their reports over HTTP."""

    def __init__(self, clock: Clock) -> None:
        self._link = HttpServerLink()
        self._clock = clock

    def send_order(
        self,
        order: ServerOrder,
        holder: str,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderResult:
        """Send an order to its server, with an instance as its holder."""
        body: dict[str, object] = {
            "op": order.kind.value,
            "model": order.model,
            "holder": holder,
            # The epoch number of the holder's leadership term.
            "fence": order.epoch,
            # Number of orders that the server must have accepted before.
            "expect": order.expected_count,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        answer = self._call(
            "POST",
            "/-/order",
            order.start,
            body,
            lambda: self._clock.now() < order.until_s and may_send(),
        )
        if isinstance(answer, NotSent | Lost):
            _log_failed_order(order, answer.reason)
            return _result_of_failure(answer)
        answer.close()
        return _RESULT_BY_STATUS.get(answer.status, OrderResult.UNKNOWN)

    def read_holdings(self, server: ServerStart) -> Holdings | None:
        """Return a server's report, or None if it cannot be read."""
        server_id = server.server_id
        answer = self._call("GET", "/-/report", server, None)
        if isinstance(answer, NotSent | Lost):
            _log_unreadable_report(server_id, answer.reason)
            return None
        try:
            # Bytes may arrive one at a time, each within the connection's own timeout.
            with gevent.Timeout(CALL_TIMEOUT_S, TimeoutError("no report in time")):
                data = answer.read_all(MAX_REPORT_BYTES)
        finally:
            answer.close()
        if isinstance(data, Lost) or answer.status != 200:
            reason = data.reason if isinstance(data, Lost) else str(answer.status)
            _log_unreadable_report(server_id, reason)
            return None
        holdings = decode_report(data)
        if isinstance(holdings, UnreadableValue):
            _log_unreadable_report(server_id, holdings.reason)
            return None
        return holdings

    def _call(
        self,
        method: str,
        path: str,
        server: ServerStart,
        body: dict[str, object] | None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answer | NotSent | Lost:
        request = ServerRequest(
            host=server.host,
            port=server.port,
            method=method,
            uri=path,
            headers={
                EXPECT_INSTANCE.title(): server.server_id,
                "Content-Type": "application/json",
            },
            body=b"" if body is None else json.dumps(body).encode(),
        )
        answer = self._link.open_call(request, CALL_TIMEOUT_S, may_send)
        if not isinstance(answer, NotSent | Lost):
            self._report_head(server, answer)
        return answer

    def _report_head(self, server: ServerStart, answer: Answer) -> None:
        head = decode_answer(answer.status, answer.headers)
        stated = head.observation(server, self._clock.now())
        if stated is not None:
            self.report_signals(stated)


def _result_of_failure(failure: NotSent | Lost) -> OrderResult:
    if isinstance(failure, Lost):
        return OrderResult.UNKNOWN
    return OrderResult.WITHHELD if failure.is_withheld else OrderResult.NOT_SENT


def _log_failed_order(order: ServerOrder, reason: str) -> None:
    log_event(
        logger,
        logging.WARNING,
        "order_failed",
        server=order.server_id,
        kind=order.kind,
        model=order.model,
        epoch=order.epoch,
        reason=reason,
    )


def _log_unreadable_report(server_id: str, reason: str) -> None:
    log_event(logger, logging.WARNING, "report_unread", server=server_id, reason=reason)
