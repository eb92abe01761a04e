"""Messages about relayed calls, between tasks and between instances (`wire`)."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Message
from ..links.codec import wire
from ..server_signals.observations import ServerStart

RELAY_TASK: Final = "relay"


@attrs.frozen
class RelayQuery(Message):
    """Asks whether another instance may be connected to a server.

    Answered by `RelayGranted` or `RelayDenied`.
    """

    server_id: str
    born_ms: int | None
    boot_id: str

    def is_about(self, start: ServerStart) -> bool:
        """Return whether a start is the one that the caller means."""
        return (self.server_id, self.born_ms, self.boot_id) == (
            start.server_id,
            start.born_ms,
            start.boot_id,
        )


@attrs.frozen
class RelayGranted(Message):
    """The other instance may be connected to the server at this address."""

    host: str
    port: int


@attrs.frozen
class RelayDenied(Message):
    """The server must not get a request from this instance."""

    reason: str
    # This instance could not connect a moment ago, which may be its own fault.
    is_unable: bool = False


@attrs.frozen
class PathsChanged(Message):
    """A server has become reachable through others only, or directly again."""


@attrs.frozen
class ReachChanged(Message):
    """This instance has lost its paths to the servers, or has them again."""

    is_cut_off: bool


@wire
@attrs.frozen
class RelayedSignal(Message):
    """What the head of a relayed answer states, to the instance that relayed it.

    The server means the instance that connects to it.
    """

    server_id: str
    born_ms: int | None
    boot_id: str
    is_leaving: bool
    # None if the server states no pause.
    retry_after_s: float | None
