"""The ``relay`` task: relays calls of others, and follows the own paths to servers.

It owns the listener for relayed connections, learns the members, and probes one server
at a time while servers are reached through others only. Watchers are notified when this
instance has lost its paths to the servers, and when it has them again.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Final

import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import GaugesReply, GetGauges, GetStatus, StatusReply
from ..core.task import Task
from ..server_signals.observations import ServerStart
from ..settings import Endpoint
from ..telemetry.logs import log_event
from .relay_listener import RelayListener, connect_directly
from .relay_messages import (
    RELAY_TASK,
    PathsChanged,
    ReachChanged,
    RelayDenied,
    RelayGranted,
    RelayQuery,
)
from .relay_protocol import RelayOpen
from .server_paths import ServerPaths

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S: Final = 0.3
# The task ``routing`` answers in milliseconds.
PERMISSION_TIMEOUT_S: Final = 0.2


class RelayTask(Task):
    """Relays calls of other instances."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        paths: ServerPaths,
        host: str,
        ports: Iterable[int],
        permission_task: str,
        watchers: tuple[str, ...],
    ) -> None:
        """Bind the listener to one of the ports, or to one that the kernel chooses.

        ``permission_task`` answers `RelayQuery`; the watchers get `ReachChanged`.
        """
        super().__init__(RELAY_TASK, dispatcher, clock)
        self._paths = paths
        self._permission_task = permission_task
        self._watchers = watchers
        self._listener = RelayListener(host, ports, self._ask_permission)
        self._was_cut_off = False

    @property
    def port(self) -> int:
        """The port for relayed connections."""
        return self._listener.port

    def start(self) -> None:
        """Start the task and the listener."""
        super().start()
        self._listener.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Close the relayed connections and end the task."""
        self._listener.stop()
        super().stop(timeout_s)

    def refuse_new(self) -> None:
        """Relay no further calls, as the instance is stopping."""
        self._listener.refuse_new()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no call is relayed; return False on a timeout."""
        return self._listener.wait_idle(timeout_s)

    def handle(self, incoming: Incoming) -> None:
        """Follow the members and the paths, or describe them."""
        match incoming.message:
            case MembershipChanged(member_by_id):
                self._paths.set_members(member_by_id)
            case PathsChanged():
                self._update_reach()
            case GetStatus():
                self._answer(incoming.sender, StatusReply(self._paths.status()))
            case GetGauges():
                gauges = self._paths.gauges() | self._listener.gauges()
                self._answer(incoming.sender, GaugesReply(gauges))

    def on_time(self) -> None:
        """Probe a server that is reached through others only."""
        start = self._paths.pop_probe(self.clock.now())
        if start is not None:
            gevent.spawn(self._probe, start)
        self._update_reach()

    def wake_at(self) -> float | None:
        """Return when the next probe is due."""
        return self._paths.wake_at()

    def _probe(self, start: ServerStart) -> None:
        """Connect to a server without sending a request."""
        endpoint = Endpoint(host=start.host, port=start.port)
        sock = connect_directly(endpoint, PROBE_TIMEOUT_S)
        if sock is None:
            return
        sock.close()
        self._paths.record_connected(start, self.clock.now())
        self.dispatcher.send(self.address, Outgoing(self.address, PathsChanged()))

    def _update_reach(self) -> None:
        is_cut_off = self._paths.is_cut_off
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        log_event(
            logger,
            logging.WARNING,
            "reach_changed",
            cut_off=is_cut_off,
            indirect=len(self._paths),
        )
        for task in self._watchers:
            self._answer(self.dispatcher.address(task), ReachChanged(is_cut_off))

    def _ask_permission(self, opening: RelayOpen) -> RelayGranted | RelayDenied:
        query = RelayQuery(opening.server_id, opening.born_ms, opening.boot_id)
        task = self.dispatcher.address(self._permission_task)
        answer = self.dispatcher.ask(task, query, PERMISSION_TIMEOUT_S)
        if isinstance(answer, RelayGranted | RelayDenied):
            return answer
        return RelayDenied("no decision")

    def _answer(
        self, recipient: Address, message: ReachChanged | StatusReply | GaugesReply
    ) -> None:
        self.dispatcher.send(self.address, Outgoing(recipient, message))
