"""Reports a gateway's demand and its running requests to the leader once a second."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .demand import (
    REQUESTERS_HALF_LIFE_S,
    TOKENS_HALF_LIFE_S,
    UnreportedCounts,
    target_name,
)
from .messages import AssignServer, DemandReport
from .run_durations import RunDurations
from .server_view import ServerView

DEMAND_INTERVAL_S: Final = 1.0


class DemandReporter:
    """Counts the requests of a gateway and measures how long they run."""

    def __init__(self) -> None:
        self.next_at = 0.0
        self._tokens = UnreportedCounts(TOKENS_HALF_LIFE_S)
        self._requesters = UnreportedCounts(REQUESTERS_HALF_LIFE_S)
        self._run_lengths = RunDurations()

    def count_request(self, call: AssignServer, now: float) -> None:
        """Count a request for a model."""
        if call.model:
            target = target_name(call.model, call.adapter)
            self._tokens.add(call.service, target, call.tokens, now)

    def count_requester(self, call: AssignServer, now: float) -> None:
        """Count a requester that asks for a model for the first time."""
        if call.model:
            self._requesters.add(call.service, call.model, 1, now)

    def record_answer(self, view: ServerView, request_id: str, now: float) -> None:
        """Record the run time of a request whose whole answer has arrived."""
        view.record_run(request_id, self._run_lengths, now)

    def restart_reports(self, now: float) -> None:
        """Include the recent past in the next report, for a newly elected leader."""
        self._tokens.restore_recent(now)
        self._requesters.restore_recent(now)

    def pop_reports(
        self, views: Iterable[ServerView], now: float
    ) -> list[DemandReport]:
        """Return a report for each service, and reset the counts."""
        tokens_by_service = self._tokens.pop_report()
        requesters_by_service = self._requesters.pop_report()
        runs_by_service: dict[str, dict[str, dict[str, float]]] = {}
        for view in views:
            if runs := view.runs_by_target(self._run_lengths, now):
                record = view.record
                runs_by_server = runs_by_service.setdefault(record.service, {})
                runs_by_server[record.server_id] = runs
        return [
            DemandReport(
                service,
                tokens_by_service.get(service, {}),
                runs_by_service.get(service, {}),
                requesters_by_service.get(service, {}),
            )
            for service in sorted(
                tokens_by_service.keys()
                | requesters_by_service.keys()
                | runs_by_service.keys()
            )
        ]
