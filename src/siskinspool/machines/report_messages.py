"""Messages for polling server reports."""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen
class PollServer(Message):
    """Requests a server's report; answered by `ServerReport` or `ServerUnreachable`."""

    server_id: str
    host: str
    port: int
    timeout_s: float
