"""The servers of a gateway that may get a request, and the choice among them."""

from __future__ import annotations

import attrs

from .choice_explanation import ChoiceExplained, ExplainChoice, ServerFinding
from .messages import AssignServer
from .server_selection import ServerSelection, preferred_server
from .server_view import ServerView
from .server_views import ServerViews


@attrs.frozen
class ServerCandidates:
    """Finds the servers that may get a request, and chooses one; times in seconds."""

    _views: ServerViews
    _selection: ServerSelection
    # Limit the requests in flight to servers that have just started or recovered.
    _has_pace_limit: bool

    def choose(self, call: AssignServer, now: float) -> ServerView | None:
        """Return the best server for a request, or None if none may get it."""
        candidates = [
            view
            for view in self._views.by_id.values()
            if self.may_serve(view, call, now)
        ]
        others = [
            view for view in candidates if view.record.server_id not in call.avoided
        ]
        candidates = others or candidates
        return self._selection.select(candidates, call, now)

    def may_serve(self, view: ServerView, call: AssignServer, now: float) -> bool:
        """Return whether a server may get a request."""
        record = view.record
        return (
            record.service == call.service
            and call.software_version in ("", record.software_version)
            and record.server_id not in call.excluded
            and record.zone not in self._views.evacuated_zones
            and view.is_open(now)
            and self._views.brittle_allows_next(view, now)
            and (not call.model or view.holds(call.model, call.adapter, now))
            and (not view.is_cold(now) or view.cold_bucket.can_take(1, now))
            and (not self._has_pace_limit or view.estimate.may_send(now))
        )

    def count(self, call: AssignServer, now: float) -> int:
        """Return how many servers may get a request."""
        return sum(
            self.may_serve(view, call, now) for view in self._views.by_id.values()
        )

    def explain(self, question: ExplainChoice, now: float) -> ChoiceExplained:
        """Return where a request would go now, without sending it."""
        call = question.as_call()
        views = [
            view
            for view in self._views.by_id.values()
            if view.record.service == question.service
        ]
        usable = {
            view.record.server_id: view
            for view in views
            if self.may_serve(view, call, now)
        }
        chosen = self.choose(call, now)
        preferred = preferred_server(list(usable.values()), call) if usable else None
        findings = tuple(
            ServerFinding.of_view(
                view,
                call,
                now,
                may_serve=view.record.server_id in usable,
                cost_s=self._selection.cost_s(view, call, now),
            )
            for view in views
        )
        return ChoiceExplained(
            "" if chosen is None else chosen.record.server_id,
            "" if preferred is None else preferred.record.server_id,
            findings,
        )

    def silent_servers(self, call: AssignServer, now: float) -> tuple[str, ...]:
        """Return the servers that hold a model but are not open."""
        return tuple(
            server_id
            for server_id, view in self._views.by_id.items()
            if view.record.service == call.service
            and view.record.holdings.model_by_name.get(call.model) is not None
            and not view.is_open(now)
        )

    def preferred_for_adapter(self, call: AssignServer, now: float) -> str:
        """Return the server on which this gateway would prefer an adapter."""
        if not call.adapter:
            return ""
        base_model_call = attrs.evolve(call, adapter="")
        view = self.choose(base_model_call, now)
        return "" if view is None else view.record.server_id
