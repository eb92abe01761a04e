"""Shares follow demand (M4); refusals are compared with those of a fixed 1/n split."""

from __future__ import annotations

from siskinspool.contracts.share_messages import (
    SpendRefusal,
    SpendRefused,
    SpendTokens,
)
from siskinspool.contracts.team_limits import TeamLimits
from siskinspool.machines.messages import CatalogChanged

from .builders import catalog, incoming, team
from .builders_shares import TEAM, Network

INSTANCES = 6
RATE, BURST = 300.0, 600.0


class FixedSplit:
    """Baseline for comparison: each instance has a bucket of rate / n and burst / n."""

    def __init__(self, count: int, now: float) -> None:
        self.rate, self.cap = RATE / count, BURST / count
        self.level = {f"i{index + 1}": self.cap for index in range(count)}
        self.at = dict.fromkeys(self.level, now)
        self.refusals = 0

    def spend(self, instance: str, tokens: float, now: float) -> None:
        grown = self.rate * (now - self.at[instance])
        self.level[instance] = min(self.cap, self.level[instance] + grown)
        self.at[instance] = now
        if self.level[instance] >= tokens:
            self.level[instance] -= tokens
        else:
            self.refusals += 1


def _network() -> tuple[Network, FixedSplit]:
    net = Network(INSTANCES, RATE, BURST, seed=21)
    return net, FixedSplit(INSTANCES, net.now)


def test_demand_moves_from_one_instance_to_another() -> None:
    """Guards against shares that stay with an instance whose demand has moved away."""
    net, split = _network()
    sent = 0
    for instance in ("i2", "i5", "i3"):
        for _ in range(100):
            # 80% of the rate, all at one instance.
            net.spend(instance, 24)
            split.spend(instance, 24, net.now)
            sent += 1
            net.run(0.1)
    print(f"moving demand: {len(net.refusals)} and {split.refusals} of {sent} refused")
    assert len(net.refusals) <= 0.01 * sent
    assert split.refusals >= 0.5 * sent
    assert net.is_within_contract()


def test_shares_follow_unequal_demand() -> None:
    """Guards against shares that ignore the demand of each instance."""
    net, split = _network()
    sent = 0
    for heavy, light in (("i2", "i5"), ("i5", "i2")):
        for step in range(200):
            if step == 10:
                rate_by_id = {
                    name: net.instance_by_id[name]
                    .limits._state_by_team[TEAM]
                    .share.rate
                    for name in (heavy, light)
                }
                assert rate_by_id[heavy] > 2 * rate_by_id[light], "after 1 s"
            for instance, tokens in ((heavy, 21), (light, 4)):
                net.spend(instance, tokens)
                split.spend(instance, tokens, net.now)
                sent += 1
            net.run(0.1)
    print(f"unequal demand: {len(net.refusals)} and {split.refusals} of {sent} refused")
    assert len(net.refusals) <= 0.01 * sent
    assert split.refusals >= 0.2 * sent
    assert net.is_within_contract()


def test_burst_at_one_instance_gets_the_reserve_in_one_round_trip() -> None:
    """Guards against the refusal of a burst within the contract (M4)."""
    net, split = _network()
    for _ in range(20):
        # The other instances are active and hold shares.
        for instance in ("i2", "i3"):
            net.spend(instance, 2)
        net.run(0.1)
    started_at, earlier_charges = net.now, len(net.charges)
    for _ in range(20):
        net.spend("i4", 15)
        split.spend("i4", 15, net.now)
    net.run(0.5)
    granted_after_s = [
        charge.at - started_at for charge in net.charges[earlier_charges:]
    ]
    print(
        f"burst: {len(net.refusals)} and {split.refusals} of 20 refused, "
        f"last granted after {max(granted_after_s) * 1000:.1f} ms"
    )
    assert not net.refusals
    # The first report covers one request, the next one 20 ms later the others.
    assert max(granted_after_s) <= 0.04
    assert split.refusals >= 10
    assert net.is_within_contract()


def test_level_is_recalled_when_the_reserve_is_not_enough() -> None:
    """Guards against level that is unused at one instance while another refuses."""
    net, _ = _network()
    for _ in range(50):
        for instance in ("i1", "i2"):
            net.spend(instance, 15)
        net.run(0.1)
    net.run(1.8)
    net.spend("i6", 500)
    net.run(0.2)
    assert not net.refusals
    assert net.is_within_contract()


def test_request_larger_than_the_burst_is_refused_at_once() -> None:
    """Guards against a request that waits for a level that can never be reached."""
    limits = TeamLimits("i1", "a", 0.0)
    limits.handle(incoming(CatalogChanged(catalog(teams=(team(TEAM),)))), 0.0)
    (answer,) = limits.handle(incoming(SpendTokens(TEAM, 201.0)), 0.0)
    assert answer.message == SpendRefused(None, SpendRefusal.LARGER_THAN_BURST)
    (answer,) = limits.handle(incoming(SpendTokens("nobody", 1.0)), 0.0)
    assert answer.message == SpendRefused(None, SpendRefusal.UNKNOWN_TEAM)
