"""Placement requests that the leader has received and not handled yet.

A gateway repeats its request until the model is ready, and many gateways request the
same model. The table keeps the last request of each gateway and hands out all requests
for one model together, so that a leader with too little time does the work for a model
once.
"""

from __future__ import annotations

from typing import Final

import attrs

from .messages import PlacementRequest

# Further targets are not accepted; gateways repeat their requests.
MAX_TARGETS: Final = 2_048
# Gateways repeat a request at least once a second, so an older one is outdated.
REQUEST_TTL_S: Final = 1.5


@attrs.frozen
class RequestTarget:
    """What is requested: a model, or one of its adapters."""

    service: str
    model: str
    # Empty for the base model.
    adapter: str


@attrs.frozen
class TargetRequests:
    """The requests for one target, by gateway."""

    target: RequestTarget
    request_by_gateway: dict[str, PlacementRequest]

    @classmethod
    def from_request(cls, request: PlacementRequest, gateway: str) -> TargetRequests:
        """Return the single request of a gateway."""
        target = RequestTarget(request.service, request.model, request.adapter)
        return cls(target, {gateway: request})

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait at all gateways."""
        return sum(one.waiting for one in self.request_by_gateway.values())

    @property
    def near_server(self) -> str:
        """Return the server that the first gateway with a preference names."""
        named = (one.near_server for one in self.request_by_gateway.values())
        return next(filter(None, named), "")


@attrs.define
class _TargetEntry:
    """The requests for one target with their times of arrival, in seconds."""

    requests: TargetRequests
    received_at_by_gateway: dict[str, float] = attrs.field(factory=dict)


class RequestTable:
    """The latest requests by target; the target that has waited longest is first."""

    def __init__(self) -> None:
        self._entry_by_target: dict[RequestTarget, _TargetEntry] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._entry_by_target)

    def add(self, requests: TargetRequests, now: float) -> None:
        """Add requests, which replace earlier ones of the same gateways."""
        entry = self._entry_by_target.get(requests.target)
        if entry is None:
            if len(self._entry_by_target) >= MAX_TARGETS:
                return
            entry = _TargetEntry(TargetRequests(requests.target, {}))
            self._entry_by_target[requests.target] = entry
        entry.requests.request_by_gateway.update(requests.request_by_gateway)
        received = dict.fromkeys(requests.request_by_gateway, now)
        entry.received_at_by_gateway.update(received)

    def pop_first(self, now: float) -> TargetRequests | None:
        """Remove and return the next requests, without outdated ones."""
        while self._entry_by_target:
            target = next(iter(self._entry_by_target))
            entry = self._entry_by_target.pop(target)
            current = {
                gateway: request
                for gateway, request in entry.requests.request_by_gateway.items()
                if now - entry.received_at_by_gateway[gateway] <= REQUEST_TTL_S
            }
            if current:
                return TargetRequests(target, current)
        return None

    def pop_all(self, now: float) -> list[TargetRequests]:
        """Remove and return all requests, without outdated ones."""
        popped = []
        while (requests := self.pop_first(now)) is not None:
            popped.append(requests)
        return popped

    def clear(self) -> None:
        """Drop all requests."""
        self._entry_by_target.clear()
