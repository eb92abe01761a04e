"""The software version at which the stream of one request has to go on."""

from __future__ import annotations

from typing import Final

from ..core.message import Address, Outgoing
from ..core.outcome import Refusal
from ..streams.stream_messages import (
    STREAMS_TASK,
    FindStreamOrigin,
    StreamBegun,
    StreamOriginFound,
)
from .desired_state import RouteKind
from .messages import ServerAssigned
from .request_context import GatewayRequest, RequestContext
from .request_refusals import unknown_origin_refusal

# The decision on streams answers sooner, also if a recorder does not.
FIND_TIMEOUT_S: Final = 0.6


class StreamOriginFinder:
    """Asks ``streams`` for the version of a request's stream, and tells it of new ones.

    A request that begins a stream may go to any server until its first event is passed
    on. One that takes a stream up may not.
    """

    def __init__(self, request: GatewayRequest, context: RequestContext) -> None:
        self._request = request
        self._context = context
        # Empty as long as any server will do.
        self.software_version = ""
        self._begun_by_id = request.head.resumed_id

    @property
    def _takes_up(self) -> bool:
        route = self._request.admission.route
        return route.kind is RouteKind.STREAM and bool(self._request.head.last_event_id)

    def find_taken_up(self) -> Refusal | None:
        """Find the version of a stream that is taken up; refuse it if unknown."""
        if not self._takes_up or self.confirm():
            return None
        return unknown_origin_refusal()

    def begin(self, assigned: ServerAssigned) -> None:
        """Record that the first event is about to be passed on."""
        if self._takes_up:
            return
        head, admission = self._request.head, self._request.admission
        self._begun_by_id = head.request_id
        self.software_version = assigned.software_version
        if not admission.route.resumable:
            return
        begun = StreamBegun(
            head.request_id,
            admission.service,
            assigned.software_version,
            assigned.start,
        )
        dispatcher = self._context.dispatcher
        sender = Address(dispatcher.instance_id, "request")
        dispatcher.send(sender, Outgoing(dispatcher.address(STREAMS_TASK), begun))

    def confirm(self) -> bool:
        """Find the version of the stream; return whether it is known."""
        dispatcher = self._context.dispatcher
        question = FindStreamOrigin(self._begun_by_id, self._request.admission.service)
        answer = dispatcher.ask(
            dispatcher.address(STREAMS_TASK), question, FIND_TIMEOUT_S
        )
        if not isinstance(answer, StreamOriginFound):
            return False
        self.software_version = answer.software_version
        return True
