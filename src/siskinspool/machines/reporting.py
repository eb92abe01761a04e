"""Assignment of server reports to instances, and their distribution.

Each server has one reporter: the winner of rendezvous hashing among the members. It
polls the server every `POLL_INTERVAL_S`, and more often while the server loads a
replica. Every report is sent to the placement owner, which counts consecutive reports.
The routing task of every member gets a report if it changed, and otherwise once every
`REFRESH_INTERVAL_S`. Two instances that disagree about the members poll the same server
twice for a short time, which does no harm.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..manifest.model import Catalog, Server, empty_manifest
from .messages import (
    CatalogChanged,
    OwnersChanged,
    ReplicaState,
    ServerReport,
    ServerUnreachable,
)
from .rendezvous import winner
from .report_messages import PollServer

POLL_INTERVAL_S: Final = 0.5
# Requests wait for the end of a load, so it has to be detected quickly (M1).
LOADING_POLL_INTERVAL_S: Final = 0.1
REFRESH_INTERVAL_S: Final = 1.0
POLL_TIMEOUT_S: Final = 1.0


@attrs.define
class _PolledServer:
    """State of a server that this instance polls."""

    due_at: float
    is_waiting: bool = False
    last_sent: ServerReport | None = None
    last_sent_at: float = 0.0


class Reporting(Decision):
    """Polls the servers assigned to this instance and distributes their reports."""

    def __init__(self, instance_id: str, site_id: str) -> None:
        self._instance_id = instance_id
        self._placement_partition = f"placement/{site_id}"
        self._catalog = Catalog.from_manifest(0, empty_manifest())
        self._member_by_id: dict[str, Member] = {}
        self._placement_owner: str | None = None
        self._polled_by_id: dict[str, _PolledServer] = {}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle changes of the manifest, the members and owners, and reports."""
        match incoming.message:
            case CatalogChanged(catalog=catalog):
                servers = self._catalog.server_by_id.keys()
                self._catalog = catalog
                # Most changes affect no server, and an assignment computes a hash for
                # each pair of server and member.
                if catalog.server_by_id.keys() != servers:
                    self._assign_servers(now)
            case MembershipChanged(member_by_id=members):
                names = self._member_by_id.keys()
                self._member_by_id = members
                if members.keys() != names:
                    self._assign_servers(now)
            case OwnersChanged(owner_by_partition=owners):
                self._placement_owner = owners.get(self._placement_partition)
            case ServerReport() as report:
                return self._distribute(report, now)
            case ServerUnreachable(server_id=server_id) as unreachable:
                self._mark_answered(server_id)
                return self._to_placement(unreachable)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Poll the servers that are due."""
        batch = []
        for server_id, polled in self._polled_by_id.items():
            if polled.due_at > now:
                continue
            polled.due_at = now + POLL_INTERVAL_S
            if not polled.is_waiting:
                polled.is_waiting = True
                server = self._catalog.server_by_id[server_id]
                batch.append(self._poll(server, polled.last_sent))
        return batch

    def wake_at(self) -> float | None:
        """Return when the next poll is due."""
        return min((item.due_at for item in self._polled_by_id.values()), default=None)

    def _assign_servers(self, now: float) -> None:
        assigned = {
            server_id
            for server_id in self._catalog.server_by_id
            if winner(server_id, self._member_by_id) == self._instance_id
        }
        self._polled_by_id = {
            server_id: self._polled_by_id.get(server_id, _PolledServer(due_at=now))
            for server_id in sorted(assigned)
        }

    def _poll(self, server: Server, last: ServerReport | None) -> Outgoing:
        message = PollServer(
            server.id,
            server.host,
            server.port,
            POLL_TIMEOUT_S,
            "" if last is None else last.boot_id,
        )
        return self._local_message("report_poller", message)

    def _mark_answered(self, server_id: str) -> _PolledServer | None:
        polled = self._polled_by_id.get(server_id)
        if polled is not None:
            polled.is_waiting = False
        return polled

    def _distribute(self, report: ServerReport, now: float) -> list[Outgoing]:
        polled = self._mark_answered(report.server_id)
        if polled is None:
            return []
        if any(replica.state is ReplicaState.LOADING for replica in report.replicas):
            polled.due_at = min(polled.due_at, now + LOADING_POLL_INTERVAL_S)
        # The age differs in every report and does not count as a change.
        unchanged = polled.last_sent == attrs.evolve(report, age_s=0.0)
        if unchanged and now - polled.last_sent_at < REFRESH_INTERVAL_S:
            return self._to_placement(report)
        polled.last_sent = attrs.evolve(report, age_s=0.0)
        polled.last_sent_at = now
        batch = [
            Outgoing(Address(member_id, "routing"), report)
            for member_id in self._member_by_id
        ]
        return batch + self._to_placement(report)

    def _to_placement(self, message: Message) -> list[Outgoing]:
        if self._placement_owner is None:
            return []
        return [Outgoing(Address(self._placement_owner, "placement"), message)]

    def _local_message(self, task: str, message: Message) -> Outgoing:
        return Outgoing(Address(self._instance_id, task), message)
