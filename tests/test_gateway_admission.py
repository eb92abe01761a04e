"""Admission of requests: which service of its route a request gets."""

from __future__ import annotations

from siskinspool.gateway.admission import Admission, admit
from siskinspool.gateway.desired_state import WeightedService
from siskinspool.gateway.request import RequestHead

from .builders_gateway import desired_state, head, route

SERVICES = (WeightedService("writers", 1), WeightedService("desk", 1))
STATE = desired_state(route(services=SERVICES, public=True))


def service(request: RequestHead) -> str:
    admission = admit(request, STATE)
    assert isinstance(admission, Admission)
    return admission.service


def test_stream_that_is_taken_up_goes_on_at_its_service() -> None:
    """Guards against a stream that goes on at another service of its route."""
    begun_at = set()
    for number in range(20):
        begun = service(head(request_id=f"first{number}"))
        begun_at.add(begun)
        taken_up = head(
            request_id=f"later{number}",
            last_event_id="2",
            resumed_id=f"first{number}",
        )
        assert service(taken_up) == begun
    assert begun_at == {"writers", "desk"}
