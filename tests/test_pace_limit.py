"""The limit on requests in flight to servers that have just started."""

from __future__ import annotations

from statistics import fmean

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.pace.pace_limit import (
    DECREASE_RATIO,
    HOLD_S,
    MAX_SHARE,
    RAMP_S,
    SETTLE_S,
    START_SHARE,
    PaceLimit,
    PaceStart,
)

from .builders_gateway import scheduling
from .builders_simulated_servers import uneven_servers
from .builders_uneven_site import SAMPLE_INTERVAL_S, SiteFigures, UnevenSite

DOWN_AT_S = 8.0
UP_AT_S = 9.2
END_S = 16.0


@attrs.frozen
class Return:
    """How a server that returned was filled."""

    full_after_s: float
    # Most requests at a time, relative to the mean of the other servers.
    overshoot: float
    figures: SiteFigures


def run_return(*, adaptive_pace: bool) -> Return:
    """Let one of 12 servers crash and return while the site is at 90% of its load."""
    site = UnevenSite(
        uneven_servers(12, (1.0,)),
        scheduling(speed_estimates=True, adaptive_pace=adaptive_pace),
        rate_at=lambda _: 530.0,
    )
    site.run(DOWN_AT_S)
    site.take_down("s00")
    site.run(UP_AT_S)
    site.bring_up("s00")
    figures = site.run(END_S)
    values = figures.occupancies_by_server.pop("s00")
    usual = fmean(v for row in figures.occupancies_by_server.values() for v in row)
    full_at = next(n for n, value in enumerate(values) if value >= 0.9 * usual)
    return Return(full_at * SAMPLE_INTERVAL_S, max(values) / usual, figures)


def test_returned_server_is_not_flooded() -> None:
    """Guards against all gateways filling a server that has just returned."""
    before = run_return(adaptive_pace=False)
    after = run_return(adaptive_pace=True)
    assert after.overshoot < 0.8 * before.overshoot
    assert after.full_after_s <= RAMP_S + SETTLE_S
    assert after.figures.wait_quantile_s(0.99) < before.figures.wait_quantile_s(0.99)


def test_flapping_server_loses_fewer_requests() -> None:
    """Guards against a server that goes down and up and takes requests each time."""

    def lost_requests(adaptive_pace: bool) -> int:
        site = UnevenSite(
            uneven_servers(6, (1.0,)),
            scheduling(speed_estimates=True, adaptive_pace=adaptive_pace),
            rate_at=lambda _: 180.0,
        )
        site.run(5.0)
        site.take_down("s00")
        first_lost = site.lost
        for _ in range(5):
            site.run(site.now + 0.6)
            site.bring_up("s00")
            site.run(site.now + 0.6)
            site.take_down("s00")
        return site.lost - first_lost

    assert lost_requests(True) < 0.5 * lost_requests(False)


def test_steady_state_has_no_limit() -> None:
    """Guards against requests that wait while the servers could take them."""
    flags = scheduling(speed_estimates=True)
    rows = []
    for adaptive_pace in (False, True):
        site = UnevenSite(
            uneven_servers(6, (0.55, 1.2, 1.2), has_spells=True),
            attrs.evolve(flags, adaptive_pace=adaptive_pace),
            rate_at=lambda _: 190.0,
        )
        rows.append(site.run(8.0).first_event_waits)
    assert rows[0] == rows[1]


SHARES = st.sampled_from([0.09, 0.96, 7.0, 64.0])
STEPS = st.lists(
    st.tuples(st.sampled_from(["send", "end", "clear", "bad"]), st.floats(0, 1))
)


@given(SHARES, st.floats(0, 1), STEPS)
def test_limit_holds_and_ends(
    share: float, phase: float, steps: list[tuple[str, float]]
) -> None:
    """Guards against a limit that is exceeded, or that never ends."""
    pace, now, in_flight = PaceLimit(), 10.0, 0
    pace.begin(PaceStart(share=share, phase=phase, in_flight_s=1.0), now)
    for step, wait_s in steps:
        now += wait_s
        if step == "send" and pace.may_send(in_flight, now):
            in_flight += 1
            pace.record_sent(now)
            assert in_flight <= max(pace.limit, 1.0)
        elif step == "end":
            in_flight = max(in_flight - 1, 0)
        elif step == "clear":
            pace.record_clear_answer(now)
        elif step == "bad":
            pace.record_bad_sign(now)
        if pace.is_active:
            lowest = share * START_SHARE * DECREASE_RATIO
            assert lowest <= pace.limit <= share * MAX_SHARE
    # Without bad signs it ends.
    for _ in range(10):
        now += HOLD_S
        pace.may_send(in_flight, now)
    assert not pace.is_active


def test_bad_sign_halves_the_limit_once() -> None:
    """Guards against one queue that counts once for each request in it."""
    pace = PaceLimit()
    pace.begin(PaceStart(share=16.0, phase=0.0, in_flight_s=1.0), 0.0)
    pace.may_send(0, 0.5)
    before = pace.limit
    for number in range(4):
        pace.record_bad_sign(0.5 + number * HOLD_S / 8)
    assert pace.limit == pytest.approx(before * DECREASE_RATIO)
