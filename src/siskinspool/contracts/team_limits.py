"""Decision `TeamLimits`: enforces team limits at an instance (R5, M4).

Request handlers spend tokens from the instance's share of the team's contract. The
team's quota allocator renews and resizes the share in answer to reports, which are sent
every 250 ms while the team is active, immediately when a request lacks tokens, and
every 2 s while the team is idle. A share that is idle for 10 s is returned to the
allocator.

In outage mode, if the allocator does not answer, an instance whose requests lack tokens
asks its peers in turn for part of their shares.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.drain_messages import ReturnShares
from ..machines.messages import CatalogChanged, FreshnessChanged, OwnersChanged
from ..manifest.model import Team
from .limits_partition import limits_partition
from .peer_transfers import PeerTransfers
from .share_messages import (
    MILLITOKENS_PER_TOKEN,
    OutageAnswer,
    OutageQuestion,
    QuotaTransfer,
    SettleTokens,
    ShareGrant,
    ShareRecall,
    ShareReport,
    SpendGranted,
    SpendRefusal,
    SpendRefused,
    SpendTokens,
    TransferRequest,
)
from .team_state import (
    ALLOCATOR_SILENT_S,
    REPORT_INTERVAL_S,
    TeamState,
    WaitingSpend,
)

ALLOCATOR_TASK: Final = "mint"
# Requests that lack tokens within this interval are covered by one report.
SHORTAGE_REPORT_INTERVAL_S: Final = 0.02
SURRENDER_AFTER_S: Final = 10.0
MIN_RETRY_AFTER_S: Final = 0.25


class TeamLimits(Decision):
    """Decision of the task ``limits``: spends tokens from the instance's shares."""

    def __init__(self, instance_id: str, incarnation: str, now: float) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._started_at = now
        self._team_by_id: dict[str, Team] = {}
        self._state_by_team: dict[str, TeamState] = {}
        self._team_by_spend: dict[int, str] = {}
        self._owner_by_partition: dict[str, str] = {}
        self._peer_transfers = PeerTransfers(incarnation)
        self._next_spend_id = 1
        self._next_report_no = 1
        self._is_outage = False
        self._last_outage_at: float | None = None
        self._is_draining = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle one message."""
        sender = incoming.sender
        match incoming.message:
            case SpendTokens() as spend:
                return self._on_spend(sender, spend, now)
            case SettleTokens() as settle:
                return self._on_settle(settle, now)
            case ShareGrant() as grant:
                return self._on_grant(sender, grant, now)
            case ShareRecall() as recall:
                return self._on_recall(recall, now)
            case TransferRequest() as request:
                return self._on_transfer_request(sender, request, now)
            case QuotaTransfer() as transfer:
                return self._on_transfer(transfer, now)
            case OutageQuestion() as question:
                return [Outgoing(sender, self._answer_outage(question, now))]
            case FreshnessChanged(is_store_outage=is_outage):
                self._set_outage(is_outage, now)
            case other:
                return self._on_state_change(other, now)
        return []

    def _on_state_change(self, message: Message, now: float) -> list[Outgoing]:
        match message:
            case CatalogChanged(catalog):
                self._team_by_id = dict(catalog.team_by_id)
            case OwnersChanged(owners):
                self._set_owners(owners, now)
            case MembershipChanged(members):
                self._peer_transfers.peers = sorted(set(members) - {self._instance_id})
            case ReturnShares():
                return self._drain(now)
            case _:
                pass
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Grant or refuse waiting requests and send the reports that are due."""
        out: list[Outgoing] = []
        for team_id, state in self._state_by_team.items():
            state.share.advance(now, self._is_outage)
            out += self._serve_waiting(team_id, state, now)
            if state.report_at is not None and now >= state.report_at:
                out += self._build_report(team_id, state, now)
            if state.peer_request_at is not None and now >= state.peer_request_at:
                out += self._peer_transfers.build_request(
                    team_id, state, self._is_outage, now
                )
        return out

    def status(self, now: float) -> Status:
        """Return the instance's shares, in tokens and tokens per second."""
        for state in self._state_by_team.values():
            state.share.advance(now, self._is_outage)
        teams = [
            state.to_status(team_id) for team_id, state in self._state_by_team.items()
        ]
        return {"teams": teams, "outage": self._is_outage}

    def gauges(self) -> dict[str, float]:
        """Return the number of requests that wait for tokens."""
        states = self._state_by_team.values()
        return {"tokens.waiting": sum(len(state.waiting) for state in states)}

    def wake_at(self) -> float | None:
        """Return the earliest time at which something is due for any team."""
        times = [
            time
            for state in self._state_by_team.values()
            for time in state.wake_times()
        ]
        return min(times, default=None)

    def _get_state(self, team_id: str) -> TeamState:
        state = self._state_by_team.get(team_id)
        if state is None:
            state = self._state_by_team[team_id] = TeamState()
        return state

    def _on_spend(
        self, reply_to: Address, spend: SpendTokens, now: float
    ) -> list[Outgoing]:
        team = self._team_by_id.get(spend.team)
        amount = math.ceil(max(spend.tokens, 0.0) * MILLITOKENS_PER_TOKEN)
        reason = self._check_spend(team, amount)
        if team is None or reason is not None:
            refusal = reason or SpendRefusal.UNKNOWN_TEAM
            retry_after_s = 1.0 if refusal is SpendRefusal.DRAINING else None
            return [Outgoing(reply_to, SpendRefused(retry_after_s, refusal))]
        state = self._get_state(team.id)
        state.share.advance(now, self._is_outage)
        state.requested_amount += amount
        state.used_at = now
        state.surrender_no = None
        if state.report_at is None or state.report_at > now + REPORT_INTERVAL_S:
            state.report_at = now + REPORT_INTERVAL_S
        state.waiting.append(WaitingSpend(reply_to, amount, now + spend.wait_s))
        out = self._serve_waiting(team.id, state, now)
        if state.waiting:
            state.report_at = min(
                state.report_at,
                max(now, state.reported_at + SHORTAGE_REPORT_INTERVAL_S),
            )
            if self._is_outage and now > state.granted_at + ALLOCATOR_SILENT_S:
                state.peer_request_at = state.peer_request_at or now
        return out + self._send_due(team.id, state, now)

    def _send_due(self, team_id: str, state: TeamState, now: float) -> list[Outgoing]:
        """Return messages that are due now, without waiting for the next wake-up."""
        out: list[Outgoing] = []
        if state.report_at is not None and now >= state.report_at:
            out += self._build_report(team_id, state, now)
        if state.peer_request_at is not None and now >= state.peer_request_at:
            out += self._peer_transfers.build_request(
                team_id, state, self._is_outage, now
            )
        return out

    def _check_spend(self, team: Team | None, amount: int) -> SpendRefusal | None:
        if team is None:
            return SpendRefusal.UNKNOWN_TEAM
        if amount > team.burst * MILLITOKENS_PER_TOKEN:
            return SpendRefusal.LARGER_THAN_BURST
        return SpendRefusal.DRAINING if self._is_draining else None

    def _serve_waiting(
        self, team_id: str, state: TeamState, now: float
    ) -> list[Outgoing]:
        """Grant waiting requests in order, then refuse those that have timed out."""
        # The handler of a request past its deadline no longer waits.
        out = self._refuse_waiting(
            team_id, state, lambda spend: self._is_draining or spend.deadline < now
        )
        while state.waiting:
            first = state.waiting[0]
            if not state.share.spend(self._next_spend_id, first.amount):
                break
            state.waiting.popleft()
            self._team_by_spend[self._next_spend_id] = team_id
            out.append(Outgoing(first.reply_to, SpendGranted(self._next_spend_id, now)))
            self._next_spend_id += 1
        out += self._refuse_waiting(team_id, state, lambda spend: spend.deadline <= now)
        if not state.waiting:
            state.peer_request_at = None
        return out

    def _refuse_waiting(
        self, team_id: str, state: TeamState, is_expired: Callable[[WaitingSpend], bool]
    ) -> list[Outgoing]:
        out: list[Outgoing] = []
        team = self._team_by_id.get(team_id)
        rate = team.rate if team else 0.0
        share = state.share
        for waiting in [spend for spend in state.waiting if is_expired(spend)]:
            state.waiting.remove(waiting)
            lacking = (
                waiting.amount - share.level + share.debt
            ) / MILLITOKENS_PER_TOKEN
            retry_after_s = max(MIN_RETRY_AFTER_S, lacking / rate) if rate > 0 else None
            out.append(Outgoing(waiting.reply_to, SpendRefused(retry_after_s)))
        return out

    def _on_settle(self, settle: SettleTokens, now: float) -> list[Outgoing]:
        team_id = self._team_by_spend.pop(settle.spend_id, None)
        if team_id is None:
            return []
        state = self._get_state(team_id)
        state.share.advance(now, self._is_outage)
        state.share.settle(
            settle.spend_id, math.ceil(max(settle.used, 0.0) * MILLITOKENS_PER_TOKEN)
        )
        return self._serve_waiting(team_id, state, now)

    def _build_report(
        self, team_id: str, state: TeamState, now: float
    ) -> list[Outgoing]:
        share = state.share
        share.advance(now, self._is_outage)
        state.measure_demand(now)
        state.report_at = state.next_report_at(now)
        owner = self._owner_by_partition.get(limits_partition(team_id))
        if owner is None:
            return []
        number = self._next_report_no
        self._next_report_no += 1
        state.record_sent(number, now)
        closed_id = share.final_closed_id(now)
        report = ShareReport(
            team=team_id,
            incarnation=self._incarnation,
            request_no=number,
            epoch=share.share_id[0],
            lease_no=share.share_id[1],
            closed_epoch=closed_id[0],
            closed_lease_no=closed_id[1],
            holding=share.holding,
            applied=share.applied,
            returned=share.returned,
            demand=int(state.demand),
            wanted=state.wanted_level,
            surrendering=state.surrender_no is not None,
        )
        return [Outgoing(Address(owner, ALLOCATOR_TASK), report)]

    def _on_grant(
        self, sender: Address, grant: ShareGrant, now: float
    ) -> list[Outgoing]:
        state = self._state_by_team.get(grant.team)
        if state is None:
            return []
        sent_at = state.sent_at_by_no.get(grant.request_no)
        share = state.share
        share.advance(now, self._is_outage)
        if sent_at is None or not share.apply_grant(
            grant, sent_at, now, self._is_outage
        ):
            return []
        state.granted_at = now
        state.granted_by = sender.instance_id
        out = self._serve_waiting(grant.team, state, now)
        if not state.waiting:
            self._return_surplus(grant, state, now)
        return out + self._send_due(grant.team, state, now)

    def _return_surplus(self, grant: ShareGrant, state: TeamState, now: float) -> None:
        """Return surplus quota; the allocator is known to be alive at this time."""
        share = state.share
        owner = self._owner_by_partition.get(limits_partition(grant.team))
        if owner != state.granted_by:
            return
        if state.surrender_no is None and (
            self._is_draining
            or (now > state.used_at + SURRENDER_AFTER_S and not share.transferred_out)
        ):
            state.surrender_no = self._next_report_no
        if state.surrender_no is None:
            returned = share.return_surplus(share.target_rate, share.target_cap)
            if returned and state.report_at is not None:
                state.report_at = min(state.report_at, now + REPORT_INTERVAL_S)
            return
        returned = share.return_surplus(0, 0)
        if grant.request_no >= state.surrender_no and not returned:
            # The allocator has seen that nothing is left.
            share.void()
            state.surrender_no = None
            state.report_at = None
        else:
            state.report_at = now

    def _on_recall(self, recall: ShareRecall, now: float) -> list[Outgoing]:
        state = self._state_by_team.get(recall.team)
        if state is None or state.waiting:
            return []
        state.share.advance(now, self._is_outage)
        if not state.share.return_recalled(recall):
            return []
        return self._build_report(recall.team, state, now)

    def _drain(self, now: float) -> list[Outgoing]:
        self._is_draining = True
        out: list[Outgoing] = []
        for team_id, state in self._state_by_team.items():
            state.share.advance(now, self._is_outage)
            out += self._serve_waiting(team_id, state, now)
            if state.share.is_held:
                state.surrender_no = self._next_report_no
                state.share.return_surplus(0, 0)
                out += self._build_report(team_id, state, now)
        return out

    def _set_owners(self, owners: dict[str, str], now: float) -> None:
        for team_id, state in self._state_by_team.items():
            partition = limits_partition(team_id)
            has_new_owner = owners.get(partition) != self._owner_by_partition.get(
                partition
            )
            if has_new_owner and (state.share.is_held or state.waiting):
                # Registers the share with the new allocator.
                state.report_at = now
        self._owner_by_partition = dict(owners)

    def _set_outage(self, is_outage: bool, now: float) -> None:
        for state in self._state_by_team.values():
            state.share.advance(now, self._is_outage)
            if self._is_outage and not is_outage and state.share.is_held:
                state.share.end_outage(now)
        if is_outage or self._is_outage:
            self._last_outage_at = now
        self._is_outage = is_outage

    def _answer_outage(self, question: OutageQuestion, now: float) -> OutageAnswer:
        if self._is_outage:
            self._last_outage_at = now
        age_s = None if self._last_outage_at is None else now - self._last_outage_at
        return OutageAnswer(
            partition=question.partition,
            epoch=question.epoch,
            number=question.number,
            outage_age_s=age_s,
            uptime_s=now - self._started_at,
        )

    def _on_transfer_request(
        self, sender: Address, request: TransferRequest, now: float
    ) -> list[Outgoing]:
        state = self._state_by_team.get(request.team)
        if state is None:
            return []
        return self._peer_transfers.handle_request(
            sender, request, state, self._is_outage, now
        )

    def _on_transfer(self, transfer: QuotaTransfer, now: float) -> list[Outgoing]:
        state = self._state_by_team.get(transfer.team)
        if state is None or not self._peer_transfers.apply_transfer(
            transfer, state, self._is_outage, now
        ):
            return []
        return self._serve_waiting(transfer.team, state, now)
