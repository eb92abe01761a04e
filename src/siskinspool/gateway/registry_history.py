"""Tells entries of the server registry that are older than what was seen before.

A registry that returns from an older copy shows servers that have left since as if they
were ready. Each entry counts its writes since the server's start, so an entry that is
not newer than the last one of a server that is gone is an old one. A server that is
still there writes its entry again, with a higher count.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..server_signals.observations import ServerStart
from .servers import ServerRecord

# Far more servers than leave within minutes.
MAX_REMOVED: Final = 8192


@attrs.frozen
class _Seen:
    """The last entry of a server."""

    start: ServerStart
    write_count: int


class RegistryHistory:
    """The last entry of each server, and of those that are gone."""

    def __init__(self) -> None:
        self._seen_by_id: dict[str, _Seen] = {}
        self._write_count_by_removed_start: OrderedDict[ServerStart, int] = (
            OrderedDict()
        )

    def accepts(self, record: ServerRecord) -> bool:
        """Return whether an entry is not older than what was seen, and record it.

        Entries that state no count are always accepted.
        """
        if record.write_count is None:
            self._seen_by_id.pop(record.server_id, None)
            return True
        if record.write_count < self._least_count(record):
            return False
        self._write_count_by_removed_start.pop(record.start, None)
        self._seen_by_id[record.server_id] = _Seen(record.start, record.write_count)
        return True

    def record_removed(self, server_id: str) -> None:
        """Record that the entry of a server was removed."""
        seen = self._seen_by_id.pop(server_id, None)
        if seen is None:
            return
        self._write_count_by_removed_start[seen.start] = seen.write_count
        while len(self._write_count_by_removed_start) > MAX_REMOVED:
            self._write_count_by_removed_start.popitem(last=False)

    def _least_count(self, record: ServerRecord) -> int:
        """Return the count that an entry must have to be recent."""
        removed_at = self._write_count_by_removed_start.get(record.start)
        if removed_at is not None:
            return removed_at + 1
        seen = self._seen_by_id.get(record.server_id)
        return seen.write_count if seen and seen.start == record.start else 0
