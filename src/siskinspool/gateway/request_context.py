"""The context shared by all requests of a gateway, and an admitted request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..links.server_link import ServerLink
from .admission import Admission
from .gateway_metrics import GatewayMetrics
from .request import AnswerHead, RequestHead, SendPlan


class HeaderCodec(ABC):
    """Encodes and decodes the headers of a platform's requests and answers."""

    @abstractmethod
    def server_headers(self, head: RequestHead, plan: SendPlan) -> dict[str, str]:
        """Return the headers of a request as it is sent to a server."""

    @abstractmethod
    def decode_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return the decoded head of a server's answer."""

    @abstractmethod
    def answer_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Return the headers of an answer that are forwarded to the requester."""


@attrs.frozen(kw_only=True)
class RequestContext:
    """The objects that all requests of a gateway share."""

    dispatcher: Dispatcher
    clock: Clock
    link: ServerLink
    codec: HeaderCodec
    metrics: GatewayMetrics


@attrs.frozen(kw_only=True)
class GatewayRequest:
    """An admitted request with its body."""

    head: RequestHead
    body: bytes = attrs.field(repr=False)
    admission: Admission
    # Time of arrival on the instance's clock.
    arrived_at: float
    # Sent to find out whether its prompt still crashes servers.
    is_probe: bool = False
