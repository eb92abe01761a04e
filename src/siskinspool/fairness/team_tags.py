"""Start-time fair queueing between teams, without the queues.

Each team has a start tag, the virtual time at which its next request may start. Serving
a request of cost c advances the team's tag by c / weight, and the waiting team with the
lowest tag is next. A team that starts to wait gets at least the current virtual time,
so being idle earns no credit.
"""

from __future__ import annotations

from collections.abc import Container


class TeamTags:
    """The start tags of the teams that share one class of places."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._tag_by_team: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._tag_by_team)

    def start_waiting(self, team: str) -> None:
        """Raise the tag of a team that starts to wait to the virtual time."""
        self._tag_by_team[team] = max(self.tag(team), self._virtual_time)

    def tag(self, team: str) -> float:
        """Return the team's tag; the team with the lowest one is next."""
        return self._tag_by_team.get(team, self._virtual_time)

    def charge(self, team: str, cost: float, weight: float = 1.0) -> None:
        """Advance the tag of a team that has been served."""
        tag = self.tag(team)
        self._virtual_time = max(self._virtual_time, tag)
        self._tag_by_team[team] = tag + cost / weight

    def charge_elsewhere(self, team: str, cost: float) -> None:
        """Advance the tag of a team that has been served at another place.

        The virtual time stays: it is that of the requests served here.
        """
        self._tag_by_team[team] = max(self.tag(team), self._virtual_time) + cost

    def shrink_leads(self, factor: float) -> None:
        """Multiply how far the tags are ahead of the virtual time by a factor."""
        for team, tag in self._tag_by_team.items():
            lead = max(tag - self._virtual_time, 0.0)
            self._tag_by_team[team] = tag - lead * (1.0 - factor)

    def drop_idle(self, waiting: Container[str]) -> None:
        """Drop the teams that do not wait and whose tag no longer has an effect."""
        for team, tag in list(self._tag_by_team.items()):
            if tag <= self._virtual_time and team not in waiting:
                del self._tag_by_team[team]
