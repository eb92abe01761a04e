"""Tests of the polling of server reports."""

from __future__ import annotations

import attrs
import pytest

from siskinspool.core.member import MembershipChanged
from siskinspool.machines.messages import CatalogChanged, ReplicaState, ReportedReplica
from siskinspool.machines.report_messages import PollServer
from siskinspool.machines.reporting import Reporting
from siskinspool.server_signals.observations import ServerStart
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


def test_poll_names_the_start_of_the_last_report() -> None:
    """Guards against polls that others cannot relay for an instance without paths.

    All instances would lose the servers whose reports it distributes.
    """
    reporting = Reporting("i1", "site")
    server = builders.server("s1")
    catalog = builders.catalog(servers=(server,))
    reporting.handle(builders.incoming(CatalogChanged(catalog)), 0.0)
    members = MembershipChanged({"i1": builders.member("i1")})
    reporting.handle(builders.incoming(members), 0.0)
    (first,) = (out.message for out in reporting.on_time(0.0))
    assert isinstance(first, PollServer) and first.start is None
    report = attrs.evolve(builders.report(), boot_id="b2")
    reporting.handle(builders.incoming(report), 0.0)
    (second,) = (out.message for out in reporting.on_time(0.5))
    assert isinstance(second, PollServer)
    assert second.start == ServerStart("s1", None, server.host, server.port, "b2")
