"""Interface of the order in which waiting requests are offered a server."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import attrs

from .promise import Promise

# Service, model and adapter.
Target = tuple[str, str, str]


@attrs.frozen
class UsageClass:
    """An urgency class of a service, within which teams share places."""

    service: str
    # 0 is the most urgent.
    priority: int


@attrs.frozen(kw_only=True)
class WaitingEntry:
    """The attributes of a waiting request that determine its turn."""

    request_id: str
    target: Target
    # Empty if the request has no team.
    team: str
    # 0 is the most urgent.
    priority: int
    # In monotonic seconds.
    arrived_at: float
    # What it takes of its team's share, in tokens.
    cost: float
    # The place kept for it, if an earlier attempt was promised one.
    promise: Promise | None = None

    @property
    def since(self) -> float:
        """Return when it, or the attempt before it, began to wait."""
        return self.arrived_at if self.promise is None else self.promise.since

    @property
    def service(self) -> str:
        """Return the service whose places it waits for."""
        return self.target[0]

    @property
    def usage_class(self) -> UsageClass:
        """Return the class in which its team is charged."""
        return UsageClass(self.service, self.priority)


# Assigns a server to a request; returns False if none is free for it.
TryServe = Callable[[WaitingEntry], bool]


class WaitingOrder(ABC):
    """Decides which waiting request is offered a server next."""

    @abstractmethod
    def serve(self, entries: Iterable[WaitingEntry], try_serve: TryServe) -> None:
        """Call ``try_serve`` once for each entry, the next in turn first."""

    @abstractmethod
    def record_served(self, entry: WaitingEntry) -> None:
        """Record a request that got a server on arrival, without waiting."""

    @abstractmethod
    def record_elsewhere(
        self, usages: Iterable[tuple[UsageClass, str, float]], elapsed_s: float
    ) -> None:
        """Record the cost per second of teams at other gateways for a time.

        It is called regularly, without usages if no news has arrived.
        """


def contended_targets(entries: Iterable[WaitingEntry]) -> frozenset[Target]:
    """Return the targets for which several teams wait."""
    team_by_target: dict[Target, str] = {}
    return frozenset(
        entry.target
        for entry in entries
        if team_by_target.setdefault(entry.target, entry.team) != entry.team
    )
