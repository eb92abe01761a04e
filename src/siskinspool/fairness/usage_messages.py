"""What gateways tell each other about the usage of their teams."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..links.codec import wire


@attrs.frozen
class ClassUsage:
    """Cost per second by team, of one urgency class of a service."""

    service: str
    priority: int
    cost_per_s_by_team: dict[str, int]


@wire
@attrs.frozen
class TeamUsageReport(Message):
    """The usage of the teams at the sender and at some gateways before it.

    At level n these are the 2 ** n gateways that end with the sender, in the order of
    their ids. Only the teams with the greatest usage are included.
    """

    level: int
    usages: tuple[ClassUsage, ...]
