"""A short seeded soak, and the checks that it relies on."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import pytest

from siskinspool.standins.soak.main import Soak
from siskinspool.standins.soak.record import (
    Disturbance,
    Promise,
    RequestKind,
    ServerRun,
    SoakRecord,
)

SEED = 1
SECONDS = 60.0


@pytest.mark.timeout(200)
def test_no_promise_is_broken_in_a_short_soak(tmp_path: Path) -> None:
    """Guards against promises that hold only while faults come one at a time."""
    shown: list[str] = []
    record = Soak(tmp_path, SEED, SECONDS, shown.append).run()
    found = json.dumps([attrs.asdict(one) for one in record.broken], indent=1)
    assert not record.broken, found
    answered = sum(
        count for name, count in record.outcomes.items() if name.endswith("200")
    )
    assert answered > len(record.kind_by_id) / 2
    assert len(shown) > 10


def test_each_broken_promise_is_noticed() -> None:
    """Guards against a soak that sees nothing."""
    record = SoakRecord(
        kind_by_id={
            "twice": RequestKind.UNSAFE,
            "refused": RequestKind.STREAM,
            "cut": RequestKind.SAFE,
            "late": RequestKind.SAFE,
        },
        refused_ids={"refused"},
        cut_ids={"cut"},
        closed_at_by_server={"s2": 5.0},
    )
    record.add_runs(
        [
            ServerRun("twice", "s1", 1.0),
            ServerRun("twice", "s3", 2.0),
            ServerRun("refused", "s1", 1.0),
            ServerRun("cut", "s1", 1.0),
            ServerRun("late", "s2", 6.0),
            ServerRun("unknown", "s1", 1.0),
        ]
    )
    record.check_runs()
    assert {one.promise for one in record.broken} == {
        Promise.AT_MOST_ONCE,
        Promise.TRUE_REFUSALS,
        Promise.NO_CUT_AT_A_STOP,
        Promise.NO_SEND_TO_LEAVING,
        Promise.OWN_REQUESTS,
    }


def test_send_to_a_leaving_server_is_excused_only_by_a_fault_of_its_gateway() -> None:
    """Guards against an excuse that covers gateways which knew of the leaving."""
    record = SoakRecord(
        kind_by_id=dict.fromkeys(("r1", "r2"), RequestKind.SAFE),
        gateway_by_id={"r1": "g1", "r2": "g2"},
        disturbances=[Disturbance("g1", 4.0, 5.0), Disturbance(None, 0.0, 0.5)],
        drained_at_by_server={"s1": 4.0},
        closed_at_by_server={"s1": 6.0},
    )
    record.add_runs([ServerRun("r1", "s1", 6.5), ServerRun("r2", "s1", 6.5)])
    record.check_runs()
    assert [one.detail for one in record.broken] == ["r2 at s1"]
