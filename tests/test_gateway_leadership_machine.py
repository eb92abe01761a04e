"""State machine: under any faults, the orders of two leaders are far enough apart."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .builders_leadership import STEP_S, LeaderSite

COUNT = 4
# Stands for the instance that holds the key, or waits as its holder.
HOLDER = "holder"
NAMES = st.sampled_from([f"g{number}" for number in range(COUNT)] + [HOLDER] * 2)
# The first start is over, and its leader orders.
SETTLED_S = 4.0
# A session ends, a successor waits for the longest time, and its orders go on.
RECOVERY_S = 16.0


def holder(site: LeaderSite) -> str:
    """Return the instance that holds the key, or any if none does."""
    holders = [name for name, one in site.process_by_name.items() if one.term.epoch]
    return holders[0] if holders else next(iter(site.machine_by_name))


def check_recovery(site: LeaderSite) -> None:
    """End all faults, and check that one instance leads and orders."""
    site.end_faults()
    site.run(RECOVERY_S)
    # A process that was leaving has ended by now.
    site.end_faults()
    site.run(RECOVERY_S)
    leading = [
        name
        for name, process in site.process_by_name.items()
        if process.term.allows_orders(site.now)
    ]
    assert len(leading) == 1
    assert site.log.orders[-1].at == site.now
    assert site.log.orders[-1].holder == leading[0]


def kill_all(site: LeaderSite, back_s: float, last: str) -> None:
    """Kill all processes, and start all but one again after a time."""
    for name in site.machine_by_name:
        site.kill(name)
    site.run(back_s)
    for name in site.machine_by_name:
        if name != last:
            site.start(name)


class LeadershipMachine(RuleBasedStateMachine):
    """Drives a site; `OrderLog` checks rule ONE at each order."""

    @initialize(epochs_checked=st.booleans())
    def start_site(self, epochs_checked: bool) -> None:
        self.site = LeaderSite(COUNT, epochs_checked)
        self.site.run(SETTLED_S)

    def _name(self, name: str) -> str:
        return holder(self.site) if name == HOLDER else name

    @rule(seconds=st.sampled_from((STEP_S, 0.3, 0.7, 1.5, 3.0, 6.0)))
    def advance(self, seconds: float) -> None:
        self.site.run(seconds)

    @rule()
    def keep_copy(self) -> None:
        self.site.keep_copy()

    @rule(renews_leases=st.booleans())
    def return_store(self, renews_leases: bool) -> None:
        self.site.return_store(renews_leases)

    @rule()
    def forget_history(self) -> None:
        self.site.forget_history()

    @rule(name=NAMES, store=st.booleans(), peers=st.booleans())
    def cut(self, name: str, store: bool, peers: bool) -> None:
        machine = self.site.machine_by_name[self._name(name)]
        machine.is_cut_from_store, machine.is_cut_from_peers = store, peers

    @rule(name=NAMES, is_cut_off=st.booleans())
    def lose_servers(self, name: str, is_cut_off: bool) -> None:
        self.site.set_reach(self._name(name), is_cut_off)

    @rule(name=NAMES, lag_s=st.sampled_from((0.0, 0.4, 2.0, 5.0)))
    def delay_watch(self, name: str, lag_s: float) -> None:
        self.site.machine_by_name[self._name(name)].lag_s = lag_s

    @rule(name=NAMES, late_s=st.sampled_from((0.0, 0.4, 1.5, 4.0)))
    def lose_answer(self, name: str, late_s: float) -> None:
        self.site.machine_by_name[self._name(name)].lost_calls_s.append(late_s)

    @rule(name=NAMES, is_stopped=st.booleans())
    def stop_or_continue(self, name: str, is_stopped: bool) -> None:
        self.site.machine_by_name[self._name(name)].is_stopped = is_stopped

    @rule(name=NAMES)
    def terminate(self, name: str) -> None:
        self.site.terminate(self._name(name))

    @rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.site.kill(self._name(name))

    @rule(name=NAMES)
    def start(self, name: str) -> None:
        self.site.start(self._name(name))

    @rule(name=NAMES, back_s=st.sampled_from((0.1, 0.5, 1.5)))
    def restart(self, name: str, back_s: float) -> None:
        name = self._name(name)
        self.site.kill(name)
        self.site.run(back_s)
        self.site.start(name)

    @rule(back_s=st.sampled_from((0.1, 0.6, 1.9, 2.8)), last=NAMES)
    def kill_all(self, back_s: float, last: str) -> None:
        kill_all(self.site, back_s, self._name(last))

    def teardown(self) -> None:
        if hasattr(self, "site"):
            check_recovery(self.site)


TestLeadershipMachine = LeadershipMachine.TestCase
TestLeadershipMachine.__doc__ = """Guards against orders of two holders to one server.

Their epoch numbers differ, and they are at least the lease time apart (rule ONE);
once the faults have ended, one instance leads.
"""


def run_random_steps(site: LeaderSite, seed: int, steps: int) -> None:
    """Run random steps; most faults meet the holder of the key and are short."""
    rng = random.Random(seed)
    weights = {
        "advance": 60,
        "copy": 4,
        "return": 5,
        "forget": 2,
        "cut": 5,
        "lose_servers": 3,
        "lag": 3,
        "lose_answer": 5,
        "stop": 3,
        "terminate": 5,
        "kill": 2,
        "restart": 5,
        "kill_all": 1,
        "mend": 10,
        "start": 10,
    }
    names = list(site.machine_by_name)
    for _ in range(steps):
        name = holder(site) if rng.random() < 0.6 else rng.choice(names)
        machine = site.machine_by_name[name]
        match rng.choices(list(weights), list(weights.values()))[0]:
            case "advance":
                site.run(rng.choice((0.1, 0.2, 0.4, 0.7, 1.5, 4.0)))
            case "copy":
                site.keep_copy()
            case "return":
                site.return_store(rng.random() < 0.5)
            case "forget":
                site.forget_history()
            case "cut":
                machine.is_cut_from_store = rng.random() < 0.8
                machine.is_cut_from_peers = rng.random() < 0.4
            case "lose_servers":
                site.set_reach(name, is_cut_off=True)
            case "lag":
                machine.lag_s = rng.choice((0.3, 1.0, 3.0, 5.0))
            case "lose_answer":
                machine.lost_calls_s.append(rng.choice((0.0, 0.4, 1.5, 4.0)))
            case "stop":
                machine.is_stopped = True
            case "terminate":
                site.terminate(name)
            case "kill":
                site.kill(name)
            case "restart":
                site.kill(name)
                site.run(rng.choice((0.1, 0.2, 0.5, 1.5)))
                site.start(name)
            case "kill_all":
                kill_all(site, rng.choice((0.1, 0.6, 1.9, 2.8)), name)
            case "mend":
                for one in site.machine_by_name.values():
                    one.is_stopped = False
                    one.is_cut_from_store = one.is_cut_from_peers = False
                    one.lag_s = 0.0
                    site.set_reach(one.name, is_cut_off=False)
            case "start":
                for one_name in names:
                    site.start(one_name)


@pytest.mark.parametrize("epochs_checked", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_random_walk_keeps_orders_apart(seed: int, epochs_checked: bool) -> None:
    """Guards against orders of two holders in long histories with many hand-overs."""
    site = LeaderSite(COUNT, epochs_checked)
    site.run(SETTLED_S)
    run_random_steps(site, seed, 400)
    check_recovery(site)
