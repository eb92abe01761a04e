"""What a leader records in the platform's store for its successor.

A report says that a server is busy but not what it loads, and the number of loads that
the weight store can carry is estimated from their durations. So the leader writes both
to one key, which no task watches, when a load from the weight store begins. Beside them
it writes the requesters so far of the models without a copy, which nobody knows any
more if all gateways end at once. A new leader reads the key once. The
leader reads it again after an interruption of the registry, in which the store may have
lost the record. An entry is used only if the server reports the same start time and
order count, so stale entries do no harm.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Annotated, Final

import attrs
import msgspec

from ..core.malformed import MALFORMED_ERRORS, Count
from ..core.message import Message
from ..links.codec import wire
from ..store.keys import ROOT
from ..store.kv import KvConflict, KvGet, KvReply, KvSwap, KvSwapped, KvValue
from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

LEDGER_KEY: Final = f"{ROOT}placement/loads"
# A request without an answer is repeated after this time.
RETRY_S: Final = 1.0
# Upper bound of a limit that is accepted from the ledger.
MAX_LIMIT: Final = 1_000


@attrs.frozen
class LoadEntry:
    """An in-flight load from the weight store."""

    server_id: str
    # Start time of the server, in Unix milliseconds. A restart resets its order count.
    born_ms: int | None
    model: str
    # Orders that the server has accepted since its start, including this one.
    order_count: int
    # Expected end in seconds of Unix time. Instances' clocks may differ by seconds.
    ends_at_unix_s: int = attrs.field(eq=False)

    def is_later_than(self, other: LoadEntry) -> bool:
        """Return whether the order of this load was accepted after that of another."""
        own = (self.born_ms or 0, self.order_count)
        return own > (other.born_ms or 0, other.order_count)


@attrs.frozen
class ServiceLoads:
    """The loads of one service from the weight store."""

    # Number of parallel loads that the weight store carries at full speed.
    limit: int
    loads: frozenset[LoadEntry]


@attrs.frozen
class ServiceRecord(ServiceLoads):
    """What the ledger holds of one service."""

    # The highest number of parallel loads that have run at full speed; 0 if unknown.
    proven_concurrency: int = 0
    # Requesters so far of models without a copy, decayed to the time of the record.
    requesters_by_model: dict[str, float] = attrs.field(factory=dict)
    # In seconds of Unix time; 0 if not recorded.
    recorded_at_unix_s: int = 0


LoadsByService = dict[str, ServiceLoads]
RecordsByService = dict[str, ServiceRecord]


@wire
@attrs.frozen
class LoadsHandedOver(Message):
    """The in-flight loads known to the sender, sent to its successor as leader.

    A leader that is cut off from the platform's store cannot write its ledger there.
    """

    loads_by_service: LoadsByService


class _Entry(msgspec.Struct):
    server_id: str
    born_ms: Count | None
    model: str
    order_count: Count
    ends_at_unix_s: Count


class _Service(msgspec.Struct, omit_defaults=True):
    limit: Annotated[int, msgspec.Meta(le=MAX_LIMIT)]
    loads: list[_Entry]
    proven_concurrency: Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT)] = 0
    requesters_by_model: dict[str, Annotated[float, msgspec.Meta(ge=0)]] = {}
    recorded_at_unix_s: Count = 0


class LoadLedger:
    """Reads and writes the ledger; its requests go to the task ``kv``."""

    def __init__(self) -> None:
        # None while the revision is unknown.
        self._revision: int | None = None
        # Whether the key still holds what an earlier leader wrote.
        self._is_inherited = False
        self._written: dict[str, ServiceLoads] = {}
        self._requested_at = float("-inf")
        self._is_request_pending = False
        self._next_request = 0

    def begin_term(self, now: float) -> Message:
        """Return the request that reads what an earlier leader has written."""
        self._revision = None
        self._is_inherited = True
        self._written = {}
        return self._start_request(KvGet(self._request_id(), LEDGER_KEY), now)

    def read_again(self) -> None:
        """Compare the store's record with what was written, before the next write.

        A store that has returned from an older copy holds an older record.
        """
        self._revision = None

    def handle_reply(self, reply: KvReply) -> RecordsByService:
        """Handle a reply; return the earlier leader's record when first read."""
        if not reply.request_id.endswith(f"-{self._next_request}"):
            return {}
        match reply:
            case KvValue(_, _, value, revision) | KvConflict(_, _, value, revision):
                self._is_request_pending = False
                is_first, self._is_inherited = self._is_inherited, False
                self._revision = revision
                records = {} if value is None else decode_loads(value)
                self._written = dict(records)
                return records if is_first else {}
            case KvSwapped(_, _, revision):
                self._is_request_pending = False
                self._revision = revision
            case _:
                # The outcome is unknown, so the key is read again after a while.
                self._revision = None
        return {}

    def write(
        self,
        loads: LoadsByService,
        now: float,
        complete: Callable[[LoadsByService], RecordsByService],
    ) -> Message | None:
        """Return the request that is due, if any: a write of new loads or a read.

        ``complete`` adds what else is recorded, and is called only for a write.
        """
        if self._is_request_pending and now < self._requested_at + RETRY_S:
            return None
        if self._is_request_pending or self._revision is None:
            return self._start_request(KvGet(self._request_id(), LEDGER_KEY), now)
        if all(
            (written := self._written.get(service)) is not None
            and written.limit == service_loads.limit
            and written.loads >= service_loads.loads
            for service, service_loads in loads.items()
        ):
            return None
        self._written = loads
        value = encode_loads(complete(loads))
        swap = KvSwap(self._request_id(), LEDGER_KEY, self._revision, value)
        return self._start_request(swap, now)

    def _request_id(self) -> str:
        self._next_request += 1
        return f"loads-{self._next_request}"

    def _start_request(self, request: Message, now: float) -> Message:
        self._is_request_pending, self._requested_at = True, now
        return request


def encode_loads(record_by_service: RecordsByService) -> bytes:
    """Encode the records as JSON."""
    return msgspec.json.encode(
        {
            service: _Service(
                record.limit,
                [
                    _Entry(**attrs.asdict(entry))
                    for entry in sorted(record.loads, key=lambda one: one.server_id)
                ],
                record.proven_concurrency,
                record.requesters_by_model,
                record.recorded_at_unix_s,
            )
            for service, record in record_by_service.items()
        }
    )


def decode_loads(value: bytes) -> RecordsByService:
    """Decode a ledger value; log a warning and return nothing if it is malformed."""
    try:
        services = msgspec.json.decode(value, type=dict[str, _Service])
    except MALFORMED_ERRORS as error:
        log_event(logger, logging.WARNING, "load_ledger_unreadable", error=str(error))
        return {}
    return {
        name: ServiceRecord(
            service.limit,
            frozenset(
                LoadEntry(**msgspec.structs.asdict(entry)) for entry in service.loads
            ),
            service.proven_concurrency,
            service.requesters_by_model,
            service.recorded_at_unix_s,
        )
        for name, service in services.items()
        if service.limit >= 1
    }
