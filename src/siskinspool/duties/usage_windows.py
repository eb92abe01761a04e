"""The ``usage_windows`` decision: decides each window once and reports it.

Only the holder decides. A window is decided when the counts of all gateways, and of all
others that reported counts of it, are final, at the latest some time before its report
is due. Windows are reported in order, each after the
platform has taken the one before.
"""

from __future__ import annotations

import logging
import math
from typing import Final

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..gateway.messages import LeadershipHeld, LeadershipLost
from ..store.kv import KvReply
from ..store.kv_task import KV_TASK
from ..telemetry.logs import log_event
from .duty_calls import UsageEncoding
from .duty_messages import (
    DUTY_TASK,
    DutyEnded,
    DutyResult,
    TrueTimeEstimated,
    UsageOrder,
    UsageReceived,
    UsageReport,
)
from .duty_settings import DutySettings
from .holder_term import HolderTerm
from .usage_counts import source_name
from .usage_ledger import UsageLedger
from .window_counts import RETAINED_WINDOWS, WindowCounts

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S: Final = 0.1
# Parts of the time until a report is due. Requests that turn out not to have run are
# withdrawn before the earliest decision; after the latest one, the store and the
# platform need some time.
EARLIEST_PART: Final = 0.2
LATEST_PART: Final = 0.6
# A new holder gets the counts of all gateways and witnesses within this time, also
# those of its predecessor, which may have lost its session.
COLLECT_S: Final = 1.5
# The counts of the last decided windows are kept: a store that returns from an older
# copy has lost the decisions, and the windows are decided again.
KEPT_DECIDED_WINDOWS: Final = 6
# An order that was lost between the tasks is given again after this time.
ORDER_REPEAT_S: Final = 5.0


class UsageWindows(Decision):
    """Collects the counts and decides the windows."""

    def __init__(
        self,
        own: Member,
        settings: DutySettings,
        encoding: UsageEncoding,
        now: float,
    ) -> None:
        self._id = own.instance_id
        self._settings = settings
        self._encoding = encoding
        self._term = HolderTerm(settings, now)
        self._ledger = UsageLedger(epoch=0)
        self._counts = WindowCounts()
        self._live_sources = {source_name(own)}
        # True time minus the instance's clock.
        self._offset_s: float | None = None
        self._next_check_at: float | None = None
        self._ordered: UsageOrder | None = None
        self._ordered_at = 0.0

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle counts, a reply of the store, the end of a call or a change."""
        match incoming.message:
            case UsageReport() as report:
                return self._collect(incoming.sender, report)
            case TrueTimeEstimated(offset_s):
                self._offset_s = offset_s
            case MembershipChanged(member_by_id):
                self._set_members(member_by_id)
            case KvReply() as reply:
                self._ledger.handle_reply(reply, now)
                return self._advance(now)
            case DutyEnded(UsageOrder() as order, result):
                return self._on_ended(order, result, now)
            case LeadershipHeld(epoch) as held:
                self._ledger = UsageLedger(epoch)
                self._ordered = None
                self._next_check_at = now
                self._term.handle(held, now)
            case LeadershipLost() as lost:
                self._next_check_at = None
                self._term.handle(lost, now)
            case other:
                self._term.handle(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Decide or report the next window if it is due."""
        if self._next_check_at is None or now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
        return self._advance(now)

    def wake_at(self) -> float | None:
        """Return when the windows are checked next."""
        return self._next_check_at

    def status(self, now: float) -> Status:
        """Return what this gateway has decided as the holder."""
        return {
            "epoch": self._term.epoch,
            "decided_through": self._ledger.decided_through,
        }

    def _set_members(self, member_by_id: dict[str, Member]) -> None:
        self._live_sources = {source_name(one) for one in member_by_id.values()}

    def _collect(self, sender: Address, report: UsageReport) -> list[Outgoing]:
        decided_through = self._ledger.decided_through or 0
        if report.window <= decided_through:
            total, is_final = report.total, report.is_final
        else:
            counts = self._counts.apply(report)
            total, is_final = counts.total, counts.is_final
            if not is_final and not counts.misses_part_of(report):
                return []
        received = UsageReceived(
            report.source,
            report.window,
            total,
            is_final,
            decided_through=max(decided_through - KEPT_DECIDED_WINDOWS, 0),
        )
        return [Outgoing(sender, received)]

    # Deciding

    def _advance(self, now: float) -> list[Outgoing]:
        # A holder that was frozen may not know yet that it has been replaced.
        if not self._term.is_valid(now):
            return []
        decision = self._next_decision(now)
        request = self._ledger.pop_request(decision, now)
        batch = [] if request is None else [self._to(KV_TASK, request)]
        return batch + self._order_report(now)

    def _next_decision(self, now: float) -> tuple[int, bytes] | None:
        """Return the next window with its report, if it can be decided now."""
        if not self._ledger.is_loaded or self._offset_s is None:
            return None
        window = self._next_window(now + self._offset_s)
        if window is None or not self._can_decide(window, now):
            return None
        self._counts.drop_through(window - 1 - KEPT_DECIDED_WINDOWS)
        return window, self._encoding.encode(window, self._counts.count_by_team(window))

    def _next_window(self, unix_s: float) -> int | None:
        decided = self._ledger.decided_through
        if decided is None:
            return self._counts.first_window()
        # After a standstill of the whole deployment there are no counts to report.
        oldest = math.floor(unix_s / self._settings.usage_window_s) - RETAINED_WINDOWS
        return max(decided + 1, oldest)

    def _can_decide(self, window: int, now: float) -> bool:
        settings = self._settings
        ended_s = now + (self._offset_s or 0.0) - (window + 1) * settings.usage_window_s
        if ended_s < EARLIEST_PART * settings.usage_late_s:
            return False
        if now < self._term.began_at + COLLECT_S:
            return False
        expected = self._live_sources | self._counts.sources(window)
        if expected <= self._counts.final_sources(window):
            return True
        return ended_s >= LATEST_PART * settings.usage_late_s

    # Reporting

    def _order_report(self, now: float) -> list[Outgoing]:
        report = self._ledger.next_report()
        if report is None or not self._term.allows_calls(now):
            return []
        window, body = report
        epoch = self._term.epoch or 0
        order = UsageOrder(epoch=epoch, window=window, body=body)
        if order == self._ordered and now < self._ordered_at + ORDER_REPEAT_S:
            return []
        self._ordered, self._ordered_at = order, now
        return [self._to(DUTY_TASK, order)]

    def _on_ended(
        self, order: UsageOrder, result: DutyResult, now: float
    ) -> list[Outgoing]:
        if result is DutyResult.REFUSED_EPOCH:
            self._term.refuse(order.epoch)
            return []
        if result is DutyResult.INVALID:
            # A repeat would be refused as well, and hold up all later windows.
            log_event(
                logger, logging.ERROR, "usage_report_invalid", window=order.window
            )
        else:
            log_event(logger, logging.INFO, "usage_reported", window=order.window)
        self._ledger.record_sent(order.window)
        return self._advance(now)

    def _to(self, task: str, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, task), message)
