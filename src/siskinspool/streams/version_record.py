"""The software versions of all services, recorded in the key-value service.

An instance that has just started sees the versions of the servers that are there. The
record tells it which others were there before: streams may have begun at them. A
version is recorded soon after its first server registers, long before its last one
leaves, so the record is complete even if all instances end at once.
"""

from __future__ import annotations

import logging
from typing import Annotated, Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..store.keys import ROOT
from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

VERSIONS_KEY: Final = f"{ROOT}streams/versions"
MAX_VERSIONS: Final = 64

# By service and version, when the version has gone, in seconds of Unix time; None while
# servers of it are registered.
VersionRecord = dict[str, dict[str, float | None]]

_Time = Annotated[float, msgspec.Meta(ge=0)]
_decoder: Final = msgspec.json.Decoder(dict[str, dict[str, _Time | None]])


def encode_versions(record: VersionRecord) -> bytes:
    """Encode a record as JSON, with the latest versions of each service."""
    bounded = {
        service: dict(
            sorted(
                versions.items(), key=lambda item: (item[1] is not None, -_at(item))
            )[:MAX_VERSIONS]
        )
        for service, versions in record.items()
    }
    return msgspec.json.encode(bounded)


def _at(item: tuple[str, float | None]) -> float:
    return item[1] or 0.0


def decode_versions(value: bytes | None) -> VersionRecord | None:
    """Decode a record; None if there is none or it cannot be read."""
    if value is None:
        return None
    try:
        return dict(_decoder.decode(value))
    except MALFORMED_ERRORS as error:
        log_event(logger, logging.WARNING, "versions_unreadable", error=str(error))
        return None
