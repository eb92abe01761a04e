"""Settings of the duties."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..settings import Endpoint


class Duty(StrEnum):
    """The duties that a deployment can ask for."""

    USAGE = "usage"
    SCALE = "scale"


@attrs.frozen(kw_only=True)
class DutySettings:
    """Settings of a deployment with duties; times in seconds."""

    # Where the platform takes the calls.
    cloud: Endpoint
    duties: frozenset[Duty]
    # Calls per second from all gateways together.
    calls_per_s: float
    # Length of a usage window. Window k begins k lengths after the start of 1970.
    usage_window_s: float
    # The report of a window is due this long after its end.
    usage_late_s: float
    # Minimum time between the calls of two holders.
    lease_s: float
    # The platform refuses calls with a lower epoch number than it has seen.
    epochs_checked: bool
