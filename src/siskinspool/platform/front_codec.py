"""The platform's encoding of requests and refusals."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Final

from ..core.errors import ErrorCode
from ..core.outcome import Refusal
from ..gateway.front_task import FrontCodec
from ..gateway.request import AnswerHead, RequestHead, SendPlan
from ..links.caller import WholeAnswer
from . import headers as wire

READY_PATH: Final = "/-/ready"


class PlatformFrontCodec(FrontCodec):
    """Implements `FrontCodec` with the platform's headers and JSON refusals."""

    def decode_request(
        self, method: str, target: str, headers: dict[str, str]
    ) -> RequestHead | Refusal:
        """Return the head of a request, or the refusal of an invalid one."""
        head = wire.decode_head(method, target, headers)
        if isinstance(head, str):
            return Refusal(400, ErrorCode.BAD_REQUEST, head)
        return head

    def encode_refusal(self, refusal: Refusal) -> WholeAnswer:
        """Return the HTTP answer for a refusal; ``Retry-After`` may be fractional."""
        headers = {"content-type": "application/json"}
        if refusal.retry_after_s is not None:
            headers[wire.RETRY_AFTER] = f"{refusal.retry_after_s:.2f}"
        body = {"code": refusal.code, "detail": refusal.detail, "run": refusal.run}
        return WholeAnswer(refusal.status, headers, json.dumps(body).encode())

    def server_headers(self, head: RequestHead, plan: SendPlan) -> dict[str, str]:
        """Return the headers of a request as it is sent to a server."""
        return wire.server_headers(head, plan)

    def decode_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return the decoded head of a server's answer."""
        return wire.decode_answer(status, headers)

    def answer_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Return the headers of an answer that are forwarded to the requester."""
        return wire.answer_headers(headers)
