"""Messages to the telemetry task."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..manifest.model import RequestClass


@attrs.frozen(kw_only=True)
class CallMeasured(Message):
    """The measurements of a finished call."""

    team: str
    request_class: RequestClass
    # "ok", "cancelled" or an error code.
    outcome: str
    duration_s: float
    # None if no part of an answer arrived from the server.
    first_byte_s: float | None


@attrs.frozen
class GetHistograms(Message):
    """Ask for the histograms; answered by `Histograms`."""


@attrs.frozen
class Histograms(Message):
    """HDR histograms in compressed text form, by ``team/class/measure``."""

    encoded_by_name: dict[str, str]
