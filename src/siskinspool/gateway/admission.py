"""Admission of requests under the desired state.

`admit` finds the route, checks the key and returns an `Admission` or a refusal. Its
only inputs are the request's head and the desired state.
"""

from __future__ import annotations

import attrs
import xxhash

from ..core.errors import ErrorCode
from ..core.outcome import Refusal
from .desired_state import DesiredState, Route
from .request import RequestHead


@attrs.frozen(kw_only=True)
class Admission:
    """The route, service, team and priority of an admitted request."""

    route: Route
    service: str
    # Empty on a public route, or where no keys are in use.
    team: str
    # Charged to the team's cap.
    tokens: int
    # 0 is the most urgent.
    priority: int
    keeps_authorization: bool


def admit(head: RequestHead, desired: DesiredState) -> Admission | Refusal:
    """Return the admission of a request, or its refusal."""
    route = desired.find_route(head.host, head.path)
    if route is None:
        return Refusal(404, ErrorCode.UNKNOWN_ROUTE, "no route has this host and path")
    uses_keys = bool(desired.team_by_name)
    team_name = ""
    if uses_keys and not route.public:
        team_name = desired.team_name_by_key.get(head.key, "")
        if not team_name:
            code = ErrorCode.KEY_REJECTED if head.key else ErrorCode.KEY_MISSING
            return Refusal(401, code, "the key is not known")
    team = desired.team_by_name.get(team_name)
    priority, tokens = route.priority, head.tokens or 0
    if team is not None:
        if team.priority is not None:
            priority = team.priority
        if head.tokens is None:
            tokens = team.plain_tokens
    return Admission(
        route=route,
        # A stream goes on at the service that began it.
        service=_pick_service(route, head.stream_id),
        team=team_name,
        tokens=tokens,
        priority=priority,
        keeps_authorization=not uses_keys,
    )


def _pick_service(route: Route, request_id: str) -> str:
    """Return a service by the route's weights, always the same for a request id."""
    total = sum(item.weight for item in route.services)
    if total <= 0:
        return route.services[0].service
    position = xxhash.xxh3_64_intdigest(request_id.encode()) % total
    for item in route.services:
        position -= item.weight
        if position < 0:
            return item.service
    return route.services[-1].service
