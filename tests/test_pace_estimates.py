"""Speed estimates: lasting differences, spells, failures and uneven sites."""

from __future__ import annotations

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.gateway.choice_explanation import ChoiceExplained, ExplainChoice
from siskinspool.gateway.messages import ServerAssigned
from siskinspool.gateway.request import PromptPart
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.server_views import ServerViews
from siskinspool.gateway.servers import ServerState
from siskinspool.pace.server_estimate import FleetEstimate, SendEnd, SendResult

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    holdings,
    incoming,
    membership,
    messages,
    scheduling,
    server,
)
from .builders_pace import PROMPT, SLOTS, answer, estimate, figure
from .builders_simulated_servers import uneven_servers
from .builders_uneven_site import SiteFigures, UnevenSite

SITE_SPEEDS = (0.55, 1.2, 1.2, 1.2)
WARM_UP_S = 5.0
END_S = 20.0


def run_site(*, speed_estimates: bool) -> SiteFigures:
    """Run 67 gateways and 12 servers, a quarter of them slow, with spells."""
    servers = uneven_servers(12, SITE_SPEEDS, has_spells=True)
    site = UnevenSite(
        servers,
        scheduling(speed_estimates=speed_estimates),
        rate_at=lambda at: 260.0 * (1 + 0.55 * math.sin(2 * math.pi * at / 15.0)),
    )
    site.run(WARM_UP_S)
    return site.run(END_S)


def test_work_is_spread_by_speed() -> None:
    """Guards against short chats that wait at a slow server while others are idle.

    Without estimates, the slow servers get as many requests as the fast ones.
    """
    before = run_site(speed_estimates=False)
    after = run_site(speed_estimates=True)
    assert before.busiest_ratio() > 1.5
    assert after.busiest_ratio() <= 1.3
    assert after.wait_quantile_s(0.95) < 0.6 * before.wait_quantile_s(0.95)


def test_gateways_agree_on_the_server_of_a_shared_prompt() -> None:
    """Guards against processing a shared prompt at each server that is drawn."""
    names = [f"g{number}" for number in range(8)]
    parts = (PromptPart("shared", 6_000), PromptPart("own", 100))
    chosen = set()
    for name in names:
        routing = Routing(name, "a", bounds(), scheduling(speed_estimates=True))
        changes = [server(f"s{number}", "m0") for number in range(12)]
        for change in (desired_state(), membership(*names), *changes):
            routing.handle(incoming(change), 0.0)
        for message in messages(routing.handle(incoming(assign(parts=parts)), 0.0)):
            assert isinstance(message, ServerAssigned)
            chosen.add(message.server_id)
    assert len(chosen) == 1


@given(st.sampled_from([0.55, 0.8, 1.2, 1.3]), st.integers(0, 9))
def test_lasting_speed_is_told_from_spells(speed: float, first_spell: int) -> None:
    """Guards against a server taken as slow for good because of its short spells."""
    fleet = FleetEstimate()
    usual, other = estimate(fleet), estimate(fleet)
    now = 0.0
    for number in range(60):
        spell = 2.5 if (number + first_spell) % 7 == 0 else 1.0
        now = answer(usual, 1.0, now, stated=figure())
        now = answer(other, spell / speed, now, stated=figure(slowdown=spell / speed))
    ratio = other.relative_speed / usual.relative_speed
    assert ratio == pytest.approx(speed, rel=0.2)


def test_failures_do_not_count_as_fast_answers() -> None:
    """Guards against a server that attracts requests because it fails them quickly."""
    failing = estimate()
    for number in range(30):
        answer(failing, 0.01, float(number), is_answered=False)
    assert failing.relative_speed == 1.0


def test_one_false_figure_changes_nothing_for_long() -> None:
    """Guards against avoiding a server because of a single false answer."""
    one = estimate()
    usual_s = one.expected_first_event_s(PROMPT, SLOTS, 0.0)
    one.record_figure(figure(slowdown=90.0), 0.0)
    assert one.expected_first_event_s(PROMPT, SLOTS, 0.1) < 2 * usual_s
    assert one.expected_first_event_s(PROMPT, SLOTS, 0.5) < 1.1 * usual_s


def test_restarted_server_has_the_usual_speed() -> None:
    """Guards against the speed of a process that no longer exists."""
    views = ServerViews("g1", bounds())
    for name in ("s1", "s2"):
        views.update_record(server(name, "m0"), 0.0)
    for number in range(20):
        answer(views.by_id["s1"].estimate, 1.8, float(number))
        answer(views.by_id["s2"].estimate, 1.0, float(number))
    views.update_record(server("s1", "m0", state=ServerState.DRAINING), 20.0)
    assert views.by_id["s1"].estimate.relative_speed < 0.8
    restarted = server("s1", "m0", holdings=holdings("m0", born_ms=2))
    views.update_record(restarted, 20.0)
    assert views.by_id["s1"].estimate.relative_speed == 1.0


def test_explanation_agrees_with_the_choice_and_sends_nothing() -> None:
    """Guards against an explanation that differs from the choice, or counts as one."""
    routing = Routing("g1", "a", bounds(), scheduling(speed_estimates=True))
    records = [server("s1", "m0"), server("s2", "m0"), server("s3", "m1")]
    for message in (desired_state(), membership("g1"), *records):
        routing.handle(incoming(message), 0.0)
    parts = (PromptPart("shared", 6_000),)
    question = ExplainChoice(service="writers", model="m0", parts=parts)
    explained = messages(routing.handle(incoming(question), 0.0))[0]
    assert isinstance(explained, ChoiceExplained)
    assert explained.server_id == explained.preferred_id
    by_id = {finding.server_id: finding for finding in explained.findings}
    assert [by_id[name].may_serve for name in ("s1", "s2", "s3")] == [True, True, False]
    assert not by_id["s3"].holds_model
    assert all(finding.own_requests == 0 for finding in explained.findings)
    sent = messages(routing.handle(incoming(assign(parts=parts)), 0.0))[0]
    assert isinstance(sent, ServerAssigned)
    assert sent.server_id == explained.server_id


def test_ends_of_an_earlier_start_do_not_count_for_the_new_one() -> None:
    """Guards against a restarted server that its own broken requests slow down."""
    server = estimate()
    server.begin_pace(SLOTS, cold_s=0.0, now=0.0)
    before = attrs.asdict(server.pace)
    failed = SendEnd(result=SendResult.FAILED, events=0)
    server.record_end("sent-before-the-restart", failed, 0.1)
    assert attrs.asdict(server.pace) == before
