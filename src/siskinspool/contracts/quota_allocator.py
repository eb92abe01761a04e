"""Decision `QuotaAllocator`: allocates shares of the teams' contracts (R5, M4).

The owner of a partition ``limits/<n>`` answers each `ShareReport` with a `ShareGrant`.
It never allocates quota that another holder may still use:

- it acts only while the session under which it gained the partition is valid;
- it reclaims a silent instance's share only after the share has expired there;
- after a takeover it allocates the remainder of a contract only after every older
  share has expired.

Both waits last 11 s if a majority of members, asked after the start of the wait,
answers that there was no outage in the last hour. Otherwise they last an hour, because
shares do not expire in outage mode. In outage mode an allocator whose session has
lapsed continues to move existing quota but adds none.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..machines.messages import (
    CatalogChanged,
    FreshnessChanged,
    OwnershipGained,
    OwnershipLost,
    ReleaseOwnership,
)
from ..machines.session_validity import SESSION_MARGIN_S
from ..store.kv_events import SessionGone, SessionRenewed
from .limits_partition import PREFIX, limits_partition
from .quota_ledger import LeaseHolder, QuotaLease, QuotaLedger
from .quota_partition import QuotaPartition, list_reserves
from .share_messages import (
    EXPIRY_MARGIN_S,
    MILLITOKENS_PER_TOKEN,
    OUTAGE_HOLD_S,
    SHARE_TTL_S,
    OutageAnswer,
    QuotaAmount,
    ShareGrant,
    ShareRecall,
    ShareReport,
)

# Epoch of the first owner of a partition.
FIRST_EPOCH: Final = 1
TICK_S: Final = 0.25
# Without a minimum interval, each report during a lasting shortage would recall the
# same levels.
RECALL_INTERVAL_S: Final = 0.1
SHARE_EXPIRY_S: Final = SHARE_TTL_S + EXPIRY_MARGIN_S
SHARE_EXPIRY_IN_OUTAGE_S: Final = OUTAGE_HOLD_S + EXPIRY_MARGIN_S
# Within this time every running instance has learned that an outage is over.
OUTAGE_END_NOTICE_S: Final = 60.0


class QuotaAllocator(Decision):
    """Decision of the task ``mint``: owner of the quota of the teams' contracts."""

    def __init__(self) -> None:
        self._partition_by_name: dict[str, QuotaPartition] = {}
        self._contract_by_team: dict[str, tuple[int, int]] = {}
        self._members: frozenset[str] = frozenset()
        # Id of the current session.
        self._session_id: int | None = None
        self._valid_until = float("-inf")
        self._is_outage = False
        # When this or another instance was last in outage mode.
        self._last_outage_at = float("-inf")
        self._next_tick_at: float | None = None

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle one message."""
        match incoming.message:
            case ShareReport() as report:
                return self._on_report(incoming.sender, report, now)
            case OutageAnswer() as answer:
                self._on_outage_answer(incoming.sender.instance_id, answer, now)
            case SessionRenewed() as renewed:
                self._on_session_renewed(renewed)
            case SessionGone():
                self._valid_until = float("-inf")
            case OwnershipGained(partition, epoch):
                self._on_ownership_gained(partition, epoch, now)
            case OwnershipLost(partition):
                self._on_ownership_lost(partition)
            case MembershipChanged(members):
                self._members = frozenset(members)
            case FreshnessChanged(is_store_outage=is_outage):
                self._set_outage(is_outage, now)
            case CatalogChanged() as changed:
                return self._set_contracts(changed, now)
            case ReleaseOwnership():
                return self._release_partitions(now)
            case _:
                pass
        return []

    def status(self, now: float) -> Status:
        """Return the reserves of the teams in the partitions of this instance."""
        return {"teams": list_reserves(self._partition_by_name.values(), now)}

    def on_time(self, now: float) -> list[Outgoing]:
        """Reclaim expired shares, allocate remainders and ask about outages."""
        if self._next_tick_at is None or now < self._next_tick_at:
            return []
        self._next_tick_at = now + TICK_S if self._partition_by_name else None
        if self._is_outage:
            self._last_outage_at = now
        if self._is_outage or now >= self._valid_until:
            return []
        out: list[Outgoing] = []
        for name, partition in self._partition_by_name.items():
            if self._is_active(partition, now):
                out += self._maintain_partition(name, partition, now)
        return out

    def wake_at(self) -> float | None:
        """Return the time of the next tick."""
        return self._next_tick_at

    def _is_active(self, partition: QuotaPartition, now: float) -> bool:
        if partition.session_id is None or partition.session_id != self._session_id:
            return False
        if now < self._valid_until:
            return not partition.is_lost
        # The successor waits an hour from the takeover, which is not before
        # `_valid_until`. A grant made later than this could outlive that hour.
        return (
            self._is_outage and now < self._valid_until + OUTAGE_HOLD_S - SHARE_EXPIRY_S
        )

    def _on_session_renewed(self, renewed: SessionRenewed) -> None:
        valid_until = renewed.sent_at + renewed.ttl_s - SESSION_MARGIN_S
        if renewed.lease_id == self._session_id:
            self._valid_until = max(self._valid_until, valid_until)
            return
        self._session_id = renewed.lease_id
        self._valid_until = valid_until
        # A partition gained under the old session may have a new owner by now.
        for name, partition in list(self._partition_by_name.items()):
            if partition.session_id is None:
                partition.session_id = renewed.lease_id
            elif partition.session_id != renewed.lease_id:
                del self._partition_by_name[name]

    def _on_ownership_gained(self, name: str, epoch: int, now: float) -> None:
        if not name.startswith(PREFIX):
            return
        existing = self._partition_by_name.get(name)
        if existing is not None and existing.epoch >= epoch:
            existing.is_lost = existing.is_lost and existing.epoch > epoch
            return
        partition = QuotaPartition(epoch, now, self._session_id)
        # The first owner has no predecessor whose shares could still be in use.
        partition.has_remainder = epoch == FIRST_EPOCH
        self._partition_by_name[name] = partition
        self._open_ledgers(name, partition, now)
        self._next_tick_at = now

    def _on_ownership_lost(self, name: str) -> None:
        partition = self._partition_by_name.get(name)
        if partition is None:
            return
        if self._is_outage:
            partition.is_lost = True
        else:
            del self._partition_by_name[name]

    def _set_outage(self, is_outage: bool, now: float) -> None:
        if is_outage or self._is_outage:
            self._last_outage_at = now
        self._is_outage = is_outage
        if not is_outage:
            for name, partition in list(self._partition_by_name.items()):
                if partition.is_lost:
                    del self._partition_by_name[name]

    def _set_contracts(self, changed: CatalogChanged, now: float) -> list[Outgoing]:
        self._contract_by_team = {
            team.id: (
                int(team.rate * MILLITOKENS_PER_TOKEN),
                int(team.burst * MILLITOKENS_PER_TOKEN),
            )
            for team in changed.catalog.team_by_id.values()
        }
        out: list[Outgoing] = []
        for name, partition in self._partition_by_name.items():
            self._open_ledgers(name, partition, now)
            for team, ledger in partition.ledger_by_team.items():
                contract = self._contract_by_team.get(team, (0, 0))
                if contract == (ledger.rate, ledger.cap):
                    continue
                ledger.set_contract(*contract, now)
                if self._is_active(partition, now):
                    # Sent immediately, so that a reduced contract takes effect soon.
                    for lease in ledger.lease_by_holder.values():
                        out.append(
                            self._build_grant(partition, team, ledger, lease, now)
                        )
        return out

    def _release_partitions(self, now: float) -> list[Outgoing]:
        """Grant the reserves to the instances, which report them to the successor."""
        out: list[Outgoing] = []
        for partition in self._partition_by_name.values():
            if not self._is_active(partition, now):
                continue
            for team, ledger in partition.ledger_by_team.items():
                for lease in ledger.grant_all(now):
                    out.append(self._build_grant(partition, team, ledger, lease, now))
        self._partition_by_name.clear()
        return out

    def _on_outage_answer(
        self, instance_id: str, answer: OutageAnswer, now: float
    ) -> None:
        partition = self._partition_by_name.get(answer.partition)
        if partition is None or partition.epoch != answer.epoch:
            return
        if not partition.outage_inquiry.record_answer(instance_id, answer):
            return
        if answer.outage_age_s is not None:
            self._last_outage_at = max(self._last_outage_at, now - answer.outage_age_s)

    def _open_ledgers(self, name: str, partition: QuotaPartition, now: float) -> None:
        """Create the ledgers, so that the reserves fill before the first request."""
        for team in self._contract_by_team:
            if limits_partition(team) == name:
                self._get_ledger(partition, team, now)

    def _get_ledger(
        self, partition: QuotaPartition, team: str, now: float
    ) -> QuotaLedger:
        ledger = partition.ledger_by_team.get(team)
        if ledger is None:
            ledger = QuotaLedger(now)
            ledger.set_contract(*self._contract_by_team.get(team, (0, 0)), now)
            if partition.has_remainder:
                ledger.add_remainder(now)
            partition.ledger_by_team[team] = ledger
        return ledger

    def _on_report(
        self, sender: Address, report: ShareReport, now: float
    ) -> list[Outgoing]:
        partition = self._partition_by_name.get(limits_partition(report.team))
        if partition is None or not self._is_active(partition, now):
            return []
        if report.epoch > partition.epoch or report.closed_epoch > partition.epoch:
            return []
        ledger = self._get_ledger(partition, report.team, now)
        lease = self._update_lease(partition, ledger, sender, report, now)
        if lease is None:
            return []
        out = []
        if not lease.is_surrendering:
            ledger.grant_up_to_target(lease)
            if ledger.grant_wanted_level(lease) > 0:
                out += self._recall_level(partition, report.team, ledger, lease, now)
        out.append(self._build_grant(partition, report.team, ledger, lease, now))
        if (
            lease.is_surrendering
            and lease.outstanding_rate == 0
            and lease.outstanding_cap == 0
        ):
            ledger.close_lease((sender.instance_id, report.incarnation), now)
        return out + self._serve_waiting(partition, report.team, ledger, lease, now)

    def _update_lease(
        self,
        partition: QuotaPartition,
        ledger: QuotaLedger,
        sender: Address,
        report: ShareReport,
        now: float,
    ) -> QuotaLease | None:
        """Apply a report to its sender's lease; return None if it is outdated."""
        holder: LeaseHolder = (sender.instance_id, report.incarnation)
        lease = ledger.lease_by_holder.get(holder)
        if lease is not None and report.request_no <= lease.request_no:
            return None
        if (
            lease is not None
            and report.closed_epoch == partition.epoch
            and report.closed_lease_no >= lease.lease_no
        ):
            ledger.close_lease(holder, now)
            lease = None
        if lease is None:
            # Once the remainder is allocated, an older share would count twice.
            is_kept = report.epoch < partition.epoch and not ledger.has_remainder
            held_amount = QuotaAmount(report.holding.rate, report.holding.cap)
            base = held_amount if is_kept else QuotaAmount()
            lease = ledger.open_lease(holder, sender.task, base, now)
        is_same_lease = (report.epoch, report.lease_no) == (
            partition.epoch,
            lease.lease_no,
        )
        if not is_same_lease:
            # The totals of the report belong to another lease.
            report = attrs.evolve(
                report, applied=lease.applied, returned=lease.returned
            )
        ledger.record_report(lease, report, now)
        return lease

    def _serve_waiting(
        self,
        partition: QuotaPartition,
        team: str,
        ledger: QuotaLedger,
        served: QuotaLease,
        now: float,
    ) -> list[Outgoing]:
        """Grant returned level to other instances with waiting requests."""
        out: list[Outgoing] = []
        if ledger.level <= 0:
            return out
        for lease in ledger.lease_by_holder.values():
            if lease is not served and lease.missing_level() > 0 and ledger.level > 0:
                ledger.grant_wanted_level(lease)
                out.append(self._build_grant(partition, team, ledger, lease, now))
        return out

    def _recall_level(
        self,
        partition: QuotaPartition,
        team: str,
        ledger: QuotaLedger,
        lacking_lease: QuotaLease,
        now: float,
    ) -> list[Outgoing]:
        recalled_at = partition.recalled_at_by_team.get(team)
        if recalled_at is not None and now < recalled_at + RECALL_INTERVAL_S:
            return []
        others = [
            lease
            for lease in ledger.lease_by_holder.values()
            if lease is not lacking_lease
            and lease.level > 0
            and lease.wanted_level == 0
        ]
        total = sum(lease.level for lease in others)
        if total == 0:
            return []
        partition.recalled_at_by_team[team] = now
        fraction = min(1.0, lacking_lease.missing_level() / total)
        return [
            Outgoing(
                Address(lease.instance_id, lease.task),
                ShareRecall(team, partition.epoch, lease.lease_no, fraction),
            )
            for lease in others
        ]

    def _build_grant(
        self,
        partition: QuotaPartition,
        team: str,
        ledger: QuotaLedger,
        lease: QuotaLease,
        now: float,
    ) -> Outgoing:
        lease.granted_at = now
        target_rate, target_cap = ledger.targets(lease)
        hold_s = min(OUTAGE_HOLD_S, self._valid_until + OUTAGE_HOLD_S - now)
        grant = ShareGrant(
            team=team,
            epoch=partition.epoch,
            lease_no=lease.lease_no,
            request_no=lease.request_no,
            base=lease.base,
            given=lease.granted,
            target_rate=target_rate,
            target_cap=target_cap,
            hold_s=max(0.0, hold_s),
        )
        return Outgoing(Address(lease.instance_id, lease.task), grant)

    def _maintain_partition(
        self, name: str, partition: QuotaPartition, now: float
    ) -> list[Outgoing]:
        self._reclaim_expired_leases(partition, now)
        if not partition.has_remainder and self._is_remainder_free(partition, now):
            partition.has_remainder = True
            for ledger in partition.ledger_by_team.values():
                ledger.add_remainder(now)
        if partition.has_remainder and not any(
            now >= lease.granted_at + SHARE_TTL_S
            for ledger in partition.ledger_by_team.values()
            for lease in ledger.lease_by_holder.values()
        ):
            return []
        return partition.outage_inquiry.build_questions(
            name, partition.epoch, self._members, now
        )

    def _reclaim_expired_leases(self, partition: QuotaPartition, now: float) -> None:
        for ledger in partition.ledger_by_team.values():
            for holder, lease in list(ledger.lease_by_holder.items()):
                valid_from = lease.granted_at
                if now < valid_from + SHARE_EXPIRY_S:
                    continue
                is_outage_free = self._last_outage_at < valid_from - OUTAGE_END_NOTICE_S
                if now >= valid_from + SHARE_EXPIRY_IN_OUTAGE_S or (
                    is_outage_free
                    and partition.outage_inquiry.has_majority(
                        self._members, valid_from + SHARE_TTL_S
                    )
                ):
                    ledger.close_lease(holder, now)

    def _is_remainder_free(self, partition: QuotaPartition, now: float) -> bool:
        """Return whether every share of an older epoch has expired or is known here."""
        valid_from = partition.gained_at
        if now >= valid_from + SHARE_EXPIRY_IN_OUTAGE_S:
            return True
        is_outage_free = now >= self._last_outage_at + OUTAGE_HOLD_S
        return (
            now >= valid_from + SHARE_EXPIRY_S
            and is_outage_free
            and partition.outage_inquiry.has_majority(self._members, valid_from)
        )
