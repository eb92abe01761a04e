"""Routing: which server gets a request, and how waiting requests are answered."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.messages import (
    AssignRefused,
    AttemptEnded,
    AttemptResult,
    DemandReport,
    LeaderChanged,
    ModelExpected,
    ModelReady,
    ModelUnloading,
    PlacementRequest,
    RequestCancelled,
    ServerAssigned,
)
from siskinspool.gateway.request import PromptPart
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.server_views import RETURN_GRACE_S
from siskinspool.gateway.servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerLoad,
    ServerRemoved,
    ServerState,
    ZoneEvacuated,
)
from siskinspool.relay.relay_messages import (
    RelayDenied,
    RelayedSignal,
    RelayGranted,
    RelayQuery,
)

from .builders_gateway import (
    RETRY_BOUNDS,
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


class RoutingHarness:
    """Drives a routing decision step by step."""

    def __init__(self, *members: str, **features: bool) -> None:
        self.now = 50.0
        self.decision = Routing("g1", "a", bounds(), scheduling(**features))
        self.send(desired_state())
        self.send(membership("g1", *members))

    def send(self, message: Message) -> list[Message]:
        return messages(self.decision.handle(incoming(message), self.now))

    def request(self, request_id: str = "r1", **changes: object) -> list[Message]:
        return self.send(assign(request_id, **changes))

    def assigned_server(self, request_id: str = "r1", **changes: object) -> str | None:
        """Return the server that a request gets, or None if it waits."""
        for message in self.request(request_id, **changes):
            if isinstance(message, ServerAssigned):
                return message.server_id
        return None

    def end_attempt(
        self,
        request_id: str,
        server_id: str,
        result: AttemptResult = AttemptResult.ANSWERED,
        load: ServerLoad | None = None,
        max_rejections_per_s: int | None = None,
    ) -> list[Message]:
        ended = AttemptEnded(
            request_id=request_id,
            server_id=server_id,
            result=result,
            load=load,
            max_rejections_per_s=max_rejections_per_s,
        )
        return self.send(ended)

    def advance(self, seconds: float) -> list[Message]:
        self.now += seconds
        return messages(self.decision.on_time(self.now))


def test_a_request_goes_where_its_model_is() -> None:
    """Guards against sends to a server that answers 421, as it lacks the model."""
    harness = RoutingHarness()
    harness.send(server("s1", "m1"))
    harness.send(server("s2", "m0/a1"))
    assert harness.assigned_server(model="m0") == "s2"
    assert harness.assigned_server("r2", model="m0", adapter="a1") == "s2"
    assert harness.assigned_server("r3", model="m0", adapter="a2") is None


def test_draining_evacuated_and_excluded_servers_get_nothing() -> None:
    """Guards against requests for a server that is leaving."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    assert harness.assigned_server() == "s1"
    assert harness.assigned_server("r2", excluded=frozenset({"s1"})) is None
    harness.send(ZoneEvacuated("a", True))
    assert harness.assigned_server("r3") is None
    harness.send(ZoneEvacuated("a", False))
    harness.send(server("s1", "m0", state=ServerState.DRAINING))
    assert harness.assigned_server("r4") is None


def test_entry_that_expired_in_an_outage_is_kept_for_a_while() -> None:
    """Guards against dropping all servers when the store returns from an outage."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(RegistryInterrupted())
    harness.send(ServerRemoved("s1"))
    harness.send(RegistryListed())
    assert harness.assigned_server() == "s1"
    harness.advance(RETURN_GRACE_S)
    assert harness.assigned_server("r2") is None


def test_leaving_server_is_not_ready_again_in_an_older_registry() -> None:
    """Guards against requests for a leaving server after a return of the store.

    The older copy still calls it ready, until the server writes its entry again.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m0", state=ServerState.DRAINING))
    harness.send(RegistryInterrupted())
    harness.send(server("s1", "m0"))
    harness.send(RegistryListed())
    assert harness.assigned_server() is None


def test_removed_entry_takes_effect_at_once() -> None:
    """Guards against requests for a server that has left (rule DRAIN)."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(ServerRemoved("s1"))
    assert harness.assigned_server() is None


def test_unreachable_server_is_paused() -> None:
    """Guards against a timeout on each request while a server is unreachable."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(server("s2", "m0"))
    first = harness.assigned_server()
    assert first is not None
    harness.end_attempt("r1", first, AttemptResult.NOT_SENT)
    for number in range(5):
        assert harness.assigned_server(f"x{number}") != first


def test_failing_server_is_avoided() -> None:
    """Guards against a server that accepts connections but fails its requests."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(server("s2", "m0"))
    first = harness.assigned_server("r0")
    assert first is not None
    harness.end_attempt("r0", first, AttemptResult.FAILED)
    assert harness.assigned_server("r1") not in (None, first)


def test_wrong_server_and_missing_model_are_remembered() -> None:
    """Guards against repeated sends to an address that has just answered 421."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.assigned_server()
    harness.end_attempt("r1", "s1", AttemptResult.WRONG_SERVER)
    assert harness.assigned_server("r2") is None
    harness.send(server("s1", "m0", port=1001))
    assert harness.assigned_server("r3") == "s1"


def test_missing_model_is_requested_and_then_served() -> None:
    """Guards against a request that keeps waiting although its model is ready."""
    harness = RoutingHarness()
    harness.send(server("s1", "m1"))
    harness.send(LeaderChanged("g2"))
    want = next(one for one in harness.request() if isinstance(one, PlacementRequest))
    assert (want.model, want.waiting) == ("m0", 1)
    found = harness.send(ModelReady("m0", "", "s1"))
    assert [one.server_id for one in found if isinstance(one, ServerAssigned)] == ["s1"]


def test_request_that_cannot_wait_long_enough_is_refused_at_once() -> None:
    """Guards against a delayed refusal of a request that cannot wait long enough."""
    harness = RoutingHarness()
    harness.send(server("s1", "m1"))
    harness.send(LeaderChanged("g2"))
    harness.request(max_wait_s=2.0)
    harness.send(ModelExpected("m0", "", 6.0))
    refused = harness.advance(0.0)[0]
    assert isinstance(refused, AssignRefused)
    assert refused.retry_after_s >= 5.5


def test_request_waits_for_an_in_flight_load_that_ends_in_time() -> None:
    """Guards against refusing the only requests for which a load was started.

    In the trial baul-bogota-grown, a requester with ten seconds left was refused during
    a load of eight, since a load that is only planned may take ten instead of eight.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m1"))
    harness.send(LeaderChanged("g2"))
    harness.request(max_wait_s=10.0)
    harness.send(ModelExpected("m0", "", 8.5, is_loading=True))
    assert not any(isinstance(one, AssignRefused) for one in harness.advance(0.1))
    # The same time is uncertain while other loads may be started first.
    harness.request("r2", max_wait_s=10.0)
    harness.send(ModelExpected("m0", "", 8.5))
    assert any(isinstance(one, AssignRefused) for one in harness.advance(0.1))


def test_request_is_refused_after_its_patience() -> None:
    """Guards against a request that waits forever."""
    harness = RoutingHarness()
    harness.request(max_wait_s=1.0)
    assert not any(isinstance(one, AssignRefused) for one in harness.advance(0.9))
    assert any(isinstance(one, AssignRefused) for one in harness.advance(0.2))


def test_request_cancelled_after_its_assignment_is_not_in_flight() -> None:
    """Guards against a server that looks busier with each requester that leaves."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    assert harness.assigned_server() == "s1"
    harness.send(RequestCancelled("r1"))
    status = harness.decision.status(harness.now)
    assert status["servers"]["s1"]["own_requests"] == 0


def test_requester_that_left_gets_no_server() -> None:
    """Guards against a send for a requester that has left (rule GONE)."""
    harness = RoutingHarness()
    harness.request()
    harness.send(RequestCancelled("r1"))
    assert harness.send(server("s1", "m0")) == []


def test_urgent_requests_go_first() -> None:
    """Guards against serving a patient request before an urgent one."""
    harness = RoutingHarness()
    for name, priority in (("patient", 2), ("urgent", 0)):
        sent = incoming(assign(name, priority=priority), "g1", name)
        harness.decision.handle(sent, harness.now)
    batch = harness.decision.handle(incoming(server("s1", "m0")), harness.now)
    first = batch[0].recipient
    assert len(batch) == 2
    assert first.task == "urgent"


def test_repeats_keep_to_the_budget() -> None:
    """Guards against retries that amplify a failure (rule BUDGET)."""
    harness = RoutingHarness("g2", "g3", "g4", "g5", "g6", "g7", "g8", "g9")
    harness.send(server("s1", "m0"))
    for number in range(10):
        harness.assigned_server(f"first{number}")
    repeated = sum(
        harness.assigned_server(f"again{number}", repeat=True) is not None
        for number in range(100)
    )
    assert 0 < repeated <= 10 * RETRY_BOUNDS.ratio + RETRY_BOUNDS.extra / 9


def test_requests_with_a_shared_prompt_part_go_to_one_server() -> None:
    """Guards against processing a shared prompt again on each server."""
    harness = RoutingHarness()
    for name in ("s1", "s2", "s3"):
        harness.send(server(name, "m0"))
    parts = (PromptPart("shared", 6_000),)
    chosen = set()
    for number in range(6):
        found = harness.assigned_server(f"r{number}", parts=parts)
        chosen.add(found)
        harness.end_attempt(f"r{number}", found or "")
    assert len(chosen) == 1


def test_loaded_server_is_avoided() -> None:
    """Guards against queueing at one server while another is free."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(server("s2", "m0"))
    first = harness.assigned_server("r0")
    assert first is not None
    load = ServerLoad(running=64, waiting=10, slots=64)
    harness.end_attempt("r0", first, load=load)
    assert harness.assigned_server("r1") not in (None, first)


def test_new_leader_gets_the_recent_demand() -> None:
    """Guards against a new leader that evicts the models in use."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(LeaderChanged("g2"))
    harness.assigned_server()
    harness.advance(1.1)
    harness.send(LeaderChanged("g3"))
    seen = [one for one in harness.advance(1.1) if isinstance(one, DemandReport)]
    assert seen[0].tokens_by_target["m0"] > 0


def test_restarted_server_is_a_new_one() -> None:
    """Guards against using what was observed of a server before its restart."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.assigned_server()
    harness.end_attempt("r1", "s1", AttemptResult.WRONG_SERVER)
    harness.send(server("s1", "m0", holdings=holdings("m0", born_ms=2)))
    assert harness.assigned_server("r2") == "s1"


def test_unloaded_model_gets_no_requests_while_the_registry_is_outdated() -> None:
    """Guards against sends to a server that has just been ordered to unload a model.

    In the trial baul-bogota scale-1, 18 requests went to models that had been unloaded
    more than eight seconds before, during an outage of the store.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.send(ModelUnloading("m0", "s1"))
    assert harness.assigned_server("r1") is None
    harness.now += 20.0
    assert harness.assigned_server("r2", adapter="a1") is None
    harness.send(server("s1", "m0/a1"))
    assert harness.assigned_server("r3", adapter="a1") == "s1"


def test_delayed_entry_does_not_restore_an_unloaded_model() -> None:
    """Guards against using an entry from before an unload that arrives after it."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.assigned_server("r0")
    harness.end_attempt("r0", "s1", AttemptResult.MODEL_MISSING)
    harness.now += 0.5
    harness.send(server("s1", "m0"))
    assert harness.assigned_server("r1") is None
    harness.send(ModelReady("m0", "", "s1"))
    assert harness.assigned_server("r2") == "s1"


def test_rejection_by_a_server_with_free_slots_means_an_unload() -> None:
    """Guards against sends to a model whose unload takes seconds.

    The registry lists the model until its last running request has ended.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.assigned_server("r0")
    harness.end_attempt(
        "r0", "s1", AttemptResult.REJECTED, ServerLoad(running=3, waiting=0, slots=64)
    )
    harness.now += 2.0
    harness.send(server("s1", "m0"))
    assert harness.assigned_server("r1") is None
    harness.send(server("s1", "m1"))
    harness.send(server("s1", "m0"))
    assert harness.assigned_server("r2") == "s1"


def test_full_server_is_paused_only_briefly() -> None:
    """Guards against treating a full server as one without the model."""
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    harness.assigned_server("r0")
    harness.end_attempt(
        "r0",
        "s1",
        AttemptResult.REJECTED,
        ServerLoad(running=64, waiting=192, slots=64),
    )
    assert harness.assigned_server("r1") is None
    harness.now += 0.2
    assert harness.assigned_server("r2") == "s1"


def test_adapter_is_requested_as_soon_as_its_model_is_ready() -> None:
    """Guards against an adapter that is requested a second after its model is ready."""
    harness = RoutingHarness()
    harness.send(server("s1", "m1"))
    harness.send(LeaderChanged("g2"))
    harness.request(adapter="a1", max_wait_s=10.0)
    harness.send(ModelExpected("m0", "a1", 2.0))
    assert requested_adapters(harness.advance(0.4)) == []
    found = harness.send(ModelReady("m0", "", "s1"))
    assert requested_adapters(found) == ["a1"]


def test_model_on_a_closed_server_is_not_requested_without_a_pause() -> None:
    """Guards against a loop of placement requests and answers without a pause.

    Two processes used a whole core each for such messages.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m0", zone="b"))
    harness.send(ZoneEvacuated("b", True))
    harness.send(LeaderChanged("g2"))
    assert requested_adapters(harness.request()) == [""]
    assert requested_adapters(harness.send(ModelReady("m0", "", "s1"))) == []


def requested_adapters(found: list[Message]) -> list[str]:
    return [one.adapter for one in found if isinstance(one, PlacementRequest)]


def test_leader_gets_the_remaining_time_of_running_requests() -> None:
    """Guards against an underestimated unload time while streams are running."""
    harness = RoutingHarness()
    harness.send(LeaderChanged("g2"))
    harness.send(server("s1", "m0"))
    for number in range(20):
        harness.request(f"r{number}", output_tokens=100)
        harness.now += 2.0
        harness.end_attempt(f"r{number}", "s1")
    harness.advance(1.1)
    harness.request("short", output_tokens=50)
    harness.request("long", output_tokens=400)
    seen = [one for one in harness.advance(1.1) if isinstance(one, DemandReport)]
    assert 6.0 < seen[0].runs_by_server["s1"]["m0"] < 8.0


def test_failed_request_goes_to_the_same_server_if_no_other_holds_its_model() -> None:
    """Guards against a request that waits for a second server that does not exist.

    In the trial tinhub-ng trouble-1, the answers of the only server with a model were
    lost for some seconds; requests got 502 after waiting three seconds for another
    server.
    """
    harness = RoutingHarness()
    harness.send(server("s1", "m0"))
    avoided = frozenset({"s1"})
    assert harness.assigned_server("r1", avoided=avoided) == "s1"
    harness.send(server("s2", "m0", zone="b"))
    assert harness.assigned_server("r2", avoided=avoided) == "s2"


def version_harness(**features: bool) -> RoutingHarness:
    """Return a harness with a server of each of two software versions."""
    harness = RoutingHarness(**features)
    harness.send(server("s1", "m0", software_version="v1"))
    harness.send(server("s2", "m0", software_version="v1.1"))
    return harness


def test_stream_goes_on_only_at_its_software_version() -> None:
    """Guards against a stream that is joined from two software versions."""
    harness = version_harness()
    for number in range(20):
        request_id = f"r{number}"
        assert harness.assigned_server(request_id, software_version="v1.1") == "s2"
    assert harness.assigned_server("any", avoided=frozenset({"s2"})) == "s1"


@pytest.mark.parametrize("held", [(), ("m1",)], ids=["gone", "another-model"])
def test_stream_that_cannot_go_on_is_refused_at_once(held: tuple[str, ...]) -> None:
    """Guards against a stream that waits for a server until its time is over."""
    harness = version_harness()
    if held:
        harness.send(server("s2", *held, software_version="v1.1"))
    else:
        harness.send(ServerRemoved("s2"))
    answers = harness.request("r1", software_version="v1.1")
    assert any(isinstance(answer, AssignRefused) for answer in answers)


def test_stream_that_waits_for_its_version_holds_up_no_other_request() -> None:
    """Guards against a queue that stands still behind a stream to go on."""
    harness = version_harness(fair_queueing=True)
    harness.send(server("s2", "m0", software_version="v1.1", cold_s=60.0))
    harness.send(server("s1", "m0", software_version="v1", state=ServerState.DRAINING))
    waiting = [f"r{number}" for number in range(30)]
    for request_id in waiting:
        harness.request(request_id, software_version="v1.1")
    assert harness.assigned_server("new") is None
    found = harness.send(server("s3", "m0", software_version="v1"))
    assigned = [one for one in found if isinstance(one, ServerAssigned)]
    assert [one.server_id for one in assigned] == ["s3"]


QUERY = RelayQuery("w1", 1, "")


def test_relayed_call_goes_to_an_open_server_only() -> None:
    """Guards against a detour to a server that wants no request from this gateway."""
    harness = RoutingHarness()
    assert isinstance(harness.send(QUERY)[0], RelayDenied)
    harness.send(server("w1", "m0"))
    assert harness.send(QUERY) == [RelayGranted("127.0.0.1", 1000)]
    assert isinstance(harness.send(RelayQuery("w1", 2, ""))[0], RelayDenied)
    harness.send(ZoneEvacuated("a", True))
    assert isinstance(harness.send(QUERY)[0], RelayDenied)
    harness.send(ZoneEvacuated("a", False))
    harness.send(server("w1", "m0", state=ServerState.DRAINING))
    assert isinstance(harness.send(QUERY)[0], RelayDenied)


def test_relay_that_could_not_connect_says_so() -> None:
    """Guards against asking an instance that is cut off, too, before each call."""
    harness = RoutingHarness()
    harness.send(server("w1", "m0"))
    harness.request("r1")
    harness.end_attempt("r1", "w1", AttemptResult.NOT_SENT)
    (denied,) = harness.send(QUERY)
    assert isinstance(denied, RelayDenied)
    assert denied.is_unable


@pytest.mark.parametrize(
    "signal",
    [
        RelayedSignal("w1", 1, "", True, None),
        RelayedSignal("w1", 1, "", False, 5.0),
    ],
    ids=["leaving", "pause"],
)
def test_signal_in_a_relayed_answer_binds_the_relay(signal: RelayedSignal) -> None:
    """Guards against requests of the gateway that the server has turned away."""
    harness = RoutingHarness()
    harness.send(server("w1", "m0"))
    harness.send(signal)
    assert isinstance(harness.send(QUERY)[0], RelayDenied)
    assert harness.assigned_server() is None


def test_signal_of_an_earlier_start_is_ignored() -> None:
    """Guards against a restarted server that stays unused."""
    harness = RoutingHarness()
    harness.send(server("w1", "m0"))
    harness.send(RelayedSignal("w1", 0, "", True, None))
    assert harness.assigned_server() == "w1"


def test_gateway_keeps_to_its_part_of_a_brittle_server() -> None:
    """Guards against a gateway that fills the queue of a brittle server."""
    harness = RoutingHarness("g2", "g3")
    harness.send(server("w1", "m0", slots=6))
    assert harness.assigned_server("first") == "w1"
    full = ServerLoad(running=6, waiting=0, slots=6)
    harness.end_attempt("first", "w1", AttemptResult.REJECTED, full, 1)
    assert harness.assigned_server("second") is None
    # A third of the slots: the request that has waited, and one more.
    harness.advance(10.0)
    assert harness.assigned_server("third") == "w1"
    assert harness.assigned_server("fourth") is None
