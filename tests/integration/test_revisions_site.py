"""An accepted configuration is in force everywhere and never reverts (R13)."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator

import attrs
import pytest

from siskinspool.manifest.model import Manifest, Team
from siskinspool.manifest.publisher import (
    PublishConflict,
    Publisher,
    PublishFailed,
    PublishSucceeded,
)
from siskinspool.standins.site import SitePlan, is_ready, wait_until

from .builders_site import ProxiedSite, proxied_site, run_concurrently, set_faults

PLAN = SitePlan(zones=("a",), instances=3, servers=1)
# Bound of requirement R13 until a change is in force everywhere.
FORCE_BOUND_S = 10.0


@pytest.fixture(scope="module")
def proxied(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProxiedSite]:
    with proxied_site(PLAN, tmp_path_factory.mktemp("revisions")) as running:
        yield running


def with_team(manifest: Manifest, team_id: str) -> Manifest:
    team = Team(id=team_id, rate=10, burst=10)
    return attrs.evolve(manifest, teams=(*manifest.teams, team))


def add_team(publisher: Publisher, team_id: str) -> int:
    """Publish one more team and return the revision."""
    outcome = publisher.edit(lambda manifest: with_team(manifest, team_id))
    assert isinstance(outcome, PublishSucceeded)
    return outcome.revision


def wait_in_force(
    proxied: ProxiedSite, revision: int, instances: tuple[int, ...] = (0, 1, 2)
) -> None:
    started_at = time.monotonic()
    for number in instances:
        wait_until(
            lambda number=number: proxied.revision_of(number) >= revision,  # type: ignore[misc]
            f"revision {revision} is in force at instance {number}",
            started_at + FORCE_BOUND_S - time.monotonic(),
        )


def test_one_of_two_racing_operators_wins(proxied: ProxiedSite) -> None:
    """Guards against an accepted change that a concurrent operator overwrites."""
    base = proxied.publisher().read()
    manifest = base.manifest  # type: ignore[union-attr]
    revision = base.head.revision  # type: ignore[union-attr]
    # The delay makes both read the same head before either writes.
    set_faults(proxied.site.platform.port, delay_s=0.1)
    try:
        outcomes = run_concurrently(
            [
                lambda name=name: proxied.publisher().publish(  # type: ignore[misc]
                    with_team(manifest, name), revision
                )
                for name in ("first", "second")
            ]
        )
    finally:
        set_faults(proxied.site.platform.port, delay_s=0)
    accepted = [
        outcome for outcome in outcomes if isinstance(outcome, PublishSucceeded)
    ]
    refused = [outcome for outcome in outcomes if isinstance(outcome, PublishConflict)]
    assert (len(accepted), len(refused)) == (1, 1)
    assert refused[0].revision == accepted[0].revision
    assert refused[0].changes == accepted[0].changes
    wait_in_force(proxied, accepted[0].revision)


def test_lost_answer_of_the_head_is_resolved(proxied: ProxiedSite) -> None:
    """Guards against a change reported as failed that is in force, or made twice."""
    publisher = proxied.publisher()
    port = proxied.site.platform.port
    for number, only in enumerate(("", "config/head", "config/head")):
        before = publisher.read().head.revision  # type: ignore[union-attr]
        set_faults(port, lose_answers=1, lose_only=only)
        outcome = publisher.edit(
            lambda m, number=number: with_team(m, f"lost-{number}")  # type: ignore[misc]
        )
        set_faults(port, lose_answers=0, lose_only="")
        after = publisher.read()
        teams = {team.id for team in after.manifest.teams}  # type: ignore[union-attr]
        if only:
            # The write took effect, and the outcome says so.
            assert isinstance(outcome, PublishSucceeded)
            assert f"lost-{number}" in teams
            assert after.head.revision == outcome.revision == before + 1  # type: ignore[union-attr]
        elif isinstance(outcome, PublishFailed):
            assert f"lost-{number}" not in teams
    wait_in_force(proxied, after.head.revision)  # type: ignore[union-attr]


def test_revision_reaches_a_cut_off_instance(proxied: ProxiedSite) -> None:
    """Guards against an instance with an old revision while its link is cut."""
    proxied.cut_off(2)
    try:
        for number in range(3):
            revision = add_team(proxied.publisher(), f"cut-{number}")
            wait_in_force(proxied, revision)
    finally:
        proxied.reconnect(2)


def test_unusable_manifest_is_not_accepted(proxied: ProxiedSite) -> None:
    """Guards against a head that no instance and no operator can read."""
    publisher = proxied.publisher()
    before = publisher.read().head.revision  # type: ignore[union-attr]
    outcome = publisher.edit(lambda m: attrs.evolve(m, servers=(), services=()))
    assert isinstance(outcome, PublishFailed) and not outcome.unknown
    assert publisher.read().head.revision == before  # type: ignore[union-attr]


def test_restarted_instance_never_serves_a_lower_revision(
    proxied: ProxiedSite,
) -> None:
    """Guards against an instance that is ready with an old revision after a restart."""
    site = proxied.site
    revision = add_team(proxied.publisher(), "restart")
    wait_in_force(proxied, revision)
    for number in (0, 1):
        site.instance_by_id[f"instance-{number}"].signal(signal.SIGKILL)
        site.instance_by_id[f"instance-{number}"].wait(5.0)
        site.start_instance(number)
        wait_until(
            lambda number=number: _is_ready_at(proxied, number, revision),  # type: ignore[misc]
            "it is ready",
            30.0,
        )


def _is_ready_at(proxied: ProxiedSite, number: int, revision: int) -> bool:
    """Return whether an instance is ready; it must then have the revision."""
    if not is_ready(proxied.site.port_by_name[f"instance-{number}"]):
        return False
    assert proxied.revision_of(number) >= revision
    return True
