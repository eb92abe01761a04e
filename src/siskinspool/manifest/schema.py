"""The JSON Schema of the manifest, generated from its classes."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from .model import Manifest


def schema_document() -> dict[str, Any]:
    """Return the schema; like the checks, it allows no unknown fields."""
    schema = msgspec.json.schema(Manifest)
    for definition in schema["$defs"].values():
        if definition.get("type") == "object":
            definition["additionalProperties"] = False
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **schema}


def schema_text() -> str:
    """Return the schema in the form of the committed file."""
    return json.dumps(schema_document(), indent=2, sort_keys=True) + "\n"
