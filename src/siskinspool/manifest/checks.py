"""Checks of a manifest beyond the types of its fields.

`check_manifest` returns one line per fault, each with its path in the document:
duplicate ids, dangling references, numbers out of range, models that fit on no
server, zones without a server, and unusable routes or keys.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final

from .model import Manifest, Model

MAX_ID_CHARS: Final = 128
RESERVED_PATHS: Final = ("/v1/", "/healthz", "/readyz")


def check_manifest(manifest: Manifest) -> tuple[str, ...]:
    """Return all faults of a manifest; empty if there are none."""
    checks: tuple[Callable[[Manifest], Iterable[str]], ...] = (
        _check_ids,
        _check_references,
        _check_numbers,
        _check_target_names,
        _check_memory,
        _check_zones,
        _check_routes,
        _check_keys,
    )
    return tuple(line for check in checks for line in check(manifest))


def _entities_by_kind(manifest: Manifest) -> dict[str, Sequence[Any]]:
    return {
        "zones": manifest.zones,
        "pools": manifest.pools,
        "servers": manifest.servers,
        "models": manifest.models,
        "adapters": manifest.adapters,
        "services": manifest.services,
        "routes": manifest.routes,
        "teams": manifest.teams,
        "keys": manifest.keys,
    }


def _check_ids(manifest: Manifest) -> Iterator[str]:
    for kind, sequence in _entities_by_kind(manifest).items():
        seen: set[str] = set()
        for index, entity in enumerate(sequence):
            path = f"$.{kind}[{index}].id"
            if not entity.id or len(entity.id) > MAX_ID_CHARS or "/" in entity.id:
                yield f"{path}: '{entity.id}' must have 1 to 128 characters, no '/'"
            if entity.id in seen:
                yield f"{path}: '{entity.id}' stands twice"
            seen.add(entity.id)


def _check_references(manifest: Manifest) -> Iterator[str]:
    ids = {
        kind: {entity.id for entity in sequence}
        for kind, sequence in _entities_by_kind(manifest).items()
    }
    references = (
        ("servers", "zone", "zones"),
        ("servers", "pool", "pools"),
        ("models", "pool", "pools"),
        ("adapters", "model", "models"),
        ("services", "zone", "zones"),
        ("keys", "team", "teams"),
    )
    for kind, field, target in references:
        for index, entity in enumerate(getattr(manifest, kind)):
            name = getattr(entity, field)
            if name not in ids[target]:
                yield f"$.{kind}[{index}].{field}: no entry of {target} is '{name}'"
    for index, route in enumerate(manifest.routes):
        for name in route.services:
            if name not in ids["services"]:
                yield f"$.routes[{index}].services: no entry of services is '{name}'"
    known_targets = ids["models"] | ids["adapters"] | ids["routes"] | {"*"}
    for index, team in enumerate(manifest.teams):
        for name in team.allow:
            if name not in known_targets:
                yield (
                    f"$.teams[{index}].allow: '{name}' is no model, adapter or route"
                )


_POSITIVE_FIELDS: Final = {
    "servers": ("memory_mib", "capacity"),
    "models": ("memory_mib", "load_s", "max_replicas"),
    "adapters": ("memory_mib", "load_s"),
    "services": ("capacity",),
    "routes": ("deadline_ms",),
    "teams": ("rate", "burst", "weight", "deadline_ms"),
}


def _check_numbers(manifest: Manifest) -> Iterator[str]:
    for field in (
        "store_loads_per_s",
        "store_parallel_loads",
        "adapter_parallel_loads",
    ):
        if getattr(manifest.site, field) <= 0:
            yield f"$.site.{field}: must be above 0"
    for kind, fields in _POSITIVE_FIELDS.items():
        for index, entity in enumerate(getattr(manifest, kind)):
            for field in fields:
                if not getattr(entity, field) > 0:
                    yield f"$.{kind}[{index}].{field}: must be above 0"
    for kind in ("servers", "services"):
        for index, entity in enumerate(getattr(manifest, kind)):
            if not 1 <= entity.port <= 65_535:
                yield f"$.{kind}[{index}].port: {entity.port} is not from 1 to 65535"


def _check_target_names(manifest: Manifest) -> Iterator[str]:
    models = {model.id for model in manifest.models}
    for index, adapter in enumerate(manifest.adapters):
        if adapter.id in models:
            yield f"$.adapters[{index}].id: '{adapter.id}' is also a model"


def _check_memory(manifest: Manifest) -> Iterator[str]:
    largest_mib_by_pool: dict[str, int] = {}
    for server in manifest.servers:
        largest_mib = largest_mib_by_pool.get(server.pool, 0)
        largest_mib_by_pool[server.pool] = max(largest_mib, server.memory_mib)
    model_by_id = {model.id: model for model in manifest.models}
    for index, model in enumerate(manifest.models):
        largest_mib = largest_mib_by_pool.get(model.pool, 0)
        if model.memory_mib > largest_mib:
            yield (
                f"$.models[{index}].memory_mib: {model.memory_mib} MiB fits on no "
                f"server of pool '{model.pool}', the largest has {largest_mib} MiB"
            )
    for index, adapter in enumerate(manifest.adapters):
        base: Model | None = model_by_id.get(adapter.model)
        if base is None:
            continue
        largest_mib = largest_mib_by_pool.get(base.pool, 0)
        if base.memory_mib <= largest_mib < base.memory_mib + adapter.memory_mib:
            yield (
                f"$.adapters[{index}].memory_mib: does not fit on any server of pool "
                f"'{base.pool}' beside its model"
            )


def _check_zones(manifest: Manifest) -> Iterator[str]:
    used_zone_ids = {server.zone for server in manifest.servers}
    used_zone_ids |= {service.zone for service in manifest.services}
    for index, zone in enumerate(manifest.zones):
        if zone.id not in used_zone_ids:
            yield f"$.zones[{index}].id: no server or service is in zone '{zone.id}'"


def _check_routes(manifest: Manifest) -> Iterator[str]:
    seen: set[str] = set()
    for index, route in enumerate(manifest.routes):
        path = f"$.routes[{index}]"
        if not route.path.startswith("/") or route.path.startswith(RESERVED_PATHS):
            yield (
                f"{path}.path: '{route.path}' must start with '/' and not with "
                + " or ".join(RESERVED_PATHS)
            )
        if route.path.rstrip("/") in seen:
            yield f"{path}.path: '{route.path}' stands twice"
        seen.add(route.path.rstrip("/"))
        if not route.services:
            yield f"{path}.services: names no service"
        if route.cost_tokens < 0:
            yield f"{path}.cost_tokens: must be 0 or more"


def _check_keys(manifest: Manifest) -> Iterator[str]:
    for index, key in enumerate(manifest.keys):
        if "." in key.id:
            yield f"$.keys[{index}].id: '{key.id}' must not hold a '.'"
        for field, chars in (("salt", 32), ("hash", 64)):
            text = getattr(key, field)
            if len(text) != chars or not all(c in "0123456789abcdef" for c in text):
                yield f"$.keys[{index}].{field}: must be {chars} hex digits"
