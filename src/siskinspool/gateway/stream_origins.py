"""The ``streams`` decision: at which software version a stream may go on.

What servers of two versions write does not fit together, and servers do not check what
a stream has begun with. A stream that has begun goes on only at servers of the version
that began it, within one answer and when its requester takes it up at any instance.

While a service has had a single version for as long as a stream may last, nothing is
exchanged. Otherwise each instance tells two recorders, chosen among the readers of the
change feed by the stream, which version its new streams have begun at; the first one
also archives this in the key-value service, in case all instances end at once. For a
stream that an instance does not know it asks the recorders. A stream of which nobody
knows the version is not taken up.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..feed.reader_choice import ReaderRanking
from ..machines.rendezvous import score
from ..store.kv import KvList, KvListing, KvReply
from ..store.kv_task import KV_TASK
from ..streams.known_versions import REQUEST_PREFIX as VERSIONS_REQUEST_PREFIX
from ..streams.known_versions import KnownVersions
from ..streams.origin_archive import ARCHIVE_PREFIX, OriginArchive, decode_streams
from ..streams.origin_archive import REQUEST_PREFIX as ARCHIVE_REQUEST_PREFIX
from ..streams.origin_table import OriginTable, OwnStreams
from ..streams.stream_messages import (
    STREAMS_TASK,
    FindStreamOrigin,
    StreamBegun,
    StreamOriginAsked,
    StreamOriginFound,
    StreamOriginTold,
    StreamOriginUnknown,
    StreamsRecorded,
    stream_key,
)
from ..streams.untold_streams import UntoldStreams
from .desired_state import DesiredState, RouteKind
from .servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerRecord,
    ServerRemoved,
)

RECORDERS: Final = 2
# New streams are told to the recorders together: soon to the one that archives them,
# later to the other, which stands in for it.
ARCHIVED_INTERVAL_S: Final = 0.05
SPARE_INTERVAL_S: Final = 0.5
# Recorders answer within a round trip, or once they have read the archive.
ASK_TIMEOUT_S: Final = 0.4
MAX_QUESTIONS: Final = 1_024
# The archive is read at most this often, and only for a stream that is not known.
LIST_INTERVAL_S: Final = 1.0
# A listing without a reply is given up after this time.
LIST_TIMEOUT_S: Final = 5.0
LIST_REQUEST_ID: Final = "streams-list"
# How long a stream may last, in relation to the longest timeout of a route: a requester
# may take its stream up several times.
STREAM_TIMEOUT_RATIO: Final = 2.0
# A server's own clock may differ from this instance's by this much.
CLOCK_MARGIN_S: Final = 2.0


@attrs.define
class _Question:
    """A request for an origin that waits for the recorders."""

    sender: Address
    answer_by: float
    # Recorders that have not answered yet.
    open_answers: int


class StreamOrigins(Decision):
    """Knows or finds out the version that a stream has begun at."""

    def __init__(
        self,
        instance_id: str,
        first_start: bool,
        now: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Initialize; ``first_start`` is true on the system's first start."""
        self._id = instance_id
        self._wall_clock = wall_clock
        self._versions = KnownVersions.at_start(
            now, wall_clock, first_start=first_start
        )
        self._table = OriginTable()
        self._own = OwnStreams()
        self._archive = OriginArchive(instance_id)
        self._ranking = ReaderRanking.from_members({})
        self._version_by_server: dict[str, str] = {}
        self._mixed_services: set[str] = set()
        # For the first and the second recorder of each stream.
        self._untold = (
            UntoldStreams(ARCHIVED_INTERVAL_S, is_archived=True),
            UntoldStreams(SPARE_INTERVAL_S, is_archived=False),
        )
        self._question_by_number: dict[int, _Question] = {}
        self._next_number = 1
        # Questions of instances that wait for the archive.
        self._listeners: list[tuple[Address, StreamOriginAsked]] = []
        self._listed_at = float("-inf")
        self._is_listing = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a new stream, a question or a change of servers or members."""
        match incoming.message:
            case StreamBegun() as begun:
                self._begin(begun, now)
            case FindStreamOrigin() as question:
                return self._find(incoming.sender, question, now)
            case StreamsRecorded(keys_by_origin, is_archived):
                self._table.add_all(keys_by_origin)
                if is_archived:
                    self._archive.add(keys_by_origin)
            case StreamOriginAsked() as asked:
                return self._answer(incoming.sender, asked, now)
            case StreamOriginTold() as told:
                return self._handle_told(told)
            case KvReply() as reply:
                return self._handle_reply(reply, now)
            case other:
                self._handle_change(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Tell the recorders, write to the store, and end questions."""
        batch: list[Outgoing] = []
        self._versions.drop_gone(now)
        self._own.drop(now - self._versions.stream_s)
        for untold in self._untold:
            for recorder, message in untold.pop_due(now).items():
                batch.append(Outgoing(Address(recorder, STREAMS_TASK), message))
        if request := self._versions.request(self._may_write, now):
            batch.append(self._to_store(request))
        if self._archive.needs_listing and self._may_list(now):
            batch.append(self._list(now))
        if write := self._archive.write(now):
            batch.append(self._to_store(write))
        for number, question in list(self._question_by_number.items()):
            if now >= question.answer_by:
                del self._question_by_number[number]
                batch.append(Outgoing(question.sender, StreamOriginUnknown()))
        return batch

    def wake_at(self) -> float | None:
        """Return when the next message or request is due."""
        due = [question.answer_by for question in self._question_by_number.values()]
        if self._archive.needs_listing:
            wait_s = LIST_TIMEOUT_S if self._is_listing else LIST_INTERVAL_S
            due.append(self._listed_at + wait_s)
        due += [
            at
            for at in (
                *(untold.due_at() for untold in self._untold),
                self._versions.due_at(self._may_write),
                self._archive.due_at(),
            )
            if at is not None
        ]
        return min(due, default=None)

    def status(self, now: float) -> Status:
        """Return the number of known streams and the services of several versions."""
        return {
            "known": len(self._table),
            "mixed_services": sorted(self._mixed_services),
        }

    def gauges(self) -> dict[str, float]:
        """Return the number of known streams and of open questions."""
        return {
            "streams.known": float(len(self._table)),
            "streams.questions": float(len(self._question_by_number)),
        }

    # Streams of this instance

    def _begin(self, begun: StreamBegun, now: float) -> None:
        stream = self._own.add(begun, now)
        version = stream.software_version if self._is_confirmed(begun) else ""
        self._table.add(stream.service, version, stream.key)
        if self._track_mixed(stream.service, now):
            self._queue(stream.service, version, stream.key)

    def _is_confirmed(self, begun: StreamBegun) -> bool:
        """Return whether the registry still names the version of a stream's server."""
        server_id = begun.server.server_id
        known = self._version_by_server.get(server_id, begun.software_version)
        return known == begun.software_version

    def _track_mixed(self, service: str, now: float) -> bool:
        """Return whether a service has several versions now.

        If it has not had several before, the streams under way are queued, too.
        """
        if not self._versions.is_mixed(service, now):
            self._mixed_services.discard(service)
            return False
        if service not in self._mixed_services:
            self._mixed_services.add(service)
            for stream in self._own.of_service(service):
                version = self._table.find(service, stream.key)
                self._queue(service, version or "", stream.key)
        return True

    def _queue(self, service: str, version: str, key: int) -> None:
        """Queue a stream for its recorders; the first one also archives it."""
        recorders = self._recorders(key)
        for untold, recorder in zip(self._untold, recorders, strict=False):
            untold.add(recorder, service, version, key)

    def _recorders(self, key: int) -> list[str]:
        """Return the instances that record a stream, the first one first."""
        readers = self._ranking.reader_ids or (self._id,)
        text = str(key)
        return sorted(readers, key=lambda name: score(text, name))[-RECORDERS:][::-1]

    # Questions

    def _find(
        self, sender: Address, question: FindStreamOrigin, now: float
    ) -> list[Outgoing]:
        key = stream_key(question.request_id)
        version = self._known_version(question.service, key, now)
        if version is not None:
            return [Outgoing(sender, _found(version))]
        if not question.request_id or len(self._question_by_number) >= MAX_QUESTIONS:
            return [Outgoing(sender, StreamOriginUnknown())]
        number = self._next_number
        self._next_number += 1
        recorders = self._recorders(key)
        self._question_by_number[number] = _Question(
            sender, now + ASK_TIMEOUT_S, len(recorders)
        )
        asked = StreamOriginAsked(number, key, question.service)
        return [Outgoing(Address(name, STREAMS_TASK), asked) for name in recorders]

    def _known_version(self, service: str, key: int, now: float) -> str | None:
        """Return the version of a stream; empty if it is doubtful, None if unknown."""
        version = self._table.find(service, key)
        if version is None:
            version = self._versions.only_version(service, now) or None
        return version

    def _answer(
        self, sender: Address, asked: StreamOriginAsked, now: float
    ) -> list[Outgoing]:
        version = self._known_version(asked.service, asked.key, now)
        waits = self._is_listing or self._may_list(now)
        if version is not None or not waits or len(self._listeners) >= MAX_QUESTIONS:
            told = StreamOriginTold(asked.number, version or "")
            return [Outgoing(sender, told)]
        self._listeners.append((sender, asked))
        return [self._list(now)] if self._may_list(now) else []

    def _handle_told(self, told: StreamOriginTold) -> list[Outgoing]:
        question = self._question_by_number.get(told.number)
        if question is None:
            return []
        question.open_answers -= 1
        if not told.software_version and question.open_answers:
            return []
        del self._question_by_number[told.number]
        return [Outgoing(question.sender, _found(told.software_version))]

    # The archive

    def _may_list(self, now: float) -> bool:
        wait_s = LIST_TIMEOUT_S if self._is_listing else LIST_INTERVAL_S
        return now >= self._listed_at + wait_s

    def _list(self, now: float) -> Outgoing:
        self._is_listing, self._listed_at = True, now
        return self._to_store(KvList(LIST_REQUEST_ID, ARCHIVE_PREFIX))

    def _handle_reply(self, reply: KvReply, now: float) -> list[Outgoing]:
        if reply.request_id.startswith(VERSIONS_REQUEST_PREFIX):
            self._versions.handle_reply(reply, now)
        elif reply.request_id.startswith(ARCHIVE_REQUEST_PREFIX):
            self._archive.handle_reply(reply)
        elif reply.request_id == LIST_REQUEST_ID:
            return self._handle_listing(reply, now)
        return []

    def _handle_listing(self, reply: KvReply, now: float) -> list[Outgoing]:
        self._is_listing = False
        if isinstance(reply, KvListing):
            self._archive.resume(reply.items)
            for keys_by_origin in decode_streams(reply.items):
                self._table.add_all(keys_by_origin)
        listeners, self._listeners = self._listeners, []
        return [
            Outgoing(
                sender,
                StreamOriginTold(
                    asked.number,
                    self._known_version(asked.service, asked.key, now) or "",
                ),
            )
            for sender, asked in listeners
        ]

    def _to_store(self, request: Message) -> Outgoing:
        return Outgoing(Address(self._id, KV_TASK), request)

    # Changes

    @property
    def _may_write(self) -> bool:
        return self._id in self._ranking.reader_ids

    def _handle_change(self, message: object, now: float) -> None:
        match message:
            case ServerRecord() as record:
                self._update_server(record, now)
            case ServerRemoved(server_id):
                self._versions.remove(server_id, now)
                self._version_by_server.pop(server_id, None)
            case RegistryInterrupted():
                self._versions.interrupt()
            case RegistryListed():
                self._versions.restore(now)
            case MembershipChanged(member_by_id):
                self._ranking = ReaderRanking.from_members(member_by_id)
            case DesiredState() as desired:
                self._update_stream_time(desired)

    def _update_server(self, record: ServerRecord, now: float) -> None:
        server_id, version = record.server_id, record.software_version
        known = self._version_by_server.get(server_id, version)
        self._version_by_server[server_id] = version
        self._versions.update(server_id, record.service, version, now)
        if known != version:
            self._withdraw(record, now)
        self._track_mixed(record.service, now)

    def _withdraw(self, record: ServerRecord, now: float) -> None:
        """Mark the streams as doubtful that may have begun at a restarted server.

        The server has started again under its id with another version, and the entry
        that says so has arrived only now.
        """
        since = float("-inf")
        if record.holdings.born_ms is not None:
            age_s = max(self._wall_clock() - record.holdings.born_ms / 1000, 0.0)
            since = now - age_s - CLOCK_MARGIN_S
        for stream in list(self._own.at_server(record.server_id, since)):
            self._table.add(stream.service, "", stream.key)
            self._queue(stream.service, "", stream.key)

    def _update_stream_time(self, desired: DesiredState) -> None:
        timeouts_s = [
            route.timeout_s
            for routes in desired.routes_by_host.values()
            for route in routes
            if route.kind is RouteKind.STREAM
        ]
        if timeouts_s:
            self._versions.stream_s = STREAM_TIMEOUT_RATIO * max(timeouts_s)


def _found(version: str) -> StreamOriginFound | StreamOriginUnknown:
    return StreamOriginFound(version) if version else StreamOriginUnknown()
