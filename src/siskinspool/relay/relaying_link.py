"""A `ServerLink` that goes through another instance where there is no direct path.

Only the connection is made elsewhere: this instance sends the request and reads the
answer, so that choice of the server, retries, limits and positions in streams stay
where they are. An instance that cannot or must not connect says so before a byte of the
request is sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.member import Member
from ..core.message import Outgoing
from ..links.server_link import (
    Answer,
    HttpServerLink,
    Lost,
    NotSent,
    ServerLink,
    ServerRequest,
)
from ..server_signals.observations import ServerStart
from ..settings import Endpoint
from .relay_listener import connect_directly
from .relay_messages import RELAY_TASK, PathsChanged
from .relay_protocol import RelayOpen
from .relayed_socket import RelayedSocket, open_relayed
from .server_paths import MAX_RELAYS_PER_CALL, ServerPaths

# Of a direct connection that only shows whether there is a path.
CHECK_TIMEOUT_S: Final = 0.3
# The other instance connects within its own timeout; this one also finds out that it
# does not answer.
RELAY_TIMEOUT_S: Final = 0.4


class RelayingServerLink(ServerLink):
    """Sends calls directly or through another instance."""

    def __init__(
        self,
        direct: HttpServerLink,
        paths: ServerPaths,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        """Initialize with the direct link and the decision on paths."""
        self._direct = direct
        self._paths = paths
        self._dispatcher = dispatcher
        self._clock = clock

    def open_call(
        self,
        request: ServerRequest,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answer | NotSent | Lost:
        """Send a request once and return the answer's head."""
        start = request.start
        if start is None:
            return self._direct.open_call(request, timeout_s, may_send)
        began_at = self._clock.now()
        if not self._paths.may_try(start, began_at):
            return NotSent("there is no path to any server", is_isolated=True)
        failure = NotSent("there is no path to the server")
        if self._paths.goes_direct(start):
            connection = self._direct.connect(request, timeout_s)
            if not isinstance(connection, NotSent):
                self._record_connected(start)
                return self._direct.exchange(connection, request, timeout_s, may_send)
            if not self._paths.record_failed(start, self._clock.now()):
                return self._failed(connection)
            failure = connection
        relayed = self._open_relayed(start, began_at, began_at + timeout_s)
        if relayed is None:
            self._notify(self._paths.record_lost_server(start, self._clock.now()))
            return self._failed(failure)
        relay, connection = relayed
        remaining_s = began_at + timeout_s - self._clock.now()
        answer = self._direct.exchange(connection, request, remaining_s, may_send)
        if isinstance(answer, Answer):
            answer.relay_id = relay.instance_id
        return answer

    def has_lost_path(self, start: ServerStart) -> bool:
        """Return whether this instance does not reach a server that others reach."""
        began_at = self._clock.now()
        if self._paths.goes_direct(start):
            endpoint = Endpoint(host=start.host, port=start.port)
            sock = connect_directly(endpoint, CHECK_TIMEOUT_S)
            if sock is not None:
                sock.close()
                self._record_connected(start)
                return False
        now = self._clock.now()
        if self._paths.is_lost(start, now):
            return False
        until = now + MAX_RELAYS_PER_CALL * RELAY_TIMEOUT_S
        relayed = self._open_relayed(start, began_at, until)
        if relayed is None:
            self._notify(self._paths.record_lost_server(start, self._clock.now()))
            return False
        relayed[1].close()
        return True

    def _open_relayed(
        self, start: ServerStart, began_at: float, until: float
    ) -> tuple[Member, RelayedSocket] | None:
        """Return a connection through another instance; None if none can connect."""
        unable_ids: list[str] = []
        for relay in self._paths.relays(start, self._clock.now()):
            remaining_s = until - self._clock.now()
            if remaining_s <= 0:
                return None
            opening = RelayOpen.for_start(start, remaining_s)
            timeout_s = min(RELAY_TIMEOUT_S, remaining_s)
            opened = open_relayed(relay.host, relay.relay_port, opening, timeout_s)
            now = self._clock.now()
            if isinstance(opened, RelayedSocket):
                is_new = self._paths.record_relayed(
                    start, relay.instance_id, unable_ids, now, began_at=began_at
                )
                self._notify(is_new)
                return relay, opened
            if opened.is_lost:
                self._paths.record_lost_relay(relay.instance_id, now)
            elif opened.is_unable:
                unable_ids.append(relay.instance_id)
        return None

    def _failed(self, failure: NotSent) -> NotSent:
        """Return the failure of a call, with what is known of the other servers."""
        return NotSent(failure.reason, is_isolated=self._paths.is_isolated)

    def _record_connected(self, start: ServerStart) -> None:
        self._notify(self._paths.record_connected(start, self._clock.now()))

    def _notify(self, is_new: bool) -> None:
        if is_new:
            task = self._dispatcher.address(RELAY_TASK)
            self._dispatcher.send(task, Outgoing(task, PathsChanged()))
