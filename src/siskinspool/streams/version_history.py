"""The software versions that the servers of one service run, or have run lately.

Versions have no order. A stream may be taken up at any server if the service has had a
single version for as long as a stream may last.
"""

from __future__ import annotations

from collections import Counter


class VersionHistory:
    """The versions of one service; times are in seconds."""

    def __init__(self) -> None:
        self._version_by_server: dict[str, str] = {}
        self._servers_by_version: Counter[str] = Counter()
        # When the last server of a version was removed.
        self._gone_at_by_version: dict[str, float] = {}

    def update(self, server_id: str, version: str, now: float) -> None:
        """Record the version in a server's registry entry."""
        if self._version_by_server.get(server_id) != version:
            self.remove(server_id, now)
            self._version_by_server[server_id] = version
            self._servers_by_version[version] += 1
        self._gone_at_by_version.pop(version, None)

    def remove(self, server_id: str, now: float) -> None:
        """Record that a server's entry was removed."""
        version = self._version_by_server.pop(server_id, None)
        if version is None:
            return
        self._servers_by_version[version] -= 1
        if not self._servers_by_version[version]:
            del self._servers_by_version[version]
            self._gone_at_by_version[version] = now

    def add_gone(self, version: str, gone_at: float) -> None:
        """Record a version that others have seen, unless it is present."""
        if version not in self._servers_by_version:
            known = self._gone_at_by_version.get(version, gone_at)
            self._gone_at_by_version[version] = max(known, gone_at)

    def present(self) -> set[str]:
        """Return the versions of the servers that are registered."""
        return set(self._servers_by_version)

    def gone_since(self, since: float) -> dict[str, float]:
        """Return the versions that have gone since a time, with these times."""
        return {
            version: gone_at
            for version, gone_at in self._gone_at_by_version.items()
            if gone_at >= since
        }

    def only_version(self, since: float) -> str:
        """Return the only version that was present since a time; empty if several."""
        versions = self.present() | self.gone_since(since).keys()
        return next(iter(versions)) if len(versions) == 1 else ""

    def drop_gone(self, before: float) -> None:
        """Forget the versions that had gone before a time."""
        self._gone_at_by_version = self.gone_since(before)
