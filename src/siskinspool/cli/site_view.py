"""The state of a site, merged from the status pages of all instances.

Instances see a server through different reports, so the states that they show can
differ briefly; a server's row names all of them. The tokens that a team may spend now
are the sum of the instances' shares and the reserve of its quota allocator.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs

Json = dict[str, Any]


@attrs.define
class ServerView:
    """A server or plain service, merged from the pages of all instances."""

    id: str
    zone: str
    running: int
    capacity: int
    replicas: list[str]
    # Instances by the state that they show for the server.
    instances_by_state: dict[str, list[str]] = attrs.field(factory=dict)

    @property
    def state(self) -> str:
        """Return the state, or all states if instances differ."""
        return "/".join(self.instances_by_state)

    @property
    def accepts_work(self) -> bool:
        """Return whether any instance may send calls to it."""
        return bool({"open", "ramping"} & self.instances_by_state.keys())


@attrs.define
class TeamView:
    """A team's shares at all instances and the reserve at its quota allocator."""

    id: str
    rate: float = 0.0
    level: float = 0.0
    # None if no allocator shows it, which happens briefly after a change of owner.
    reserve_level: float | None = None
    waiting: int = 0


@attrs.frozen
class SiteView:
    """The status pages by instance; pages read without the token show no tasks."""

    page_by_instance: dict[str, Json]

    @property
    def has_tasks(self) -> bool:
        """Return whether any page shows tasks, and so more than readiness."""
        return any("tasks" in page for page in self.page_by_instance.values())

    @property
    def ready_instances(self) -> list[str]:
        """Return the instances that accept calls."""
        pages = self.page_by_instance.items()
        return [name for name, page in pages if page.get("not_ready") is None]

    def servers(self) -> list[ServerView]:
        """Return the model servers."""
        return self._merge_servers("servers")

    def services(self) -> list[ServerView]:
        """Return the plain services."""
        return self._merge_servers("services")

    def teams(self) -> list[TeamView]:
        """Return the teams that hold shares or a reserve."""
        views: dict[str, TeamView] = {}
        for _, row in self._rows("limits", "teams"):
            view = views.setdefault(row["id"], TeamView(row["id"]))
            view.rate += row["rate"]
            view.level += row["level"]
            view.waiting += row["waiting"]
        for _, row in self._rows("mint", "teams"):
            view = views.setdefault(row["id"], TeamView(row["id"]))
            view.reserve_level = (view.reserve_level or 0.0) + row["reserve_level"]
        return [views[name] for name in sorted(views)]

    def patient_requests(self) -> list[Json]:
        """Return the patient requests that have not ended."""
        return [row for _, row in self._rows("patient", "requests")]

    def owned_partitions_text(self, instance_id: str) -> str:
        """Return the partitions of an instance, such as ``limits 5, placement 1``."""
        names = self._task_page(instance_id, "ownership").get("owned", [])
        counts = Counter(name.partition("/")[0] for name in names)
        return ", ".join(f"{kind} {counts[kind]}" for kind in sorted(counts)) or "-"

    def placement_owner(self) -> str | None:
        """Return the instance that decides on replicas, or None."""
        for instance_id in self.page_by_instance:
            if self._task_page(instance_id, "placement").get("active"):
                return instance_id
        return None

    def loads(self) -> list[Json]:
        """Return the queued and the in-flight loads, with their state."""
        queued = self._rows("placement", "queued_loads")
        running = self._rows("placement", "loads")
        return [
            *({**row, "state": "queued"} for _, row in queued),
            *({**row, "state": _load_state(row)} for _, row in running),
        ]

    def _merge_servers(self, kind: str) -> list[ServerView]:
        views: dict[str, ServerView] = {}
        for instance_id, row in self._rows("routing", kind):
            running = row.get("running", 0)
            view = views.setdefault(
                row["id"],
                ServerView(
                    row["id"],
                    row["zone"],
                    running,
                    row["capacity"],
                    row.get("replicas", []),
                ),
            )
            view.instances_by_state.setdefault(row["state"], []).append(instance_id)
            if kind == "services":
                view.running += row["own_calls"]
        return list(views.values())

    def _rows(self, task: str, field: str) -> Iterator[tuple[str, Json]]:
        for instance_id in self.page_by_instance:
            for row in self._task_page(instance_id, task).get(field, []):
                yield instance_id, row

    def _task_page(self, instance_id: str, task: str) -> Json:
        page: Json = self.page_by_instance[instance_id].get("tasks", {}).get(task, {})
        return page


def _load_state(load: Json) -> str:
    return "stalled" if load["stalled"] else "loading"
