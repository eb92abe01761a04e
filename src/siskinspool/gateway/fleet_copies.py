"""Which copies of models' weights a fleet has.

A server keeps copies on its disk and in its memory. Servers that do not answer for a
moment count, since their disks outlive a restart. Servers that leave do not, nor those
in an evacuated zone.
"""

from __future__ import annotations

from collections import Counter

from .managed_server import ManagedServer


class FleetCopies:
    """The copies of each model on the servers of one service."""

    def __init__(self, servers: list[ManagedServer]) -> None:
        self._servers_by_model = Counter(
            name for server in servers for name in server.copies()
        )

    def count(self, model: str) -> int:
        """Return how many servers have a copy of a model."""
        return self._servers_by_model[model]
