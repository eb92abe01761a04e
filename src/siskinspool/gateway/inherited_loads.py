"""The in-flight loads that a new leader takes over from an earlier one.

The entries come from the ledger in the platform's store, or from an earlier leader that
is cut off from that store. A report of a server shows that it is busy, but not with
what; an entry with the same start and order count explains it. Whether a load still
runs is known once its server has reported. If the server is lost, its report will never
show the end, and the load continues in the weight store for its time.
"""

from __future__ import annotations

import time

from .desired_state import ModelSpec
from .load_ledger import LoadEntry
from .managed_server import ManagedServer


class InheritedLoads:
    """The latest entry of each server."""

    def __init__(self) -> None:
        self._entry_by_server: dict[str, LoadEntry] = {}

    def clear(self) -> None:
        """Drop all entries for a new leadership term."""
        self._entry_by_server.clear()

    def add(self, entry: LoadEntry) -> None:
        """Add an entry, unless a later order of its server is known."""
        known = self._entry_by_server.get(entry.server_id)
        if known is None or not known.is_later_than(entry):
            self._entry_by_server[entry.server_id] = entry

    def current(self, server: ManagedServer) -> LoadEntry | None:
        """Return the load that keeps a server busy, if an entry explains it."""
        entry = self._entry_by_server.get(server.record.server_id)
        if entry is None or not server.has_unknown_order:
            return None
        shown = (server.holdings.born_ms, server.order_count)
        return entry if shown == (entry.born_ms, entry.order_count) else None

    def is_over(self, server: ManagedServer) -> bool:
        """Return whether the report of a server shows that its entry's load is over.

        It is if a later order was accepted, or if the server does nothing: then the
        load has ended, or its order was never accepted. After a restart it is not: the
        server has lost the load, but the weight store has not.
        """
        entry = self._entry_by_server.get(server.record.server_id)
        count = server.order_count
        if entry is None or count is None or server.holdings.born_ms != entry.born_ms:
            return False
        return count > entry.order_count or server.busy_until is None


def remaining_s(entry: LoadEntry, spec: ModelSpec) -> float:
    """Return how long a load still runs, in seconds.

    The clocks of gateways may differ, so this is at most the time of a whole load.
    """
    return min(max(entry.ends_at_unix_s - time.time(), 0.0), spec.store_load_s)
