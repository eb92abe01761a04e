"""Routing of calls to servers and plain services (R3, R6, R7, R11).

A call is dispatched at once if a server is free and no earlier call in its queue can
use it; otherwise it waits. Whenever a server may have become available, the queues are
processed again, so that a server is always chosen with the state at dispatch. A waiting
call ends in exactly one way: dispatched, refused early because its deadline cannot be
met, refused at its deadline, or cancelled by its caller.

Calls that wait for a model or adapter create a demand, which is sent to the placement
owner.
"""

from __future__ import annotations

import random
from typing import Final

import attrs

from ..contracts.call_queue import QueuedCall
from ..core.decision import Decision
from ..core.errors import ErrorCode, InvariantError
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..manifest.model import Catalog, RequestClass
from ..relay.relay_messages import (
    ReachChanged,
    RelayDenied,
    RelayedSignal,
    RelayGranted,
    RelayQuery,
)
from ..server_signals.observations import Observation, observation
from .call_targets import ReplicaTarget, Target, resolve_target
from .candidate import CandidateChooser, ServerRun, TwoRandomChoices
from .known_servers import Backend, KnownServers
from .messages import (
    CatalogChanged,
    LeavingChanged,
    OwnersChanged,
    RampSlots,
    ReplicaPlanned,
    ReplicaRefused,
    ReplicaRequest,
    ServerReport,
)
from .replica_demand import ReplicaDemand, ReplicaDemands
from .replica_usage import ReplicaUsage, UsageKey
from .routing_messages import (
    CallAnswered,
    CallCancelled,
    CallDispatched,
    CallEnded,
    CallRefused,
    CallResult,
    PrefixHint,
    RouteCall,
)
from .wait_estimator import WaitEstimator
from .waiting_calls import QueueFactory, RoutedCall, WaitingCalls, priority_key

# A request ends at most this long after its deadline. If a call has no `CallEnded` by
# then, its handler is gone, and its concurrency is freed.
FINISH_MARGIN_S: Final = 60.0
SWEEP_INTERVAL_S: Final = 5.0


@attrs.frozen
class RunningCall:
    """A dispatched call."""

    call: RoutedCall
    backend: Backend
    sent_at: float


@attrs.frozen
class CandidateRequirements:
    """The properties of a call that determine whether it has a candidate."""

    target: Target
    excluded_server_ids: frozenset[str]


class Routing(Decision):
    """Routes the calls of one instance."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        queue_factory: QueueFactory,
        rng: random.Random,
        chooser: CandidateChooser | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._servers = KnownServers(zone, rng)
        self._chooser = chooser or TwoRandomChoices(rng)
        self._waiting = WaitingCalls(queue_factory)
        self._running_by_id: dict[str, RunningCall] = {}
        self._demands = ReplicaDemands()
        self._usage = ReplicaUsage()
        self._owner_by_partition: dict[str, str] = {}
        self._expected_wait = WaitEstimator(self._servers, self._waiting, self._demands)
        self._next_sweep_at = 0.0
        # All calls go through other instances.
        self._is_cut_off = False
        # Time of the last step, to compare with the probe times of circuit breakers.
        self._last_step_at = 0.0

    @property
    def open_call_count(self) -> int:
        """Return the number of waiting and running calls."""
        return len(self._waiting) + len(self._running_by_id)

    @property
    def is_idle(self) -> bool:
        """Return whether no call, demand or replica usage is recorded."""
        return not (self.open_call_count or len(self._demands) or len(self._usage))

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a message from a request handler, a peer or another task."""
        self._last_step_at = now
        message = incoming.message
        match message:
            case RouteCall():
                return self._handle_route_call(message, incoming.sender, now)
            case CallEnded():
                return self._handle_call_ended(message, now)
            case CallAnswered(stated):
                return self._handle_stated(stated, now)
            case ReachChanged():
                return self._handle_reach(message, now)
            case RelayedSignal():
                return self._handle_relayed_signal(message, now)
            case RelayQuery():
                return [Outgoing(incoming.sender, self._answer_query(message, now))]
            case CallCancelled():
                return self._handle_cancelled(message, now)
            case CatalogChanged():
                return self._handle_catalog(message.catalog, now)
            case OwnersChanged():
                return self._handle_owners(message, now)
            case ReplicaPlanned():
                return self._handle_plan(message, now)
            case ReplicaRefused():
                self._demands.record_refusal(message, now)
                return []
            case PrefixHint():
                self._servers.record_prefix_hint(message, now)
                return []
        if self._handle_server_change(message, now):
            return self._dispatch_all(now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Refuse expired calls, dispatch queues, repeat demands and report usage."""
        self._last_step_at = now
        batch = (
            self._release_lost_calls(now)
            + self._refuse_expired(now)
            + self._dispatch_all(now)
        )
        return batch + self._request_replicas(now) + self._report_usage(now)

    def status(self, now: float) -> Status:
        """Return servers, queues and the number of running calls."""
        return {
            **self._servers.status(now),
            "queues": self._waiting.counts_by_queue(),
            "running": len(self._running_by_id),
        }

    def gauges(self) -> dict[str, float]:
        """Return the numbers of running and waiting calls."""
        running, waiting = len(self._running_by_id), len(self._waiting)
        counts: dict[str, float] = {"calls.running": running, "calls.waiting": waiting}
        return counts | self._servers.signals.gauges()

    def wake_at(self) -> float | None:
        """Return when `on_time` is due next."""
        times = [self._waiting.next_deadline(), self._demands.next_due_at()]
        times.append(self._usage.next_due_at())
        times.append(self._next_sweep_at if self._running_by_id else None)
        times.append(self._next_probe_at())
        times.append(self._next_opening_at())
        return min((at for at in times if at is not None), default=None)

    # Calls

    def _handle_route_call(
        self, request: RouteCall, reply_to: Address, now: float
    ) -> list[Outgoing]:
        call_id = request.call_id
        if call_id in self._waiting or call_id in self._running_by_id:
            return [_refusal(reply_to, call_id, ErrorCode.INTERNAL, "call id in use")]
        target = resolve_target(self._servers.catalog, request.target)
        if target is None:
            return [self._refuse_unknown(reply_to, call_id)]
        if request.deadline_in_s <= 0:
            detail = "the deadline passed before routing"
            return [_refusal(reply_to, call_id, ErrorCode.DEADLINE_PASSED, detail)]
        call = RoutedCall(request, reply_to, target, now + request.deadline_in_s)
        batch = self._refuse_queue_full(self._waiting.add(call, now))
        if call_id not in self._waiting:
            return batch
        if self._servers.candidates(target, request, now):
            batch += self._dispatch_queue(target.queue_name, now)
        if call_id in self._waiting:
            batch += self._wait_for_server(call, now)
        return batch

    def _refuse_queue_full(self, refused: RoutedCall | None) -> list[Outgoing]:
        """Refuse the call that was removed from a full queue."""
        if refused is None:
            return []
        call_id = refused.request.call_id
        self._demands.remove(refused.target, call_id)
        detail = "too many calls of this team wait"
        code = ErrorCode.QUEUE_FULL
        return [_refusal(refused.reply_to, call_id, code, detail, 1.0)]

    def _wait_for_server(self, call: RoutedCall, now: float) -> list[Outgoing]:
        self._demands.add(call.target, call.request.call_id, now)
        # The demand is sent before an early refusal, because the next call may have
        # a later deadline.
        return self._request_replicas(now) + self._refuse_unreachable(call, now)

    def _refuse_unknown(self, reply_to: Address, call_id: str) -> Outgoing:
        if self._servers.catalog.revision == 0:
            detail = "no configuration yet"
            return _refusal(reply_to, call_id, ErrorCode.NOT_CURRENT, detail, 1.0)
        detail = "no such model, adapter or route"
        return _refusal(reply_to, call_id, ErrorCode.UNKNOWN_MODEL, detail)

    def _handle_call_ended(self, message: CallEnded, now: float) -> list[Outgoing]:
        failed = {
            CallResult.OK: False,
            CallResult.CANCELLED: None,
            # Without paths to the servers, the loss of an answer shows no fault of one:
            # it was sent before the cut, or the instance that relayed it has ended.
            CallResult.FAILED: None if self._is_cut_off else True,
            CallResult.FAILED_BEFORE_SEND: True,
        }[message.result]
        return self._release_call(message.call_id, failed, now)

    def _handle_cancelled(self, message: CallCancelled, now: float) -> list[Outgoing]:
        call = self._waiting.cancel(message.call_id)
        if call is not None:
            self._demands.remove(call.target, call.request.call_id)
            return []
        # The call may have been dispatched before the cancellation arrived.
        return self._release_call(message.call_id, None, now)

    def _release_call(
        self, call_id: str, failed: bool | None, now: float
    ) -> list[Outgoing]:
        running = self._running_by_id.pop(call_id, None)
        if running is None:
            return []
        target = running.call.target
        running.backend.state.record_ended(call_id, failed, now)
        queue = self._waiting.queue_for(target)
        queue.running -= 1
        if failed is False:
            queue.record_service_time(now - running.sent_at)
            self._record_run(running, queue.mean_service_s, now)
        if isinstance(target, ReplicaTarget):
            self._usage.record_ended(UsageKey(target.key, running.backend.entity.id))
        return self._dispatch_queue(target.queue_name, now)

    def _record_run(
        self, running: RunningCall, mean_s: float | None, now: float
    ) -> None:
        took_s = now - running.sent_at
        run = ServerRun(
            server_id=running.backend.entity.id,
            boot_id=running.backend.state.boot_id,
            took_s=took_s,
            mean_s=took_s if mean_s is None else mean_s,
        )
        self._chooser.record_run(run)

    def _release_lost_calls(self, now: float) -> list[Outgoing]:
        if now < self._next_sweep_at:
            return []
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        lost = [
            call_id
            for call_id, running in self._running_by_id.items()
            if running.call.deadline_at + FINISH_MARGIN_S <= now
        ]
        return [
            out for call_id in lost for out in self._release_call(call_id, None, now)
        ]

    # Signals of servers, and calls that are relayed for other instances

    def _handle_stated(self, stated: Observation, now: float) -> list[Outgoing]:
        """Apply what the head of an answer states."""
        return self._dispatch_all(now) if self._servers.signals.observe(stated) else []

    def _handle_reach(self, change: ReachChanged, now: float) -> list[Outgoing]:
        """Use all servers again once it shows that the own paths were at fault."""
        self._is_cut_off = change.is_cut_off
        if not change.is_cut_off:
            return []
        self._servers.forget_failures()
        return self._dispatch_all(now)

    def _answer_query(
        self, query: RelayQuery, now: float
    ) -> RelayGranted | RelayDenied:
        """Return whether another instance's call may go out from here.

        The circuit breaker is not asked: it opens also if this instance has lost its
        path, which the other one learns only from an attempt to connect.
        """
        backend = self._servers.known_start(query.server_id, query.boot_id)
        if backend is None or not query.is_about(backend.start):
            return RelayDenied("the server is not known")
        if not self._servers.wants_requests(backend, now):
            return RelayDenied("the server is not open")
        self._servers.signals.record_sent(backend.start, now)
        return RelayGranted(backend.entity.host, backend.entity.port)

    def _handle_relayed_signal(
        self, signal: RelayedSignal, now: float
    ) -> list[Outgoing]:
        """Apply what a server has stated to this instance in a relayed answer."""
        backend = self._servers.known_start(signal.server_id, signal.boot_id)
        if backend is None:
            return []
        stated = observation(
            backend.start,
            now,
            is_leaving=signal.is_leaving,
            retry_after_s=signal.retry_after_s,
        )
        return self._handle_stated(stated, now)

    # Queues

    def _dispatch_all(self, now: float) -> list[Outgoing]:
        names = self._waiting.nonempty_queue_names()
        return [
            outgoing for name in names for outgoing in self._dispatch_queue(name, now)
        ]

    def _dispatch_queue(self, name: str, now: float) -> list[Outgoing]:
        """Dispatch the calls of a queue that have a candidate."""
        batch = self._refuse_expired(now)
        # Dispatching only uses up concurrency, so requirements without a candidate
        # remain without one.
        unmet: set[CandidateRequirements] = set()

        def admit(entry: QueuedCall) -> bool:
            call = self._waiting.get(entry.call_id)
            requirements = CandidateRequirements(
                call.target, call.request.excluded_server_ids
            )
            if requirements in unmet:
                return False
            if self._servers.candidates(call.target, call.request, now):
                return True
            unmet.add(requirements)
            return False

        while (call := self._waiting.pop(name, now, admit)) is not None:
            self._demands.remove(call.target, call.request.call_id)
            batch.append(self._dispatch(call, now))
        return batch

    def _dispatch(self, call: RoutedCall, now: float) -> Outgoing:
        candidates = self._servers.candidates(call.target, call.request, now)
        chosen = self._chooser.choose(candidates)
        if chosen is None:
            raise InvariantError(f"call {call.request.call_id} has no candidate")
        backend = self._servers.backend(call.target, chosen.server_id)
        call_id = call.request.call_id
        backend.state.record_sent(call_id, now)
        self._servers.signals.record_sent(backend.start, now)
        self._waiting.queue_for(call.target).running += 1
        self._running_by_id[call_id] = RunningCall(call, backend, now)
        if isinstance(call.target, ReplicaTarget):
            self._usage.record_sent(UsageKey(call.target.key, chosen.server_id), now)
        entity = backend.entity
        answer = CallDispatched(
            call_id, entity.id, entity.host, entity.port, backend.state.boot_id
        )
        return Outgoing(call.reply_to, answer)

    def _refuse_expired(self, now: float) -> list[Outgoing]:
        batch: list[Outgoing] = []
        for call in self._waiting.expire(now):
            reason = self._missing_replica_reason(call)
            self._demands.remove(call.target, call.request.call_id)
            detail = f"no server was free before the deadline{reason}"
            code = ErrorCode.DEADLINE_PASSED
            batch.append(_refusal(call.reply_to, call.request.call_id, code, detail))
        return batch

    def _missing_replica_reason(self, call: RoutedCall) -> str:
        demand = self._demands.for_target(call.target)
        if demand is None or not demand.refusal_reason:
            return ""
        return f"; no replica: {demand.refusal_reason}"

    def _refuse_unreachable(self, call: RoutedCall, now: float) -> list[Outgoing]:
        """Refuse a waiting call if no server is expected to be free by its deadline."""
        expected_at = self._expected_wait.estimated_dispatch_at(call, now)
        if expected_at <= call.deadline_at:
            return []
        self._waiting.cancel(call.request.call_id)
        self._demands.remove(call.target, call.request.call_id)
        wait_s = expected_at - now
        detail = f"a server is expected to be free in {wait_s:.1f} s"
        code = ErrorCode.DEADLINE_UNREACHABLE
        return [_refusal(call.reply_to, call.request.call_id, code, detail, wait_s)]

    # Replicas

    def _handle_plan(self, answer: ReplicaPlanned, now: float) -> list[Outgoing]:
        demand = self._demands.record_plan(answer, now)
        if demand is None:
            return []
        # Refuse from the end of the order: each refusal shortens the wait of others.
        calls = sorted(
            (self._waiting.get(c) for c in demand.call_ids), key=priority_key
        )
        return [
            outgoing
            for call in reversed(calls)
            for outgoing in self._refuse_unreachable(call, now)
        ]

    def _placement_address(self) -> Address | None:
        partition = f"placement/{self._servers.catalog.manifest.site.id}"
        owner = self._owner_by_partition.get(partition)
        return None if owner is None else Address(owner, "placement")

    def _request_replicas(self, now: float) -> list[Outgoing]:
        due = self._demands.pop_due(now)
        placement = self._placement_address()
        if placement is None:
            return []
        return [Outgoing(placement, self._build_request(demand, now)) for demand in due]

    def _build_request(self, demand: ReplicaDemand, now: float) -> ReplicaRequest:
        calls = [self._waiting.get(call_id) for call_id in demand.call_ids]
        urgent = any(c.request.request_class is RequestClass.URGENT for c in calls)
        return ReplicaRequest(
            demand.key.model,
            demand.key.adapter,
            RequestClass.URGENT if urgent else RequestClass.PATIENT,
            max(0.0, min(call.deadline_at for call in calls) - now),
            len(calls),
            sent_at=now,
        )

    def _report_usage(self, now: float) -> list[Outgoing]:
        batch = self._usage.pop_due(now)
        placement = self._placement_address()
        return [Outgoing(placement, used) for used in batch] if placement else []

    # Changes of servers, members, owners and the catalog

    def _handle_server_change(self, message: Message, now: float) -> bool:
        match message:
            case ServerReport():
                self._servers.handle_report(message, now)
            case RampSlots():
                self._servers.handle_ramp_slots(message, now)
            case LeavingChanged():
                self._servers.update_leaving(message)
            case MembershipChanged():
                self._servers.update_members(message)
            case _:
                return False
        return True

    def _handle_owners(self, change: OwnersChanged, now: float) -> list[Outgoing]:
        before = self._placement_address()
        self._owner_by_partition = change.owner_by_partition
        if self._placement_address() != before:
            self._demands.make_all_due(now)
        return self._request_replicas(now)

    def _handle_catalog(self, catalog: Catalog, now: float) -> list[Outgoing]:
        self._servers.update_catalog(catalog)
        backend_ids = catalog.server_by_id.keys() | catalog.service_by_id.keys()
        self._chooser.keep_only(frozenset(backend_ids))
        teams = catalog.manifest.teams
        self._waiting.set_weights({team.id: team.weight for team in teams})
        batch: list[Outgoing] = []
        for call in self._waiting.all_calls():
            target = resolve_target(catalog, call.request.target)
            if target == call.target:
                continue
            self._waiting.cancel(call.request.call_id)
            self._demands.remove(call.target, call.request.call_id)
            if target is None:
                batch.append(self._refuse_unknown(call.reply_to, call.request.call_id))
                continue
            updated = attrs.evolve(call, target=target)
            self._waiting.add(updated, now)
            self._demands.add(target, call.request.call_id, now)
        pools = {f"pool:{pool.id}" for pool in catalog.manifest.pools}
        routes = {f"route:{route_id}" for route_id in catalog.route_by_id}
        self._waiting.drop_unused_queues(pools | routes)
        return batch + self._dispatch_all(now) + self._request_replicas(now)

    def _next_probe_at(self) -> float | None:
        probes = (
            self._servers.next_probe_at(target, self._last_step_at)
            for target in self._waiting.targets()
        )
        return min((at for at in probes if at is not None), default=None)

    def _next_opening_at(self) -> float | None:
        openings = (
            self._servers.next_opening_at(target, self._last_step_at)
            for target in self._waiting.targets()
        )
        return min((at for at in openings if at is not None), default=None)


def _refusal(
    reply_to: Address,
    call_id: str,
    code: ErrorCode,
    detail: str,
    retry_after_s: float | None = None,
) -> Outgoing:
    return Outgoing(reply_to, CallRefused(call_id, code, detail, retry_after_s))
