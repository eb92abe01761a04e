"""The platform's calls for duties."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from ..duties.duty_calls import DutyCalls, UsageEncoding
from ..duties.duty_messages import DutyOrder, DutyResult, ScaleOrder, UsageOrder
from ..links.server_link import HttpServerLink, Lost, NotSent, ServerRequest
from ..settings import Endpoint

DUTY_HOLDER: Final = "Duty-Holder"
FENCE_TOKEN: Final = "Fence-Token"
# Below the lease, so that no holder waits for an answer while another one acts.
ANSWER_TIMEOUT_S: Final = 2.0

_RESULT_BY_STATUS: Final = {
    200: DutyResult.DONE,
    400: DutyResult.INVALID,
    409: DutyResult.REFUSED_EPOCH,
    429: DutyResult.TOO_MANY,
}


class PlatformUsageEncoding(UsageEncoding):
    """Encodes usage reports as the platform's JSON."""

    def encode(self, window: int, count_by_team: dict[str, int]) -> bytes:
        """Return the body of the report; equal counts give equal bytes."""
        body = {"window_id": window, "counts": count_by_team}
        return msgspec.json.encode(body, order="sorted")


class PlatformDutyCalls(DutyCalls):
    """Sends orders to the platform over HTTP."""

    def __init__(self, cloud: Endpoint) -> None:
        self._cloud = cloud
        self._link = HttpServerLink(ends_by_close=True)

    def send(
        self, order: DutyOrder, holder: str, may_send: Callable[[], bool]
    ) -> DutyResult:
        """Send an order as a holder if ``may_send`` is true once connected."""
        encoded = _encode(order)
        if encoded is None:
            return DutyResult.INVALID
        path, body = encoded
        request = ServerRequest(
            host=self._cloud.host,
            port=self._cloud.port,
            method="POST",
            uri=path,
            headers={
                DUTY_HOLDER: holder,
                FENCE_TOKEN: str(order.epoch),
                "Content-Type": "application/json",
            },
            body=body,
        )
        answer = self._link.open_call(request, ANSWER_TIMEOUT_S, may_send)
        if isinstance(answer, NotSent):
            return DutyResult.NOT_SENT
        if isinstance(answer, Lost):
            return DutyResult.UNKNOWN
        answer.close()
        return _RESULT_BY_STATUS.get(answer.status, DutyResult.UNKNOWN)


def _encode(order: DutyOrder) -> tuple[str, bytes] | None:
    """Return the path and the body of a call, None for an unknown kind of order."""
    match order:
        case UsageOrder():
            return "/usage", order.body
        case ScaleOrder():
            body = {
                "service": order.service,
                "zone": order.zone,
                "desired": order.desired,
            }
            return "/scale", msgspec.json.encode(body)
    return None
