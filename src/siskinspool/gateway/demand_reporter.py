"""Reports a gateway's demand and its running requests to the leader once a second."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .demand import (
    REQUESTERS_HALF_LIFE_S,
    TOKENS_HALF_LIFE_S,
    CountLog,
    target_name,
)
from .messages import AssignServer, DemandSeen
from .run_lengths import RunLengths
from .server_view import ServerView

DEMAND_INTERVAL_S: Final = 1.0


class DemandReporter:
    """Counts the requests of a gateway and measures how long they run."""

    def __init__(self) -> None:
        self.next_at = 0.0
        self._tokens = CountLog(TOKENS_HALF_LIFE_S)
        self._requesters = CountLog(REQUESTERS_HALF_LIFE_S)
        self._run_lengths = RunLengths()

    def count_request(self, call: AssignServer, now: float) -> None:
        """Count a request for a model."""
        if call.model:
            target = target_name(call.model, call.adapter)
            self._tokens.add(call.service, target, call.tokens, now)

    def count_requester(self, call: AssignServer, now: float) -> None:
        """Count a requester that asks for a model for the first time."""
        if call.model:
            self._requesters.add(call.service, call.model, 1, now)

    def note_answer(self, view: ServerView, request_id: str, now: float) -> None:
        """Record the run time of a request whose whole answer has arrived."""
        view.note_run(request_id, self._run_lengths, now)

    def begin_anew(self, now: float) -> None:
        """Include the recent past in the next report, for a newly elected leader."""
        self._tokens.report_recent(now)
        self._requesters.report_recent(now)

    def take_reports(self, views: Iterable[ServerView], now: float) -> list[DemandSeen]:
        """Return a report for each service, and reset the counts."""
        tokens_by_service = self._tokens.take_report()
        requesters_by_service = self._requesters.take_report()
        runs_by_service: dict[str, dict[str, dict[str, float]]] = {}
        for view in views:
            if runs := view.runs_by_target(self._run_lengths, now):
                record = view.record
                runs_by_server = runs_by_service.setdefault(record.service, {})
                runs_by_server[record.server_id] = runs
        return [
            DemandSeen(
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
