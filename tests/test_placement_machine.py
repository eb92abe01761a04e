"""Stateful test of a site under combined faults (R1, R2).

Three instances use two small servers, one that checks fencing and one that ignores it.
Owners pause with an unsent order and are replaced, answers are lost, writes and orders
take effect late, servers restart, and reports arrive late.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from siskinspool.machines.messages import ServerReport
from tests.builders import catalog, model, server
from tests.builders_placement import SimulatedInstance, SimulatedSite

MODELS = st.sampled_from(["m1", "m2", "m3"])
SERVERS = st.sampled_from(["s1", "s2"])
INSTANCES = st.sampled_from(["i1", "i2", "i3"])


class PlacementMachine(RuleBasedStateMachine):
    """Guards R1 and R2: any sequence of the faults below causes a violation."""

    def __init__(self) -> None:
        super().__init__()
        self.delayed_reports: list[ServerReport] = []

    @initialize()
    def start(self) -> None:
        self.site = SimulatedSite(
            catalog(
                servers=(
                    server("s1", checks_fencing=True),
                    server("s2", zone="b", checks_fencing=False),
                ),
                models=(
                    model("m1", memory_mib=400),
                    model("m2", memory_mib=600),
                    model("m3", memory_mib=900),
                ),
            ),
            instances=3,
        )
        self.site.on_change = self.check_servers
        self.site.transfer_ownership("i1")
        self.site.settle()
        self.site.run(1.0)

    def running(self) -> list[SimulatedInstance]:
        instances = self.site.instance_by_id.values()
        return [i for i in instances if i.is_alive and not i.is_paused]

    def owner(self) -> SimulatedInstance:
        return self.site.instance_by_id[self.site.owner]

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self.site.run(seconds)

    @rule(name=MODELS)
    def first_requests_at_all_instances(self, name: str) -> None:
        known = {e.replica_id for e in self.site.reservations()}
        present = any(e.target.model == name for e in self.site.reservations())
        for instance_id in self.site.instance_by_id:
            self.site.request_replica(name, instance_id=instance_id, deadline_s=10.0)
        self.site.settle()
        decided = [
            entry
            for entry in self.site.reservations()
            if entry.target.model == name and entry.replica_id not in known
        ]
        assert present or len(decided) <= 1

    @rule(name=MODELS, server_id=SERVERS, running=st.integers(0, 10))
    def use(self, name: str, server_id: str, running: int) -> None:
        self.site.report_use(name, server_id, running)
        self.site.settle()

    @rule(faults=st.lists(st.sampled_from(["", "lost", "late", "refused"]), max_size=3))
    def make_orders_fail(self, faults: list[str]) -> None:
        self.site.order_faults = faults

    @precondition(lambda self: self.site.late_orders)
    @rule()
    def let_late_order_arrive(self) -> None:
        self.site.deliver_order(self.site.late_orders.pop(0))

    @rule(count=st.integers(1, 2))
    def lose_write_answers(self, count: int) -> None:
        self.site.kv.answers_to_lose = count

    @rule(after_read=st.booleans())
    def delay_write(self, after_read: bool) -> None:
        self.site.kv.writes_to_delay = 1
        self.site.kv.apply_after_read = after_read

    @precondition(lambda self: self.site.kv.delayed_writes)
    @rule()
    def let_late_write_arrive(self) -> None:
        self.site.kv.swap(self.site.kv.delayed_writes.pop(0))
        self.site.record_decided()

    @rule(down=st.booleans())
    def switch_service(self, down: bool) -> None:
        self.site.kv.is_down = down

    @rule(server_id=SERVERS)
    def restart_server(self, server_id: str) -> None:
        self.site.server_by_id[server_id].restart()

    @rule(server_id=SERVERS, seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def change_load_time(self, server_id: str, seconds: float) -> None:
        self.site.server_by_id[server_id].load_s = seconds

    @rule(server_id=SERVERS)
    def keep_report(self, server_id: str) -> None:
        self.delayed_reports.append(
            self.site.server_by_id[server_id].report(self.site.now)
        )

    @precondition(lambda self: self.delayed_reports)
    @rule()
    def deliver_late_report(self) -> None:
        self.site.post(self.site.owner, self.delayed_reports.pop(0))
        self.site.settle()

    @precondition(lambda self: len(self.running()) > 1)
    @rule(name=MODELS, hand_over=st.booleans())
    def freeze_owner_with_order(self, name: str, hand_over: bool) -> None:
        """Pause the owner between the write of a decision and sending its order."""
        owner = self.owner()
        self.site.request_replica(name, instance_id=owner.instance_id)
        for _ in range(20):
            if owner.orders or not owner.inbox:
                break
            batch = owner.placement.handle(owner.inbox.pop(0), self.site.now)
            self.site.deliver(owner, batch)
        if hand_over:
            self.site.pause(owner.instance_id)
            self.take_over()
        self.site.settle()

    @precondition(lambda self: len(self.running()) > 1)
    @rule()
    def move_ownership(self) -> None:
        self.take_over()

    @rule(instance_id=INSTANCES)
    def thaw(self, instance_id: str) -> None:
        instance = self.site.instance_by_id[instance_id]
        if instance.is_alive and instance.is_paused:
            self.site.resume(instance_id)
            self.site.send_orders(instance)
            self.site.settle()

    @rule(instance_id=INSTANCES)
    def kill(self, instance_id: str) -> None:
        others = [i for i in self.running() if i.instance_id != instance_id]
        if not others or not self.site.instance_by_id[instance_id].is_alive:
            return
        self.site.kill(instance_id)
        if self.site.owner == instance_id:
            self.take_over()

    def take_over(self) -> None:
        others = [i for i in self.running() if i.instance_id != self.site.owner]
        if others:
            self.site.transfer_ownership(others[0].instance_id)
            self.site.settle()

    def check_servers(self) -> None:
        for server_id, server_model in self.site.server_by_id.items():
            assert server_model.used_mib <= server_model.server.memory_mib, server_id
            reserved = {
                entry.replica_id
                for entry in self.site.kv.record(server_id).reservations
            }
            loaded = {
                r for r, held in server_model.held_by_replica.items() if not held.failed
            }
            assert loaded <= reserved, server_id
            assert loaded <= self.site.ever_decided

    @invariant()
    def memory_is_reserved_before_it_is_used(self) -> None:
        if hasattr(self, "site"):
            self.check_servers()


TestPlacementMachine = PlacementMachine.TestCase
# Each fault needs several steps, in a sequence that few examples contain.
TestPlacementMachine.settings = settings(
    max_examples=max(settings().max_examples, 300), stateful_step_count=60
)
