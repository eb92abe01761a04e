"""State machine test of `Routing` with an independent model of what is allowed."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.core.message import Message
from siskinspool.machines.messages import (
    CatalogChanged,
    OwnersChanged,
    RampSlots,
    ReplicaPlanned,
    ReplicaRefused,
    ServerReport,
)
from siskinspool.machines.routing_messages import (
    CallCancelled,
    CallDispatched,
    CallEnded,
    CallRefused,
    CallResult,
    RouteCall,
)
from tests.builders_routing import (
    OWNERS,
    SERVERS,
    SERVICES,
    RoutingHarness,
    call,
    catalog,
    leaving,
    members,
    report,
    slots,
)

ZONE_BY_ID = {entity.id: entity.zone for entity in (*SERVERS, *SERVICES)}
# Most rules use the same server, so that short runs reach rare states.
SERVER_IDS = st.sampled_from(["s1", "s1", "s1", "s2", "s3"])
# None means the boot id of the last report.
BOOT_IDS = st.sampled_from([None, None, None, "b1", "b2"])
# Breakers, zones and servers are usable most of the time, or few calls are sent.
RESULTS = st.sampled_from([CallResult.OK] * 6 + list(CallResult))
NONE: frozenset[str] = frozenset()
CLOSED = st.sampled_from([NONE, NONE, NONE, frozenset("a"), frozenset("b")])
LEAVING = st.sampled_from([NONE, NONE, frozenset({"s1"}), frozenset({"s3", "v1"})])
ANSWERS = st.one_of(
    st.builds(
        ReplicaPlanned,
        st.just("m1"),
        st.sampled_from(["", "a1"]),
        SERVER_IDS,
        st.sampled_from([0.0, 1.0, 8.0]),
    ),
    st.builds(ReplicaRefused, st.just("m1"), st.just("a1"), st.just("full")),
)
ASKED = st.builds(
    call,
    target=st.sampled_from(["m1", "a1", "r1"]),
    deadline_in_s=st.sampled_from([0.0, 0.3, 2.0, 9.0, 40.0]),
    urgent=st.booleans(),
    team=st.sampled_from(["t1", "t2"]),
    idempotent=st.booleans(),
    excluded=st.sampled_from([NONE, frozenset({"s1", "v1"})]),
)
HELD = st.sampled_from([("m1", "a1"), ("m1",), ()])


@attrs.define
class SeenServer:
    """The state of a server according to the messages so far."""

    report: ServerReport | None = None
    measured_at: float = 0.0
    # Slots by boot id: (count, expiry); count None for no limit.
    slots_by_boot: dict[str, tuple[int | None, float]] = attrs.field(factory=dict)
    # Time of dispatch by call id.
    in_flight: dict[str, float] = attrs.field(factory=dict)
    # Times of dispatch and end of own calls that ended.
    ended_calls: list[tuple[float, float]] = attrs.field(factory=list)

    def load(self, running: int) -> int:
        """Return the reported calls plus own calls sent minus own calls ended since."""
        at = self.measured_at
        sent = sum(1 for sent_at in self.in_flight.values() if sent_at >= at)
        return running + sent - sum(1 for s, e in self.ended_calls if s < at < e)


class RoutingMachine(RuleBasedStateMachine):
    """Random traffic, reports, ramps and operator actions."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = RoutingHarness(seed=3)
        self.harness.observe = self.check_answer
        self.request_by_id: dict[str, RouteCall] = {}
        self.deadline_by_id: dict[str, float] = {}
        self.unanswered: set[str] = set()
        self.cancelled: set[str] = set()
        self.running: dict[str, str] = {}
        self.seen = {server.id: SeenServer() for server in SERVERS}
        self.closed: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.epoch = 0
        self.revision = 1
        for server_id in ("s1", "s2"):
            self.warm(server_id)

    # Checks of each answer

    def check_answer(self, message: Message) -> None:
        if not isinstance(message, CallDispatched | CallRefused):
            return
        assert message.call_id in self.unanswered, "second or unasked answer"
        assert message.call_id not in self.cancelled, "answer after cancellation"
        assert self.harness.now <= self.deadline_by_id[message.call_id] + 1e-6
        self.unanswered.remove(message.call_id)
        if isinstance(message, CallDispatched):
            self.check_dispatch(message)

    def check_dispatch(self, answer: CallDispatched) -> None:
        request = self.request_by_id[answer.call_id]
        server_id = answer.server_id
        assert ZONE_BY_ID[server_id] not in self.closed
        assert server_id not in self.leaving
        assert server_id not in request.excluded_server_ids
        self.running[answer.call_id] = server_id
        if server_id in self.seen:
            self.check_server(self.seen[server_id], request.target, answer)

    def check_server(
        self, seen: SeenServer, target: str, answer: CallDispatched
    ) -> None:
        assert seen.report is not None
        assert seen.report.boot_id == answer.boot_id
        assert self.harness.now - seen.measured_at <= 3.0 + 1e-6
        held = {replica.adapter or replica.model for replica in seen.report.replicas}
        assert target in held
        count, expires_at = seen.slots_by_boot[answer.boot_id]
        seen.in_flight[answer.call_id] = self.harness.now
        if count is not None:
            assert self.harness.now < expires_at
            assert len(seen.in_flight) <= count
        assert seen.load(seen.report.running) <= seen.report.capacity
        assert len(seen.in_flight) <= seen.report.capacity

    def record_end(self, call_id: str) -> None:
        server_id = self.running.pop(call_id, None)
        if server_id in self.seen:
            seen = self.seen[server_id]
            seen.ended_calls.append((seen.in_flight.pop(call_id), self.harness.now))

    # Traffic

    @rule(asked=ASKED, count=st.integers(1, 4))
    def ask(self, asked: RouteCall, count: int) -> None:
        for _ in range(count):
            call_id = f"c{len(self.request_by_id)}"
            request = attrs.evolve(asked, call_id=call_id)
            self.request_by_id[call_id] = request
            self.deadline_by_id[call_id] = self.harness.now + request.deadline_in_s
            self.unanswered.add(call_id)
            self.harness.send(request)

    @rule(pick=st.integers(0, 99), result=RESULTS)
    def end(self, pick: int, result: CallResult) -> None:
        if self.running:
            call_id = sorted(self.running)[pick % len(self.running)]
            self.record_end(call_id)
            self.harness.send(CallEnded(call_id, result), CallEnded(call_id, result))

    @rule(pick=st.integers(0, 99))
    def cancel(self, pick: int) -> None:
        known = sorted(self.unanswered | set(self.running))
        if known:
            call_id = known[pick % len(known)]
            self.unanswered.discard(call_id)
            self.cancelled.add(call_id)
            self.record_end(call_id)
            self.harness.send(CallCancelled(call_id))

    # Servers

    @rule(
        server_id=SERVER_IDS,
        boot_id=BOOT_IDS,
        held=HELD,
        running=st.integers(0, 4),
        age_s=st.sampled_from([0.0, 0.0, 0.2, 1.0, 4.0]),
    )
    def take_report(
        self,
        server_id: str,
        boot_id: str | None,
        held: tuple[str, ...],
        running: int,
        age_s: float,
    ) -> None:
        boot_id = boot_id or self.current_boot(server_id)
        self.deliver_report(report(server_id, boot_id, running, held, age_s))

    def current_boot(self, server_id: str) -> str:
        last = self.seen[server_id].report
        return "b1" if last is None else last.boot_id

    def deliver_report(self, message: ServerReport) -> None:
        seen = self.seen[message.server_id]
        measured_at = self.harness.now - message.age_s
        if seen.report is None or measured_at >= seen.measured_at:
            self.record_report(seen, message, measured_at)
        self.harness.send(message)

    def record_report(
        self, seen: SeenServer, message: ServerReport, measured_at: float
    ) -> None:
        boot_id = message.boot_id
        before = seen.report
        granted = seen.slots_by_boot.get(boot_id)
        if before is not None and before.boot_id != boot_id:
            seen.slots_by_boot = {} if granted is None else {boot_id: granted}
        elif before is not None and set(before.replicas) - set(message.replicas):
            unlimited = granted is not None and granted[0] is None
            if unlimited:
                del seen.slots_by_boot[boot_id]
        seen.report, seen.measured_at = message, measured_at

    @rule(
        server_id=SERVER_IDS,
        boot_id=BOOT_IDS,
        count=st.sampled_from([None, 0, 1, 2, 4]),
        epoch_change=st.sampled_from([-1, 0, 0, 0, 1]),
        ttl_s=st.sampled_from([0.5, 10.0]),
    )
    def ramp(
        self,
        server_id: str,
        boot_id: str | None,
        count: int | None,
        epoch_change: int,
        ttl_s: float,
    ) -> None:
        boot_id = boot_id or self.current_boot(server_id)
        epoch = self.epoch + epoch_change
        self.deliver_slots(slots(server_id, count, boot_id, epoch, ttl_s))

    def deliver_slots(self, message: RampSlots) -> None:
        if message.epoch >= self.epoch:
            self.epoch = message.epoch
            lease = (message.slots, self.harness.now + message.ttl_s)
            self.seen[message.server_id].slots_by_boot[message.boot_id] = lease
        self.harness.send(message)

    @rule(server_id=SERVER_IDS)
    def warm(self, server_id: str) -> None:
        boot_id = self.current_boot(server_id)
        self.deliver_report(report(server_id, boot_id, 0, ("m1", "a1")))
        self.deliver_slots(slots(server_id, None, boot_id, self.epoch))

    # Zones, leaving servers, members and placement

    @rule(closed=CLOSED)
    def operate_zones(self, closed: frozenset[str]) -> None:
        self.closed = closed
        self.revision += 1
        self.harness.send(CatalogChanged(catalog(closed, revision=self.revision)))

    @rule(server_ids=LEAVING)
    def leave(self, server_ids: frozenset[str]) -> None:
        self.leaving = server_ids
        self.harness.send(leaving(*server_ids))

    @rule(count=st.integers(1, 3), owned=st.booleans())
    def change_members(self, count: int, owned: bool) -> None:
        self.harness.send(members(count), OWNERS if owned else OwnersChanged({}))

    @rule(answer=ANSWERS)
    def answer_demand(self, answer: ReplicaPlanned | ReplicaRefused) -> None:
        self.harness.send(answer)

    @rule(duration_s=st.sampled_from([0.1, 0.7, 2.5, 6.0]), reporting=st.booleans())
    def wait(self, duration_s: float, reporting: bool) -> None:
        # Handlers end their calls within 60 s after the deadline.
        for call_id in sorted(self.running):
            if self.deadline_by_id[call_id] + 50.0 < self.harness.now:
                self.record_end(call_id)
                self.harness.send(CallEnded(call_id, CallResult.OK))
        end = self.harness.now + duration_s
        while reporting and end - self.harness.now > 2.0:
            self.harness.advance(2.0)
            self.repeat_reports()
        self.harness.advance(end - self.harness.now)

    def repeat_reports(self) -> None:
        for seen in self.seen.values():
            if seen.report is not None:
                running = max(seen.report.running, len(seen.in_flight))
                self.deliver_report(attrs.evolve(seen.report, running=running))

    # Invariants

    @invariant()
    def answered_by_the_deadline(self) -> None:
        for call_id in self.unanswered:
            assert self.deadline_by_id[call_id] > self.harness.now - 1e-6

    @invariant()
    def open_calls_are_known(self) -> None:
        expected = len(self.unanswered) + len(self.running)
        assert self.harness.routing.open_call_count == expected

    def teardown(self) -> None:
        """End and cancel all calls; none of their state may remain."""
        for call_id in sorted(self.unanswered):
            self.cancelled.add(call_id)
            self.unanswered.discard(call_id)
            self.harness.send(CallCancelled(call_id))
        while self.running:
            call_id = next(iter(self.running))
            self.record_end(call_id)
            self.harness.send(CallEnded(call_id, CallResult.OK))
        self.harness.advance(2.0)
        assert self.harness.routing.is_idle
        assert self.harness.routing.wake_at() is None


TestRoutingMachine = RoutingMachine.TestCase
# 40 examples of 40 steps rarely reach a lease that expires while calls wait.
PROFILE = settings()
TestRoutingMachine.settings = settings(
    max_examples=max(400, PROFILE.max_examples),
    stateful_step_count=max(60, PROFILE.stateful_step_count),
)
