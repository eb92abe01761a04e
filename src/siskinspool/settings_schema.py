"""The JSON Schema of the settings, generated from their class and rules."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from .settings import Settings
from .settings_rules import (
    LOG_LEVELS,
    MAX_BALANCER_WAIT_S,
    MAX_ID_CHARS,
    MAX_PORT,
    SESSION_TTL_RANGE_S,
)


def settings_schema_document() -> dict[str, Any]:
    """Return the schema.

    It does not express the relation of ``session_renew_s`` to ``session_ttl_s``, which
    `load_settings` checks.
    """
    schema = msgspec.json.schema(Settings)
    for definition in schema["$defs"].values():
        definition["additionalProperties"] = False
    fields = schema["$defs"]["Settings"]["properties"]
    for name in ("instance_id", "site", "zone"):
        fields[name] |= {"maxLength": MAX_ID_CHARS, "pattern": r"^[^/\s]+$"}
    fields["log_level"]["enum"] = list(LOG_LEVELS)
    low, high = SESSION_TTL_RANGE_S
    fields["session_ttl_s"] |= {"minimum": low, "maximum": high}
    fields["session_renew_s"]["exclusiveMinimum"] = 0
    fields["balancer_wait_s"] |= {"minimum": 0, "maximum": MAX_BALANCER_WAIT_S}
    fields["relay_port"] |= {"minimum": 0, "maximum": MAX_PORT}
    port = schema["$defs"]["Endpoint"]["properties"]["port"]
    port |= {"minimum": 0, "maximum": MAX_PORT}
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **schema}


def settings_schema_text() -> str:
    """Return the schema in the form of the committed file."""
    return json.dumps(settings_schema_document(), indent=2, sort_keys=True) + "\n"
