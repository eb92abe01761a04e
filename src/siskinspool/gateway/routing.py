"""The ``routing`` decision: which server gets a request, and which requests wait.

A request is sent to the open server of its service that holds its model and has the
lowest estimated time to a first event. If none holds it, a placement request is sent to
the leader and the request waits; the leader's answer states whether waiting can
succeed. Waiting requests are served in the order of priority and arrival, each for at
most its maximum wait.

Rules enforced here: no request is sent to a server that is draining, whose zone is
evacuated or whose registry entry was removed; a cold server gets at most this gateway's
share of the rate that it can handle; repeats stay within this gateway's share of the
retry budget.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Sequence
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.errors import ErrorCode
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..duties.duty_messages import GetWork, WorkObserved
from ..fairness.fair_policy import FairPolicy
from ..fairness.overload_policy import OverloadPolicy
from ..fairness.priority_policy import PriorityPolicy
from ..fairness.retry_advice import RefusedRequest
from ..fairness.server_places import StatedLoad
from ..fairness.usage_messages import TeamUsageReport
from ..fairness.waiting_order import WaitingEntry
from ..relay.relay_messages import RelayedSignal, RelayQuery
from ..server_signals.observations import Observation
from ..telemetry.logs import log_event
from .bounds import Bounds
from .choice_explanation import ExplainChoice
from .demand_reporter import DEMAND_INTERVAL_S, DemandReporter
from .desired_state import DesiredState
from .messages import (
    PLACEMENT_TASK,
    ROUTING_TASK,
    AnswerHeadReceived,
    AssignRefused,
    AssignServer,
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    LeaderChanged,
    ModelExpected,
    ModelReady,
    ModelUnloading,
    PlacementRequest,
    RequestCancelled,
    ServerAssigned,
    ServerBlocked,
)
from .relay_requests import RelayRequests
from .requester_tracker import RequesterTracker, pop_fresh_reach, requests_waiting_for
from .scheduling_settings import SchedulingSettings
from .server_candidates import ServerCandidates
from .server_selection import selection_for
from .server_view import ServerView
from .server_views import ServerViews
from .servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerRecord,
    ServerRemoved,
    ZoneEvacuated,
)
from .shared_retry_budget import SharedRetryBudget
from .waiting_request import TargetKey, WaitingRequest
from .work_observation import observe_work

logger = logging.getLogger(__name__)

# A placement request for a model is repeated after this time.
PLACEMENT_REQUEST_INTERVAL_S: Final = 0.25
# While the model is expected, the request is repeated less often: after this share of
# the expected time, and well before the leader drops a placement request (3 s).
EXPECTED_PAUSE_SHARE: Final = 0.33
MAX_EXPECTED_PAUSE_S: Final = 1.0
# Waiting requests are checked at least this often, since the end of a server's pause
# is not signalled.
WAITING_CHECK_INTERVAL_S: Final = 0.05
# The same after a request has arrived behind others; it limits how often a long line is
# gone through.
QUEUED_CHECK_DELAY_S: Final = 0.01
# How much longer a load may take than the leader expects: at least this, or a share of
# the expected time. Waiting without success costs more than an immediate refusal.
LOAD_MARGIN_S: Final = 0.2
LOAD_MARGIN_SHARE: Final = 0.25
# The same share for an in-flight load, whose remaining time is known.
IN_FLIGHT_LOAD_MARGIN_SHARE: Final = 0.03


class Routing(Decision):
    """Assigns requests to servers and queues those that must wait."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        bounds: Bounds,
        scheduling: SchedulingSettings,
        rng: random.Random | None = None,
    ) -> None:
        """Initialize with this gateway's id and zone and the settings of the site.

        Without a random source, one is seeded with the id, so runs can be repeated.
        """
        self._id = instance_id
        self._retry_budget = SharedRetryBudget(bounds.retry)
        self._views = ServerViews(instance_id, bounds)
        self._relay_requests = RelayRequests(self._views)
        rng = rng or random.Random(instance_id)
        self._candidates = ServerCandidates(
            self._views, selection_for(scheduling, zone, rng), scheduling.adaptive_pace
        )
        self._leader_id: str | None = None
        # The previous leader, whose term may not have ended yet while the next waits.
        self._previous_leader_id: str | None = None
        self._policy: OverloadPolicy = (
            FairPolicy(instance_id) if scheduling.fair_queueing else PriorityPolicy()
        )
        self._requesters = RequesterTracker(self._policy)
        # When a placement request for each (service, model, adapter) is due again.
        self._next_request_at_by_target: dict[tuple[str, str, str], float] = {}
        self._demand = DemandReporter()
        # Requests that were refused because all servers of their service were paused.
        self._paused_refusals = 0
        # When waiting requests are checked next.
        self._next_check_at = 0.0

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a request, the end of a send or a change of state."""
        match incoming.message:
            case AssignServer() as call:
                return self._assign_or_wait(incoming.sender, call, now)
            case RequestCancelled(request_id):
                self._requesters.remove(request_id)
                self._views.forget_request(request_id)
                self._policy.forget_request(request_id)
                return []
            case FirstEventReceived(request_id, server_id, load):
                if view := self._views.by_id.get(server_id):
                    view.record_first_event(request_id, load, now)
                self._policy.record_first_event(request_id)
                return []
            case TeamUsageReport() as report:
                self._policy.record_report(report, now)
                return []
            case AnswerHeadReceived() as received:
                if received.request_id:
                    self._views.brittle.observe(
                        received.observation.start, received.max_rejections_per_s
                    )
                return self._on_answer_head(received.observation, now)
            case RelayQuery() as query:
                answer = self._relay_requests.answer(query, now)
                return [Outgoing(incoming.sender, answer)]
            case RelayedSignal() as signal:
                stated = self._relay_requests.stated(signal, now)
                return [] if stated is None else self._on_answer_head(stated, now)
            case GetWork():
                return [Outgoing(incoming.sender, self._observe_work())]
            case AttemptEnded() as ended:
                self._on_attempt_ended(ended, now)
            case ExplainChoice() as question:
                return [
                    Outgoing(incoming.sender, self._candidates.explain(question, now))
                ]
            case other:
                self._handle_change(other, now)
        return self._serve_waiting(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Serve or refuse waiting requests and report the demand."""
        batch = self._serve_waiting(now)
        batch += self._refuse_hopeless(now)
        batch += self._exchange_usage(now)
        for waiting in list(self._requesters.waiting_by_id.values()):
            if waiting.give_up_at <= now:
                batch.append(self._refuse(waiting, "no server was free in time", now))
        if now >= self._demand.next_at:
            self._demand.next_at = now + DEMAND_INTERVAL_S
            batch += self._report_demand(now)
        batch += self._to_leaders(self._requesters.pop_changes(now))
        self._views.drop_removed(now)
        return batch

    def wake_at(self) -> float | None:
        """Return when the next action is due."""
        due = min(
            self._demand.next_at,
            self._requesters.wake_at(),
            self._policy.next_exchange_at,
        )
        if self._requesters.waiting_by_id:
            soonest = min(
                item.give_up_at for item in self._requesters.waiting_by_id.values()
            )
            due = min(due, soonest, self._next_check_at)
        return due

    def status(self, now: float) -> Status:
        """Return servers and waiting requests."""
        return {
            "leader": self._leader_id,
            "servers": {
                server_id: {
                    "zone": view.record.zone,
                    "open": view.is_open(now),
                    "own_requests": len(view.in_flight_by_request),
                    "signals": self._views.signals.status(view.start, now),
                    "models": sorted(view.record.holdings.model_by_name),
                }
                for server_id, view in self._views.by_id.items()
            },
            "waiting": len(self._requesters.waiting_by_id),
            "evacuated_zones": sorted(self._views.evacuated_zones),
        }

    def gauges(self) -> dict[str, float]:
        """Return the numbers of servers and waiting requests."""
        return {
            "routing.servers": float(len(self._views.by_id)),
            "routing.waiting": float(len(self._requesters.waiting_by_id)),
            "routing.paused_refusals": float(self._paused_refusals),
            **self._views.signals.gauges(),
            **self._views.brittle.gauges(),
            **self._policy.gauges(),
        }

    # Requests

    def _assign_or_wait(
        self, sender: Address, call: AssignServer, now: float
    ) -> list[Outgoing]:
        if call.repeat:
            members = len(self._views.member_ids)
            if not self._retry_budget.try_spend(call.service, members, now):
                refused = AssignRefused(
                    ErrorCode.SERVER_FAILED, "the retry budget is used up", 1.0
                )
                return [Outgoing(sender, refused)]
        else:
            self._retry_budget.count_request(call.service, now)
            self._demand.count_request(call, now)
        waiting = self._requesters.new_request(sender, call, now)
        if waiting.is_fresh:
            self._demand.count_requester(call, now)
        if self._policy.must_queue(waiting.entry, self._waiting_entries()):
            self._requesters.add(waiting)
            due_at = now + QUEUED_CHECK_DELAY_S
            self._next_check_at = min(self._next_check_at, due_at)
            return []
        assigned = self._assign(waiting, now)
        if assigned is not None:
            self._policy.order.record_served(waiting.entry)
            return [assigned]
        refusal = self._refuse_if_cannot_go_on(waiting, now)
        refusal = refusal or self._refuse_if_paused(waiting, now)
        if refusal is not None:
            return [refusal]
        self._requesters.add(waiting)
        self._next_check_at = now + WAITING_CHECK_INTERVAL_S
        return self._request_placement(call, now)

    def _waiting_entries(self) -> list[WaitingEntry]:
        return [item.entry for item in self._requesters.waiting_by_id.values()]

    def _serve_waiting(self, now: float) -> list[Outgoing]:
        if not self._requesters.waiting_by_id:
            return []
        self._next_check_at = now + WAITING_CHECK_INTERVAL_S
        batch: list[Outgoing] = []
        # Targets that no server can take now, whatever the request excludes.
        blocked_targets: set[TargetKey] = set()

        def try_serve(entry: WaitingEntry) -> bool:
            waiting = self._requesters.waiting_by_id[entry.request_id]
            if waiting.target in blocked_targets:
                return False
            assigned = self._assign(waiting, now)
            if assigned is None:
                is_for_any = not waiting.call.excluded and (
                    not waiting.call.software_version
                )
                if is_for_any and self._policy.blocks_target(entry, now):
                    blocked_targets.add(waiting.target)
                batch.extend(self._request_placement(waiting.call, now))
                return False
            self._requesters.remove(entry.request_id)
            batch.append(assigned)
            return True

        entries = self._waiting_entries()
        self._policy.start_pass(entries)
        self._policy.order.serve(entries, try_serve)
        return batch

    def _assign(self, waiting: WaitingRequest, now: float) -> Outgoing | None:
        call = waiting.call
        view = self._choose_server_with_place(waiting, now)
        if view is None:
            return None
        if view.is_cold(now):
            view.cold_bucket.try_take(1, now)
        view.record_sent(call, now)
        self._policy.record_sent(waiting.entry, view.record.server_id, now)
        record = view.record
        log_event(
            logger,
            logging.INFO,
            "server_assigned",
            request=call.request_id,
            server=record.server_id,
            software=record.software_version,
            model=call.model,
            adapter=call.adapter,
            waited_s=now - waiting.since,
            own=len(view.in_flight_by_request),
            failures=view.current_failures(now),
            repeat=call.repeat,
        )
        assigned = ServerAssigned(
            record.server_id,
            record.host,
            record.port,
            record.holdings.born_ms,
            record.software_version,
        )
        return Outgoing(waiting.sender, assigned)

    def _choose_server_with_place(
        self, waiting: WaitingRequest, now: float
    ) -> ServerView | None:
        """Return the best server that has a place, or None if there is none."""
        call = waiting.call

        full = self._policy.full_servers(
            waiting.entry, lambda: self._candidates.count(call, now), now
        )
        if not full:
            return self._candidates.choose(call, now)
        excluded = attrs.evolve(call, excluded=call.excluded | full)
        view = self._candidates.choose(excluded, now)
        if view is None or view.record.server_id not in call.avoided:
            return view
        # A full server is better than one at which the request has failed.
        best = self._candidates.choose(call, now)
        return view if best is view else None

    def _on_attempt_ended(self, ended: AttemptEnded, now: float) -> None:
        view = self._views.by_id.get(ended.server_id)
        if view is None:
            self._policy.forget_request(ended.request_id)
            return
        if ended.result is AttemptResult.ANSWERED:
            self._demand.record_answer(view, ended.request_id, now)
        view.record_end(
            ended.request_id,
            ended.result,
            ended.load,
            now,
            ended.event_count,
            has_signal=ended.has_signal,
        )
        self._record_rejection(view, ended, now)
        stated = None
        if (load := ended.load) is not None:
            count = load.running + load.waiting
            stated = StatedLoad(
                server_id=ended.server_id, count=count, slots=load.slots
            )
        has_run = ended.result is AttemptResult.ANSWERED
        self._policy.record_end(ended.request_id, stated, now, has_run=has_run)

    def _record_rejection(
        self, view: ServerView, ended: AttemptEnded, now: float
    ) -> None:
        """Record a rejection for want of room, which brittle servers count."""
        if ended.result is not AttemptResult.REJECTED:
            return
        self._views.brittle.observe(view.start, ended.max_rejections_per_s)
        member_count = len(self._views.member_ids)
        self._views.brittle.record_rejected(view.start, member_count, now)

    def _on_answer_head(self, observation: Observation, now: float) -> list[Outgoing]:
        signals = self._views.signals
        if not signals.observe(observation):
            return []
        start = observation.start
        blocked = ServerBlocked(start, signals.opens_at(start, now))
        batch = [Outgoing(Address(self._id, PLACEMENT_TASK), blocked)]
        return batch + self._refuse_paused(now) + self._serve_waiting(now)

    def _refuse_paused(self, now: float) -> list[Outgoing]:
        """Refuse the waiting requests that no server can take in time."""
        waiting_requests = list(self._requesters.waiting_by_id.values())
        refused = [self._refuse_if_paused(item, now) for item in waiting_requests]
        return [outgoing for outgoing in refused if outgoing is not None]

    def _refuse_if_paused(self, waiting: WaitingRequest, now: float) -> Outgoing | None:
        """Refuse a request if all servers of its service are paused for too long."""
        call = waiting.call
        until = self._views.paused_until(call.service, call.excluded, now)
        if until is None or until <= waiting.give_up_at:
            return None
        waiting.ready_at = until
        self._paused_refusals += 1
        return self._refuse(waiting, "its servers were paused", now)

    def _refuse_if_cannot_go_on(
        self, waiting: WaitingRequest, now: float
    ) -> Outgoing | None:
        """Refuse a stream that can go on at no server of its software version."""
        call = waiting.call
        if not call.software_version or self._views.has_holder_of_version(call, now):
            return None
        return self._refuse(waiting, "no server of its version holds the model", now)

    def _refuse(self, waiting: WaitingRequest, detail: str, now: float) -> Outgoing:
        wait_s = self._policy.expected_wait_s(waiting.call.request_id)
        refused = RefusedRequest(
            request_id=waiting.call.request_id,
            ready_at=waiting.ready_at,
            place_at=None if wait_s is None else now + wait_s,
            remaining_s=waiting.remaining_s(now),
        )
        retry_after_s = self._policy.advice.retry_after_s(refused, now)
        self._policy.record_refused(
            waiting.entry, retry_after_s, now, will_retry=waiting.will_retry
        )
        self._requesters.refuse(waiting, retry_after_s, now)
        log_event(
            logger,
            logging.INFO,
            "no_server",
            request=waiting.call.request_id,
            model=waiting.call.model,
            adapter=waiting.call.adapter,
            waited_s=now - waiting.since,
            leader=self._leader_id,
            expected_in_s=None if waiting.ready_at is None else waiting.ready_at - now,
            place_in_s=wait_s,
            retry_after_s=retry_after_s,
            detail=detail,
        )
        return Outgoing(
            waiting.sender,
            AssignRefused(ErrorCode.NO_SERVER, detail, retry_after_s),
        )

    def _refuse_hopeless(self, now: float) -> list[Outgoing]:
        """Refuse the requests that get no place before they give up."""
        if not self._policy.is_forecast_due(now):
            return []
        waiting_requests = list(self._requesters.waiting_by_id.values())
        call_by_target = {waiting.target: waiting.call for waiting in waiting_requests}
        held_targets = {
            target
            for target, call in call_by_target.items()
            if self._candidates.count(call, now)
        }
        held = [
            waiting.entry
            for waiting in waiting_requests
            if waiting.target in held_targets
        ]
        self._policy.update_forecast(held, now)
        return [
            self._refuse(waiting, "no place is expected in time", now)
            for waiting in waiting_requests
            if self._policy.is_hopeless(
                waiting.call.request_id, waiting.give_up_at, now
            )
        ]

    def _exchange_usage(self, now: float) -> list[Outgoing]:
        """Tell another gateway what teams use."""
        if now < self._policy.next_exchange_at:
            return []
        sent = self._policy.exchange_usage(now)
        if sent is None:
            return []
        return [Outgoing(Address(sent.recipient_id, ROUTING_TASK), sent.report)]

    # Models

    def _request_placement(self, call: AssignServer, now: float) -> list[Outgoing]:
        """Send a placement request for a model that no open server holds."""
        has_no_leader = self._leader_id is None and self._previous_leader_id is None
        if not call.model or has_no_leader:
            return []
        key = (call.service, call.model, call.adapter)
        if now < self._next_request_at_by_target.get(key, now):
            return []
        if self._candidates.count(call, now):
            return []
        if self._views.is_holder_back_soon(call.model, call.adapter, now):
            return []
        self._next_request_at_by_target[key] = now + PLACEMENT_REQUEST_INTERVAL_S
        waiting = requests_waiting_for(key, self._requesters.waiting_by_id.values())
        placement_request = PlacementRequest(
            *key,
            near_server=self._candidates.preferred_for_adapter(call, now),
            waiting=len(waiting),
            silent_servers=self._candidates.silent_servers(call, now),
            reach_s=self._requesters.report(key, now),
            fresh_reach_s=pop_fresh_reach(waiting, now),
        )
        return self._to_leaders([placement_request])

    def _to_leaders(self, batch: Sequence[Message]) -> list[Outgoing]:
        """Address messages to the leader and the previous leader."""
        return [
            Outgoing(Address(leader, PLACEMENT_TASK), message)
            for leader in {self._leader_id, self._previous_leader_id}
            if leader is not None
            for message in batch
        ]

    def _on_model_ready(self, ready: ModelReady, now: float) -> None:
        if not ready.adapter:
            # An adapter can be requested as soon as its model is ready. The model
            # itself is not requested at once: if its server is not open to this
            # gateway, request and answer would follow each other without a pause.
            for key in self._next_request_at_by_target:
                if key[1] == ready.model and key[2]:
                    self._next_request_at_by_target[key] = now
        view = self._views.by_id.get(ready.server_id)
        if view is not None:
            view.record_held(ready.model, ready.adapter, now)

    def _on_model_expected(self, expected: ModelExpected, now: float) -> None:
        """Refuse at once the requests that cannot wait for the expected time."""
        # The leader notifies when the model is ready; repeating the placement request
        # only keeps it from expiring.
        pause_s = min(expected.in_s * EXPECTED_PAUSE_SHARE, MAX_EXPECTED_PAUSE_S)
        next_request_at = now + max(pause_s, PLACEMENT_REQUEST_INTERVAL_S)
        ready_at = now + expected.in_s
        margin_share = (
            IN_FLIGHT_LOAD_MARGIN_SHARE if expected.is_loading else LOAD_MARGIN_SHARE
        )
        margin_s = max(LOAD_MARGIN_S, expected.in_s * margin_share)
        for waiting in self._requesters.waiting_by_id.values():
            call = waiting.call
            if (call.model, call.adapter) != (expected.model, expected.adapter):
                continue
            waiting.ready_at = ready_at
            key = (call.service, call.model, call.adapter)
            self._next_request_at_by_target[key] = next_request_at
            if ready_at + margin_s > waiting.give_up_at:
                waiting.give_up_at = now

    def _report_demand(self, now: float) -> list[Outgoing]:
        if self._leader_id is None:
            return []
        recipient = Address(self._leader_id, PLACEMENT_TASK)
        reports = self._demand.pop_reports(self._views.by_id.values(), now)
        return [Outgoing(recipient, report) for report in reports]

    def _observe_work(self) -> WorkObserved:
        waiting = self._requesters.waiting_by_id.values()
        return observe_work(self._views.by_id.values(), waiting)

    # Changes

    def _handle_change(self, message: object, now: float) -> None:
        match message:
            case ServerRecord() as record:
                self._views.update_record(record, now)
            case ServerRemoved(server_id):
                self._views.remove(server_id, now)
                self._policy.forget_server(server_id)
            case RegistryInterrupted():
                self._views.is_interrupted = True
            case RegistryListed():
                self._views.is_interrupted = False
            case ZoneEvacuated(zone, evacuated):
                self._views.set_evacuated(zone, evacuated)
            case DesiredState() as desired:
                self._views.set_desired(desired, now)
            case MembershipChanged(member_by_id):
                self._views.set_members(member_by_id, now)
                self._policy.set_members(self._views.member_ids)
            case LeaderChanged(leader_id):
                if self._leader_id is not None:
                    self._previous_leader_id = self._leader_id
                self._leader_id = leader_id
                self._next_request_at_by_target.clear()
                # A new leader starts without state and receives the recent past before
                # it may give orders.
                self._demand.restart_reports(now)
                self._demand.next_at = now
                self._requesters.restart_reports()
            case ModelReady() as ready:
                self._on_model_ready(ready, now)
            case ModelUnloading(model, server_id):
                if view := self._views.by_id.get(server_id):
                    view.record_missing(model, "", now)
            case ModelExpected() as expected:
                self._on_model_expected(expected, now)
