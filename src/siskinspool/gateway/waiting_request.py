"""A request that waits for a server."""

from __future__ import annotations

import attrs

from ..core.message import Address
from ..fairness.promise import Promise
from ..fairness.request_cost import PLAIN_REQUEST_COST, request_cost
from ..fairness.waiting_order import Target, WaitingEntry
from .messages import AssignServer

# Service, model and adapter; the adapter is empty for the base model.
TargetKey = Target


@attrs.define
class WaitingRequest:
    """A request that waits for a server."""

    sender: Address
    call: AssignServer
    since: float
    give_up_at: float
    # Its requester will retry if refused; a requester retries once.
    will_retry: bool
    # When the leader expects the model to be ready; None if unknown.
    ready_at: float | None = None
    # It has been reported to the leader.
    is_reported: bool = False
    # The place kept for it, if an earlier attempt was promised one.
    promise: Promise | None = None
    # Its attributes for the waiting order.
    entry: WaitingEntry = attrs.field(init=False)

    @entry.default
    def _build_entry(self) -> WaitingEntry:
        return WaitingEntry(
            request_id=self.call.request_id,
            target=self.target,
            team=self.call.team,
            priority=self.call.priority,
            arrived_at=self.since,
            cost=_cost(self.call),
            promise=self.promise,
        )

    @property
    def target(self) -> TargetKey:
        """Return the service, model and adapter that it waits for."""
        return (self.call.service, self.call.model, self.call.adapter)

    @property
    def is_fresh(self) -> bool:
        """Return whether this is the first send of its requester's first attempt."""
        return self.will_retry and not self.call.repeat and not self.call.excluded

    def reach_s(self, now: float) -> float:
        """Return how much longer its requester can be served, including a retry."""
        reach_s = self.call.reach_s if self.will_retry else self.call.max_wait_s
        return max(self.since + reach_s - now, 0.0)

    def remaining_s(self, now: float) -> float:
        """Return how much longer its requester waits in total."""
        call = self.call
        time_s = call.timeout_s if call.deadline_s is None else call.deadline_s
        return self.since + time_s - now


def _cost(call: AssignServer) -> float:
    if not call.model:
        return PLAIN_REQUEST_COST
    prompt_tokens = sum(part.tokens for part in call.parts)
    if not call.parts:
        prompt_tokens = max(call.tokens - call.output_tokens, 0)
    return request_cost(prompt_tokens, call.output_tokens)
