"""A deterministic network of instances and quota allocators for tests of team limits.

Time is simulated, and each instance has a clock with its own origin. The network also
simulates membership and ownership: it renews sessions, assigns a partition to a
successor when the session of its owner has expired, and announces an outage once the
service has been down for 4 s.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Final

import attrs

from siskinspool.contracts.limits_partition import limits_partition
from siskinspool.contracts.quota_allocator import QuotaAllocator
from siskinspool.contracts.share_messages import (
    SettleTokens,
    SpendGranted,
    SpendRefused,
    SpendTokens,
)
from siskinspool.contracts.team_limits import TeamLimits
from siskinspool.core.decision import Decision
from siskinspool.core.member import MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.machines.drain_messages import ReturnShares
from siskinspool.machines.messages import (
    CatalogChanged,
    FreshnessChanged,
    OwnersChanged,
    OwnershipGained,
    OwnershipLost,
    ReleaseOwnership,
)
from siskinspool.store.kv_events import SessionRenewed

from .builders import catalog, member, team

TEAM: Final = "t1"
PARTITION: Final = limits_partition(TEAM)
SESSION_TTL_S: Final = 10.0
RENEWAL_S: Final = 3.0
OUTAGE_AFTER_S: Final = 4.0
HANDLER_TASK_PREFIX: Final = "reply:"


@attrs.define
class Charge:
    """Tokens spent at a time; a settlement reduces them to what was used."""

    at: float
    tokens: float


def worst_burst(charges: list[Charge], rate: float) -> float:
    """Return the largest excess over ``rate`` of any window, in tokens.

    R5 holds in every window if and only if this is at most the burst: for the
    window from before charge i to after charge j, the excess is
    (S_j - rate t_j) - (S_i- - rate t_i).
    """
    total, lowest, worst = 0.0, float("inf"), 0.0
    for charge in sorted(charges, key=lambda charge: charge.at):
        lowest = min(lowest, total - rate * charge.at)
        total += charge.tokens
        worst = max(worst, total - rate * charge.at - lowest)
    return worst


@attrs.define
class SimulatedInstance:
    """A simulated instance with its decisions and its clock."""

    instance_id: str
    incarnation: int
    clock_origin: float
    limits: TeamLimits
    allocator: QuotaAllocator
    session_id: int = 0
    renewed_at: float = float("-inf")
    is_frozen: bool = False
    # Isolated from peers and from the key-value service.
    is_cut_off: bool = False
    announced_outage: bool = False
    # Messages that arrived during a freeze.
    backlog: list[tuple[str, Incoming]] = attrs.field(factory=list)

    def decision(self, task: str) -> Decision:
        return self.limits if task == "limits" else self.allocator


class Network:
    """Instances ``i1`` .. ``iN``; all times are global seconds."""

    def __init__(
        self,
        count: int,
        rate: float = 100.0,
        burst: float = 200.0,
        seed: int = 1,
        warm: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.rate, self.burst = rate, burst
        self.instance_by_id: dict[str, SimulatedInstance] = {}
        self.loss = self.duplication = 0.0
        self.delay_s = (0.001, 0.003)
        self.is_service_up = True
        self.service_down_at = 0.0
        self.owner: str | None = None
        self.owner_session = 0
        self.epoch = 0
        self.charges: list[Charge] = []
        self.charge_by_spend: dict[tuple[str, int, int], Charge] = {}
        self.refusals: list[tuple[float, str]] = []
        self._tokens_by_task: dict[str, float] = {}
        self._queue: list[tuple[float, int, str, int, str, Incoming]] = []
        self._numbers = itertools.count(1)
        self._next_tick = 0.0
        for index in range(count):
            self.start(f"i{index + 1}")
        if warm:
            # Long enough for the first allocator to get answers from instances with
            # sufficient uptime and to fill its reserve.
            self.run(45.0)

    # -- faults -------------------------------------------------------------------

    def start(self, instance_id: str) -> None:
        """Start an instance, or restart it after a crash."""
        number = next(self._numbers)
        clock_origin = self.random.uniform(-1e5, 1e5)
        limits = TeamLimits(instance_id, str(number), self.now + clock_origin)
        simulated = SimulatedInstance(
            instance_id, number, clock_origin, limits, QuotaAllocator()
        )
        self.instance_by_id[instance_id] = simulated
        if self.is_service_up:
            self._renew(simulated)
        self._send_state(simulated)
        self._announce()

    def crash(self, instance_id: str) -> None:
        self.instance_by_id.pop(instance_id, None)

    def freeze(self, instance_id: str) -> None:
        self.instance_by_id[instance_id].is_frozen = True

    def resume(self, instance_id: str) -> None:
        """Resume an instance; messages queued during the freeze are handled first."""
        simulated = self.instance_by_id[instance_id]
        simulated.is_frozen = False
        backlog, simulated.backlog = simulated.backlog, []
        for task, incoming in backlog:
            self._handle(simulated, task, incoming)

    def drain(self, instance_id: str) -> None:
        """Release the partition, then return the shares."""
        simulated = self.instance_by_id[instance_id]
        self._send_local(simulated, "mint", ReleaseOwnership())
        if self.owner == instance_id:
            self._elect(exclude=instance_id)
        self._send_local(simulated, "limits", ReturnShares())

    def set_service(self, up: bool) -> None:
        if self.is_service_up and not up:
            self.service_down_at = self.now
        self.is_service_up = up

    def set_contract(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        for simulated in self.instance_by_id.values():
            self._send_local(simulated, "mint", self._catalog())
            self._send_local(simulated, "limits", self._catalog())

    # -- load ---------------------------------------------------------------------

    def spend(self, instance_id: str, tokens: float, wait_s: float = 0.15) -> None:
        """Request tokens; a frozen instance handles the request when it resumes."""
        simulated = self.instance_by_id.get(instance_id)
        if simulated is None:
            return
        task = f"{HANDLER_TASK_PREFIX}{next(self._numbers)}"
        self._tokens_by_task[task] = tokens
        incoming = Incoming(
            Address(instance_id, task), SpendTokens(TEAM, tokens, wait_s)
        )
        self._handle(simulated, "limits", incoming)

    def settle(self, spend: tuple[str, int, int], used: float) -> None:
        """Settle the spend of a granted request."""
        charge = self.charge_by_spend.pop(spend)
        instance_id, incarnation, spend_id = spend
        simulated = self.instance_by_id.get(instance_id)
        if simulated is None or simulated.incarnation != incarnation:
            return
        charge.tokens = min(charge.tokens, used)
        self._send_local(simulated, "limits", SettleTokens(spend_id, used))

    @property
    def granted_tokens(self) -> float:
        return sum(charge.tokens for charge in self.charges)

    def is_within_contract(self) -> bool:
        """Return whether every window is within the contract (R5)."""
        return worst_burst(self.charges, self.rate) <= self.burst + 1e-6 * (
            1 + self.granted_tokens
        )

    # -- running ------------------------------------------------------------------

    def run(self, duration_s: float) -> None:
        """Run the simulation for some seconds."""
        end = self.now + duration_s
        while True:
            at, simulated = self._next_wake()
            message_at = self._queue[0][0] if self._queue else float("inf")
            first = min(at, message_at, self._next_tick)
            if first > end:
                break
            self.now = max(self.now, first)
            if first == self._next_tick:
                self._tick()
            elif first == message_at:
                self._deliver()
            elif simulated is not None:
                for task in ("limits", "mint"):
                    self._on_time(simulated, task)
        self.now = end

    def _next_wake(self) -> tuple[float, SimulatedInstance | None]:
        earliest: tuple[float, SimulatedInstance | None] = (float("inf"), None)
        for simulated in self.instance_by_id.values():
            if simulated.is_frozen:
                continue
            for decision in (simulated.limits, simulated.allocator):
                wake_at = decision.wake_at()
                # `Task` also pauses at least this long between two activations.
                if (
                    wake_at is not None
                    and wake_at - simulated.clock_origin < earliest[0]
                ):
                    earliest = (
                        max(wake_at - simulated.clock_origin, self.now + 0.001),
                        simulated,
                    )
        return earliest

    def _on_time(self, simulated: SimulatedInstance, task: str) -> None:
        decision = simulated.decision(task)
        wake_at = decision.wake_at()
        if wake_at is not None and wake_at <= self.now + simulated.clock_origin + 1e-9:
            self._send(
                simulated, task, decision.on_time(self.now + simulated.clock_origin)
            )

    def _deliver(self) -> None:
        _, _, instance_id, incarnation, task, incoming = heapq.heappop(self._queue)
        simulated = self.instance_by_id.get(instance_id)
        if simulated is not None and incarnation in (0, simulated.incarnation):
            self._handle(simulated, task, incoming)

    def _handle(
        self, simulated: SimulatedInstance, task: str, incoming: Incoming
    ) -> None:
        if simulated.is_frozen:
            simulated.backlog.append((task, incoming))
            return
        if task.startswith(HANDLER_TASK_PREFIX):
            self._on_reply(simulated, task, incoming.message)
            return
        decision = simulated.decision(task)
        self._send(
            simulated,
            task,
            decision.handle(incoming, self.now + simulated.clock_origin),
        )

    def _on_reply(
        self, simulated: SimulatedInstance, task: str, message: Message
    ) -> None:
        tokens = self._tokens_by_task.pop(task)
        if isinstance(message, SpendGranted):
            charge = Charge(self.now, tokens)
            self.charges.append(charge)
            key = (simulated.instance_id, simulated.incarnation, message.spend_id)
            self.charge_by_spend[key] = charge
        elif isinstance(message, SpendRefused):
            self.refusals.append((self.now, simulated.instance_id))

    def _send(
        self, simulated: SimulatedInstance, task: str, batch: list[Outgoing]
    ) -> None:
        for outgoing in batch:
            recipient = outgoing.recipient
            incoming = Incoming(Address(simulated.instance_id, task), outgoing.message)
            if recipient.instance_id == simulated.instance_id:
                if recipient.task.startswith(HANDLER_TASK_PREFIX):
                    self._on_reply(simulated, recipient.task, outgoing.message)
                else:
                    self._post(0.0, simulated.incarnation, recipient, incoming)
                continue
            peer = self.instance_by_id.get(recipient.instance_id)
            if simulated.is_cut_off or peer is None or peer.is_cut_off:
                continue
            copies = 1 + (self.random.random() < self.duplication)
            for _ in range(copies):
                if self.random.random() >= self.loss:
                    delay = self.random.uniform(*self.delay_s)
                    self._post(delay, 0, recipient, incoming)

    def _post(
        self, delay: float, incarnation: int, recipient: Address, incoming: Incoming
    ) -> None:
        number = next(self._numbers)
        item = (
            self.now + delay,
            number,
            recipient.instance_id,
            incarnation,
            recipient.task,
            incoming,
        )
        heapq.heappush(self._queue, item)

    def _send_local(
        self, simulated: SimulatedInstance, task: str, message: Message
    ) -> None:
        incoming = Incoming(Address(simulated.instance_id, "membership"), message)
        self._handle(simulated, task, incoming)

    # -- membership and ownership --------------------------------------------------

    def _catalog(self) -> CatalogChanged:
        return CatalogChanged(
            catalog(teams=(team(TEAM, rate=self.rate, burst=self.burst),))
        )

    def _tick(self) -> None:
        self._next_tick = self.now + 0.25
        for simulated in self.instance_by_id.values():
            if simulated.is_frozen or simulated.is_cut_off:
                continue
            self._announce_outage(simulated)
            if self.is_service_up and self.now >= simulated.renewed_at + RENEWAL_S:
                self._renew(simulated)
        if self.is_service_up:
            owner = self.instance_by_id.get(self.owner or "")
            if owner is None or not self._has_session(owner, self.owner_session):
                self._elect(exclude=self.owner)

    def _announce_outage(self, simulated: SimulatedInstance) -> None:
        is_outage = not self.is_service_up and (
            self.now >= self.service_down_at + OUTAGE_AFTER_S
        )
        if is_outage != simulated.announced_outage:
            simulated.announced_outage = is_outage
            for task in ("limits", "mint"):
                self._send_local(simulated, task, FreshnessChanged(True, is_outage))

    def _has_session(self, simulated: SimulatedInstance, session_id: int) -> bool:
        has_lapsed = self.now >= simulated.renewed_at + SESSION_TTL_S
        return simulated.session_id == session_id and not has_lapsed

    def _renew(self, simulated: SimulatedInstance) -> None:
        if not self._has_session(simulated, simulated.session_id):
            simulated.session_id = next(self._numbers)
            if self.epoch and simulated.renewed_at > float("-inf"):
                self._send_local(simulated, "mint", OwnershipLost(PARTITION))
        simulated.renewed_at = self.now
        sent_at = self.now + simulated.clock_origin
        renewed = SessionRenewed(
            str(simulated.incarnation), simulated.session_id, sent_at, SESSION_TTL_S
        )
        self._send_local(simulated, "mint", renewed)

    def _elect(self, exclude: str | None) -> None:
        ready = [
            simulated
            for simulated in self.instance_by_id.values()
            if self._has_session(simulated, simulated.session_id)
            and not simulated.is_cut_off
        ]
        others = [simulated for simulated in ready if simulated.instance_id != exclude]
        if not ready:
            self.owner = None
            return
        simulated = self.random.choice(others or ready)
        self.owner, self.owner_session = simulated.instance_id, simulated.session_id
        self.epoch += 1
        self._send_local(simulated, "mint", OwnershipGained(PARTITION, self.epoch))
        self._announce()

    def _announce(self) -> None:
        for simulated in list(self.instance_by_id.values()):
            if not simulated.is_cut_off:
                self._send_state(simulated)

    def _send_state(self, simulated: SimulatedInstance) -> None:
        members = {name: member(name) for name in self.instance_by_id}
        owners = {PARTITION: self.owner} if self.owner else {}
        for task in ("limits", "mint"):
            self._send_local(simulated, task, self._catalog())
            self._send_local(simulated, task, MembershipChanged(members))
            self._send_local(simulated, task, OwnersChanged(owners))
