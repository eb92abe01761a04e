"""Messages about prompt parts that are suspected of crashing servers."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..links.codec import wire

QUARANTINE_TASK = "quarantine"


@attrs.frozen
class ServerBoot:
    """One start of a server; a restarted server may keep its id."""

    server_id: str
    # Start in Unix milliseconds; 0 if not stated.
    born_ms: int


@attrs.frozen(kw_only=True)
class AnswerBroken(Message):
    """A server closed or reset the connection of a request that it had not served."""

    boot: ServerBoot
    # The request's parts that other requests may share.
    part_ids: tuple[str, ...]
    # Bytes of the answer had arrived.
    has_begun: bool


@attrs.frozen
class PromptServed(Message):
    """A server answered a request with these parts and did not crash."""

    part_ids: tuple[str, ...]


@attrs.frozen
class ProbeStarted(Message):
    """A request was sent to find out whether these quarantined parts still crash."""

    part_ids: frozenset[str]


@attrs.frozen
class QuarantinedParts:
    """Parts of which one crashes servers; a request that has all of them is refused."""

    part_ids: frozenset[str]
    # From then on, on the instance's clock, one request may be sent as a probe.
    probe_from: float


@attrs.frozen
class QuarantineChanged(Message):
    """The groups of parts that are quarantined at present."""

    groups: tuple[QuarantinedParts, ...]


@attrs.frozen(kw_only=True)
class CrashReport:
    """The end of a server, with the parts of the requests that may have caused it."""

    boot: ServerBoot
    # Time since the end.
    age_s: float
    # Parts of requests whose answer had begun, and of requests without an answer.
    begun_part_ids: tuple[str, ...]
    waiting_part_ids: tuple[str, ...]


@wire
@attrs.frozen
class CrashEvidence(Message):
    """What a gateway knows of crashes and of the suspected parts."""

    crashes: tuple[CrashReport, ...]
    # Time since a request with the part was last served, for suspected parts.
    served_age_s_by_part: dict[str, float]


@wire
@attrs.frozen
class CrashEvidenceQuery(Message):
    """Asks a gateway for what it knows; answered by `CrashEvidence`."""
