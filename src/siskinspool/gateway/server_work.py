"""What a model server is doing, as the leader knows it: requests, orders, arrivals."""

from __future__ import annotations

from enum import StrEnum

import attrs

from .messages import OrderKind


class WeightsCopy(StrEnum):
    """Where a load takes a model's weights from."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


@attrs.frozen
class Use:
    """Requests that use a model or adapter on a server."""

    # When they were last known to.
    seen_at: float
    # When the last of them is expected to end.
    ends_at: float


@attrs.frozen
class RunningOrder:
    """An order on a model that a server is carrying out."""

    kind: OrderKind
    model: str
    # When it was accepted, and how long it was then expected to take.
    since: float
    expected_s: float


@attrs.define
class Arrival:
    """An adapter on its way to a server."""

    ready_at: float
    # Instances that wait for it.
    askers: set[str]
