"""Messages for polling server reports."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..server_signals.observations import ServerStart


@attrs.frozen
class PollServer(Message):
    """Requests a server's report; answered by `ServerReport` or `ServerUnreachable`."""

    server_id: str
    host: str
    port: int
    timeout_s: float
    # Of the last report; empty if there was none.
    boot_id: str = ""

    @property
    def start(self) -> ServerStart | None:
        """The start of the last report.

        An instance without a path to the server asks others for a connection to this
        start. The report that comes back may be of a later one.
        """
        if not self.boot_id:
            return None
        return ServerStart(self.server_id, None, self.host, self.port, self.boot_id)
