"""Tells entries of the server registry that are older than what was seen before.

A registry that returns from an older copy shows servers that have left since as if they
were ready. Each entry counts its writes since the server's start, so an entry that is
not newer than the last one of a server that is gone is an old one. A server that is
still there writes its entry again, with a higher count.

Within one era of the registry its own order is certain: an entry that comes after a
removal was written after it, whatever its count. So an entry that a return has lost may
be written again as it was.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..server_signals.observations import ServerStart
from ..store.revision import era_of
from .servers import ServerRecord

# Far more servers than leave within minutes.
MAX_REMOVED: Final = 8192


@attrs.frozen
class _Seen:
    """The last entry of a server."""

    start: ServerStart
    write_count: int


@attrs.frozen
class _Removed:
    """The last count of a start whose entry was removed, and the removal's era."""

    write_count: int
    era: int


class RegistryHistory:
    """The last entry of each server, and of those that are gone."""

    def __init__(self) -> None:
        self._seen_by_id: dict[str, _Seen] = {}
        self._removed_by_start: OrderedDict[ServerStart, _Removed] = OrderedDict()

    def accepts(self, record: ServerRecord, revision: int) -> bool:
        """Return whether an entry is not older than what was seen, and record it.

        ``revision`` is that of the entry's write. Entries that state no count are
        always accepted.
        """
        if record.write_count is None:
            self._seen_by_id.pop(record.server_id, None)
            return True
        if record.write_count < self._least_count(record, era_of(revision)):
            return False
        self._removed_by_start.pop(record.start, None)
        self._seen_by_id[record.server_id] = _Seen(record.start, record.write_count)
        return True

    def record_removed(self, server_id: str, revision: int) -> None:
        """Record that the entry of a server was not there at a revision."""
        seen = self._seen_by_id.pop(server_id, None)
        if seen is None:
            return
        removed = _Removed(seen.write_count, era_of(revision))
        self._removed_by_start[seen.start] = removed
        while len(self._removed_by_start) > MAX_REMOVED:
            self._removed_by_start.popitem(last=False)

    def _least_count(self, record: ServerRecord, era: int) -> int:
        """Return the count that an entry of an era must have to be recent."""
        removed = self._removed_by_start.get(record.start)
        if removed is not None:
            return 0 if era == removed.era else removed.write_count + 1
        seen = self._seen_by_id.get(record.server_id)
        return seen.write_count if seen and seen.start == record.start else 0
