"""Tests of the polling of server reports."""

from __future__ import annotations

import attrs
import pytest

from siskinspool.core.member import MembershipChanged
from siskinspool.machines.messages import CatalogChanged, ReplicaState, ReportedReplica
from siskinspool.machines.report_messages import PollServer
from siskinspool.machines.reporting import Reporting
from tests import builders


@pytest.mark.parametrize(
    ("state", "due_in_s"), [(ReplicaState.LOADING, 0.1), (ReplicaState.LOADED, 0.5)]
)
def test_a_loading_server_is_polled_sooner(
    state: ReplicaState, due_in_s: float
) -> None:
    """Guards against requests that wait for the next regular poll (M1)."""
    reporting = Reporting("i1", "site")
    catalog = builders.catalog(servers=(builders.server("s1"),))
    reporting.handle(builders.incoming(CatalogChanged(catalog)), 0.0)
    members = MembershipChanged({"i1": builders.member("i1")})
    reporting.handle(builders.incoming(members), 0.0)
    assert [type(out.message) for out in reporting.on_time(0.0)] == [PollServer]
    replica = ReportedReplica("r1", "m1", "", state)
    shown = attrs.evolve(builders.report(), replicas=(replica,))
    reporting.handle(builders.incoming(shown), 0.0)
    assert reporting.wake_at() == pytest.approx(due_in_s)
    assert reporting.on_time(due_in_s - 0.01) == []
    assert [type(out.message) for out in reporting.on_time(due_in_s)] == [PollServer]
