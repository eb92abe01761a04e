"""How requesters of the platform spell requests, and how refusals are told to them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Final

from ..core.errors import ErrorCode
from ..core.outcome import Refusal
from ..gateway.front_task import FrontCodec
from ..gateway.request import AnswerHead, RequestHead, SendPlan
from ..links.caller import Whole
from . import headers as wire

READY_PATH: Final = "/-/ready"


class PlatformFrontCodec(FrontCodec):
    """The platform's headers."""

    def decode_request(
        self, method: str, target: str, headers: dict[str, str]
    ) -> RequestHead | Refusal:
        """Return the head of a request, or why it cannot be used."""
        head = wire.decode_head(method, target, headers)
        if isinstance(head, str):
            return Refusal(400, ErrorCode.BAD_REQUEST, head)
        return head

    def encode_refusal(self, refusal: Refusal) -> Whole:
        """Return a refusal as an answer; the time to come back may be a fraction."""
        headers = {"content-type": "application/json"}
        if refusal.retry_after_s is not None:
            headers[wire.RETRY_AFTER] = f"{refusal.retry_after_s:.2f}"
        body = {"code": refusal.code, "detail": refusal.detail, "run": refusal.run}
        return Whole(refusal.status, headers, json.dumps(body).encode())

    def server_headers(self, head: RequestHead, plan: SendPlan) -> dict[str, str]:
        """Return the headers of a request for a server."""
        return wire.server_headers(head, plan)

    def decode_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return what a server says about its answer."""
        return wire.decode_answer(status, headers)

    def answer_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Return the headers that go on to the requester."""
        return wire.answer_headers(headers)
