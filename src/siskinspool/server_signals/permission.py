"""Whether a server may be chosen for a request, as far as its signals say."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs


class ServerPermission(ABC):
    """The answer of `ServerSignals` for one server at one time."""

    @property
    @abstractmethod
    def allows_next(self) -> bool:
        """Whether the next request may be sent to the server."""


@attrs.frozen
class MayBeChosen(ServerPermission):
    """The server has stated nothing that limits its requests."""

    @property
    def allows_next(self) -> bool:
        """Whether the next request may be sent to the server."""
        return True


@attrs.frozen
class MayBeChosenByMore(ServerPermission):
    """The server is in a pause, or has just ended one."""

    # Further requests that it may get now; 0 during the pause.
    count: int

    @property
    def allows_next(self) -> bool:
        """Whether the next request may be sent to the server."""
        return self.count > 0


@attrs.frozen
class Gone(ServerPermission):
    """The server is leaving: this start of it gets no further request."""

    @property
    def allows_next(self) -> bool:
        """Whether the next request may be sent to the server."""
        return False


MAY_BE_CHOSEN: Final = MayBeChosen()
GONE: Final = Gone()
