"""Token caps of teams: the sum of all gateways' grants, also under partitions."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from siskinspool.core.message import Address, Incoming, Outgoing
from siskinspool.gateway.caps import OWNER_RETRY_AFTER_S, OWNER_TIMEOUT_S, CapEnforcer
from siskinspool.gateway.messages import (
    SpendAtOwnerAnswer,
    SpendAtOwnerRequest,
    SpendTokens,
    TokensGranted,
    TokensRefused,
)
from siskinspool.machines.rendezvous import winner
from siskinspool.store.kv_events import SessionGone, SessionRenewed

from .builders_gateway import (
    CAP_BOUNDS,
    desired_state,
    incoming,
    membership,
    messages,
    team,
)

MEMBERS = ("g1", "g2", "g3")
OWNER = winner("desk", MEMBERS) or ""
OTHER = next(name for name in MEMBERS if name != OWNER)


def cap_enforcer(instance_id: str, now: float = 0.0) -> CapEnforcer:
    """Return the decision of a gateway with three members and a valid session."""
    decision = CapEnforcer(instance_id, CAP_BOUNDS)
    decision.handle(incoming(desired_state()), now)
    decision.handle(incoming(membership(*MEMBERS)), now)
    decision.handle(incoming(SessionRenewed("i", 1, now, 1000.0)), now)
    return decision


def spend(decision: CapEnforcer, tokens: int, now: float) -> list[Outgoing]:
    return decision.handle(incoming(SpendTokens("desk", tokens), "local"), now)


def test_owner_grants_rate_and_burst_and_no_more() -> None:
    """Guards against grants beyond the cap in a burst of requests."""
    decision = cap_enforcer(OWNER)
    granted = 0
    for _ in range(200):
        answer = messages(spend(decision, 5_000, 0.0))[0]
        granted += 5_000 if isinstance(answer, TokensGranted) else 0
    whole = (30_000 * 8 + 60_000) * CAP_BOUNDS.overage + CAP_BOUNDS.slack_tokens
    assert 30_000 < granted <= 60_000 + whole


def test_large_request_is_granted_on_debt() -> None:
    """Guards against refusing forever a request that is larger than the burst."""
    decision = CapEnforcer(OWNER, CAP_BOUNDS)
    small = team(tokens_per_s=1_000.0, burst_tokens=2_000.0)
    decision.handle(incoming(desired_state(teams=(small,))), 0.0)
    decision.handle(incoming(membership(OWNER)), 0.0)
    assert isinstance(messages(spend(decision, 9_000, 0.0))[0], TokensGranted)


def test_other_gateways_ask_the_owner() -> None:
    """Guards against gateways that each grant the whole cap."""
    asking, owning = cap_enforcer(OTHER), cap_enforcer(OWNER)
    request = spend(asking, 1_000, 0.0)[0]
    assert request.recipient.instance_id == OWNER
    assert isinstance(request.message, SpendAtOwnerRequest)
    reply = owning.handle(incoming(request.message, OTHER, "caps"), 0.0)[0]
    answer = asking.handle(incoming(reply.message, OWNER, "caps"), 0.01)[0]
    assert answer.message == TokensGranted("owner")
    assert answer.recipient == Address("local", "test")


def test_silent_owner_is_not_asked_again_for_a_while() -> None:
    """Guards against a timeout on each request while the owner does not answer."""
    decision = cap_enforcer(OTHER)
    assert decision.wake_at() is None
    spend(decision, 1_000, 0.0)
    assert decision.wake_at() == OWNER_TIMEOUT_S
    assert messages(decision.on_time(OWNER_TIMEOUT_S)) == [TokensGranted("local")]
    assert messages(spend(decision, 1_000, 0.1)) == [TokensGranted("local")]
    later = spend(decision, 1_000, OWNER_TIMEOUT_S + OWNER_RETRY_AFTER_S + 0.01)
    assert isinstance(later[0].message, SpendAtOwnerRequest)


def test_partitioned_gateways_stay_within_the_cap() -> None:
    """Guards against local buckets that together exceed the bound.

    With LOCAL_SLACK_SHARE at 2 the test fails.
    """
    decisions = [cap_enforcer(name) for name in MEMBERS]
    granted, now = 0, 0.0
    while now < CAP_BOUNDS.window_s:
        for decision in decisions:
            for _ in range(20):
                found = messages(spend(decision, 1_000, now))
                found += messages(decision.on_time(now + OWNER_TIMEOUT_S))
                granted += 1_000 * sum(isinstance(one, TokensGranted) for one in found)
        now += 0.1
    base = 30_000 * CAP_BOUNDS.window_s + 60_000
    allowed = base * (1 + CAP_BOUNDS.overage) + CAP_BOUNDS.slack_tokens
    assert base < granted <= allowed


def test_late_answer_of_the_owner_is_not_used_twice() -> None:
    """Guards against two answers to one request."""
    decision = cap_enforcer(OTHER)
    number = spend(decision, 1_000, 0.0)[0].message.number  # type: ignore[attr-defined]
    decision.on_time(OWNER_TIMEOUT_S)
    late = SpendAtOwnerAnswer(number, True, 0.0)
    assert decision.handle(incoming(late, OWNER, "caps"), 0.2) == []


def test_uncapped_teams_need_no_owner() -> None:
    """Guards against round trips for teams without a cap."""
    decision = CapEnforcer(OTHER, CAP_BOUNDS)
    free = team(tokens_per_s=0.0)
    decision.handle(incoming(desired_state(teams=(free,))), 0.0)
    decision.handle(incoming(membership(*MEMBERS)), 0.0)
    assert messages(spend(decision, 10**9, 0.0)) == [TokensGranted("uncapped")]


def test_lowered_cap_cuts_the_saved_burst() -> None:
    """Guards against a burst of the old cap after the cap was lowered."""
    decision = cap_enforcer(OWNER)
    spend(decision, 1, 0.0)
    low = team(tokens_per_s=100.0, burst_tokens=100.0)
    decision.handle(incoming(desired_state(version=2, teams=(low,))), 1.0)
    answers = [messages(spend(decision, 5_000, 1.0))[0] for _ in range(20)]
    assert sum(isinstance(one, TokensGranted) for one in answers) <= 6
    assert isinstance(answers[-1], TokensRefused)


def test_owners_on_both_sides_of_a_partition_stay_within_the_cap() -> None:
    """Guards against two owners of a cap that each grant the whole cap.

    In a partition, two gateways with the owner lost the store and the others, which
    chose a new owner. In the trial baul-bogota scale-2, seed 9004, both owners together
    granted 499,373 tokens in 8 s; the cap with all its slack was 440,961.
    """
    names = tuple(f"g{number}" for number in range(1, 7))
    base = 30_000 * CAP_BOUNDS.window_s + 60_000
    allowed = base * (1 + CAP_BOUNDS.overage) + CAP_BOUNDS.slack_tokens
    old_owner = winner("desk", names) or ""
    companion = next(name for name in names if name != old_owner)
    partitioned = (old_owner, companion)
    others = tuple(name for name in names if name not in partitioned)
    decisions = {name: cap_enforcer(name) for name in names}
    grants: list[tuple[float, int]] = []

    def ask(name: str, now: float, reachable: tuple[str, ...]) -> None:
        for sent in spend(decisions[name], 1_000, now):
            answer = sent
            if isinstance(sent.message, SpendAtOwnerRequest):
                owner = sent.recipient.instance_id
                if owner not in reachable:
                    continue
                reply = decisions[owner].handle(
                    incoming(sent.message, name, "caps"), now
                )
                answer = decisions[name].handle(
                    incoming(reply[0].message, owner, "caps"), now
                )[0]
            if isinstance(answer.message, TokensGranted):
                grants.append((now, 1_000))

    now = 0.0
    for name in names:
        decisions[name].handle(incoming(membership(*names)), now)
    while now < 24.0:
        if now > 8.0 and grants and decisions[old_owner].status(now)["owned"]:
            decisions[old_owner].handle(incoming(SessionGone()), now)
            decisions[companion].handle(incoming(SessionGone()), now)
            for name in others:
                decisions[name].handle(incoming(membership(*others)), now)
        for name in names:
            side = (
                names if now <= 8.0 else partitioned if name in partitioned else others
            )
            for _ in range(4):
                ask(name, now, side)
                for decision in decisions.values():
                    decision.on_time(now + OWNER_TIMEOUT_S)
        now += 0.1
    for end, _ in grants[:: len(names)]:
        used = sum(
            tokens for at, tokens in grants if end - CAP_BOUNDS.window_s < at <= end
        )
        assert used <= allowed


class CapsMachine(RuleBasedStateMachine):
    """Three gateways with lost messages, lost sessions and partitions.

    The sum of their grants in any window stays within rate, burst, overage and slack.
    """

    @initialize()
    def start(self) -> None:
        """Start three gateways that can reach each other."""
        self.now = 0.0
        self.decisions = {name: cap_enforcer(name) for name in MEMBERS}
        self.reachable = set(MEMBERS)
        self.grants: list[tuple[float, int]] = []

    def deliver(self, sender: str, batch: list[Outgoing]) -> None:
        """Deliver messages between reachable gateways, and record grants."""
        for outgoing in batch:
            recipient = outgoing.recipient
            message = outgoing.message
            if recipient.task == "request":
                if isinstance(message, TokensGranted):
                    self.grants.append((self.now, self.asked))
                continue
            if {sender, recipient.instance_id} <= self.reachable:
                arrived = Incoming(Address(sender, "caps"), message)
                decision = self.decisions[recipient.instance_id]
                reply = decision.handle(arrived, self.now)
                self.deliver(recipient.instance_id, reply)

    @rule(
        name=st.sampled_from(MEMBERS),
        tokens=st.sampled_from([200, 5_000, 9_000, 30_000]),
        times=st.integers(1, 40),
    )
    def ask(self, name: str, tokens: int, times: int) -> None:
        """Send requests to one gateway."""
        for _ in range(times):
            self.asked = tokens
            sent = Incoming(Address(name, "request"), SpendTokens("desk", tokens))
            self.deliver(name, self.decisions[name].handle(sent, self.now))
            if self.decisions[name].wake_at() is not None:
                self.now += OWNER_TIMEOUT_S
                self.deliver(name, self.decisions[name].on_time(self.now))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule(names=st.sets(st.sampled_from(MEMBERS)))
    def cut(self, names: set[str]) -> None:
        """Partition some gateways from all others."""
        self.reachable = set(MEMBERS) - names

    @rule(name=st.sampled_from(MEMBERS))
    def lose_session(self, name: str) -> None:
        """End the session of a gateway; the membership stays."""
        self.decisions[name].handle(incoming(SessionGone()), self.now)

    @rule(name=st.sampled_from(MEMBERS))
    def renew_session(self, name: str) -> None:
        """Renew a session."""
        renewed = SessionRenewed("i", 2, self.now, 1000.0)
        self.decisions[name].handle(incoming(renewed), self.now)

    @invariant()
    def sum_is_within_the_cap(self) -> None:
        """Check each window that ends with a grant."""
        base = 30_000 * CAP_BOUNDS.window_s + 60_000
        allowed = base * (1 + CAP_BOUNDS.overage) + CAP_BOUNDS.slack_tokens
        for end, _ in self.grants[-20:]:
            used = sum(
                tokens
                for at, tokens in self.grants
                if end - CAP_BOUNDS.window_s < at <= end
            )
            assert used <= allowed


TestCapsMachine = CapsMachine.TestCase


def test_cap_fills_before_its_first_request() -> None:
    """Guards against refusals within the burst after an idle time.

    In the trial tinhub-ng scale-2, a bucket was created with the first request and only
    partly full.
    """
    decision = cap_enforcer(OWNER)
    granted = 0
    for _ in range(18):
        answer = messages(spend(decision, 5_000, 10.0))[0]
        granted += 5_000 if isinstance(answer, TokensGranted) else 0
    # The whole burst and a part of the allowed debt.
    assert granted == 90_000
