"""The manifest as JSON.

`read_manifest` converts bytes to a checked `Manifest` or returns all faults at once.
`entity_bytes` returns the canonical JSON of one entity, from which the digest of a
manifest is computed. The digest is the sum of the entities' digests modulo 2**128, so
the cost of updating it depends on the changed entities only, not on the whole manifest.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import attrs
import cattrs
import msgspec

from ..core.converter import describe_faults, make_converter
from ..core.malformed import MALFORMED_ERRORS
from .checks import check_manifest
from .model import Manifest

DIGEST_BYTES: Final = 16
_DIGEST_MODULUS: Final = 1 << (8 * DIGEST_BYTES)
SITE_KIND: Final = "site"

_converter: Final[cattrs.Converter] = make_converter()
_plain_converter: Final = cattrs.Converter(omit_if_default=False)


@dataclass(frozen=True)
class Faults:
    """The faults of a manifest, one line each with its path."""

    lines: tuple[str, ...]


def read_manifest(data: bytes) -> Manifest | Faults:
    """Return the checked manifest in a JSON document, or all its faults."""
    try:
        document = msgspec.json.decode(data)
    except MALFORMED_ERRORS as error:
        return Faults((f"not JSON: {error}",))
    manifest = structure_manifest(document)
    if isinstance(manifest, Faults):
        return manifest
    lines = check_manifest(manifest)
    return Faults(lines) if lines else manifest


def structure_manifest(document: object) -> Manifest | Faults:
    """Return the manifest in decoded JSON; only types and field names are checked."""
    try:
        return _converter.structure(document, Manifest)
    except Exception as error:
        return Faults(tuple(describe_faults(error, "$")))


def write_manifest(manifest: Manifest) -> bytes:
    """Return a manifest as JSON."""
    return msgspec.json.encode(_plain_converter.unstructure(manifest))


def structure_entity(kind: str, value: Any) -> Any:
    """Return the entity in decoded JSON; raise an exception if it is invalid."""
    return _converter.structure(value, entity_class(kind))


def entity_class(kind: str) -> type:
    """Return the class of the entities of a kind, such as ``servers``."""
    field = attrs.fields_dict(attrs.resolve_types(Manifest))[kind]
    if kind == SITE_KIND:
        return field.type  # type: ignore[return-value]
    element: type = field.type.__args__[0]  # type: ignore[union-attr]
    return element


def entity_kinds() -> tuple[str, ...]:
    """Return the kinds of entities besides the site."""
    return tuple(
        field.name for field in attrs.fields(Manifest) if field.name != SITE_KIND
    )


def entities(manifest: Manifest) -> Iterator[tuple[str, Any]]:
    """Yield each entity with its kind; the site comes first."""
    yield SITE_KIND, manifest.site
    for kind in entity_kinds():
        for entity in getattr(manifest, kind):
            yield kind, entity


def entity_bytes(entity: Any) -> bytes:
    """Return the canonical JSON of an entity."""
    return msgspec.json.encode(_plain_converter.unstructure(entity), order="sorted")


def entity_digest(kind: str, entity: Any) -> int:
    """Return the digest of one entity as an integer."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(kind.encode() + b"\0" + entity_bytes(entity))
    return int.from_bytes(digest.digest(), "big")


def add_digest(digest: int, kind: str, entity: Any) -> int:
    """Return the digest of a manifest after an entity is added."""
    return (digest + entity_digest(kind, entity)) % _DIGEST_MODULUS


def remove_digest(digest: int, kind: str, entity: Any) -> int:
    """Return the digest of a manifest after an entity is removed."""
    return (digest - entity_digest(kind, entity)) % _DIGEST_MODULUS


def manifest_digest(manifest: Manifest) -> int:
    """Return the digest of a whole manifest."""
    digest = 0
    for kind, entity in entities(manifest):
        digest = add_digest(digest, kind, entity)
    return digest
