"""Classes of the manifest.

The operators' build pipeline writes the manifest as one JSON document. Each entity has
an id that is unique within its kind. Entities refer to each other by id; the references
are checked in `siskinspool.manifest.checks`. Field names include their units. Fields
that may have a fraction are converted to float, so that 10 and 10.0 give the same
digest.
"""

from __future__ import annotations

from enum import StrEnum

import attrs


class RequestClass(StrEnum):
    """How soon a request has to be answered."""

    URGENT = "urgent"
    PATIENT = "patient"


class ZoneState(StrEnum):
    """Whether a zone takes new work."""

    OPEN = "open"
    CLOSED = "closed"


@attrs.frozen(kw_only=True)
class Site:
    """A deployment: one weight store, one key-value service, several zones."""

    id: str
    # Loads of models that the weight store allows per second.
    store_loads_per_s: float = attrs.field(default=1.5, converter=float)
    # Concurrent loads of models before the weight store slows down.
    store_parallel_loads: int = 4
    # Concurrent loads of adapters over all servers before they slow down.
    adapter_parallel_loads: int = 30
    # Maximum number of waiting patient requests over all teams.
    max_waiting: int = 10_000


@attrs.frozen(kw_only=True)
class Zone:
    """An availability zone."""

    id: str
    state: ZoneState = ZoneState.OPEN


@attrs.frozen(kw_only=True)
class Pool:
    """Servers that are alike and serve the same models."""

    id: str


@attrs.frozen(kw_only=True)
class Server:
    """A backend server with a model engine."""

    id: str
    zone: str
    pool: str
    host: str
    port: int
    # Accelerator memory for model weights and adapters.
    memory_mib: int
    # Requests that the warm engine runs concurrently.
    capacity: int
    # Whether the server refuses an order with an old fencing number.
    checks_fencing: bool = True
    # Whether the server checks which instance sends an order.
    checks_sender: bool = False


@attrs.frozen(kw_only=True)
class Model:
    """A model with its checkpoint."""

    id: str
    pool: str
    memory_mib: int
    version: str = "1"
    # Expected duration of a load from the weight store at full speed.
    load_s: float = attrs.field(default=5.0, converter=float)
    # Maximum number of replicas.
    max_replicas: int = 2


@attrs.frozen(kw_only=True)
class Adapter:
    """An adapter on top of a model."""

    id: str
    model: str
    memory_mib: int
    version: str = "1"
    # Expected duration of a load while few loads are in flight.
    load_s: float = attrs.field(default=0.015, converter=float)


@attrs.frozen(kw_only=True)
class Service:
    """A plain HTTP service beside the model engines."""

    id: str
    zone: str
    host: str
    port: int
    # Maximum number of concurrent calls.
    capacity: int = 32


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix of plain service calls and how they are treated."""

    id: str
    path: str
    # Ids of the services that answer this route.
    services: tuple[str, ...]
    request_class: RequestClass = RequestClass.URGENT
    deadline_ms: int = 10_000
    idempotent: bool = True
    # Tokens that one call costs its team.
    cost_tokens: int = 1
    # Whether callers without a key may use the route.
    open: bool = False


@attrs.frozen(kw_only=True)
class Team:
    """A customer with its contract."""

    id: str
    # Tokens per second over all instances together.
    rate: float = attrs.field(converter=float)
    # Maximum number of tokens in a burst over all instances together.
    burst: float = attrs.field(converter=float)
    # Weight of the team when server capacity is shared among teams.
    weight: float = attrs.field(default=1.0, converter=float)
    # Ids of models, adapters and routes that the team may use; "*" stands for all.
    allow: tuple[str, ...] = ("*",)
    # Maximum number of waiting patient requests of the team.
    max_waiting: int = 1_000
    # Deadline of a model request that states none.
    deadline_ms: int = 30_000


@attrs.frozen(kw_only=True)
class Key:
    """An API key; only a salted hash of it is kept."""

    id: str
    team: str
    # Hex digits.
    salt: str
    # Hex digits of BLAKE2b-256 of the key, keyed with the salt.
    hash: str


@attrs.frozen(kw_only=True)
class Manifest:
    """All that operators configure, as one document."""

    site: Site
    zones: tuple[Zone, ...] = ()
    pools: tuple[Pool, ...] = ()
    servers: tuple[Server, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()


@attrs.frozen(kw_only=True)
class Catalog:
    """A manifest in force with its entities indexed by id."""

    revision: int
    manifest: Manifest
    zone_by_id: dict[str, Zone]
    server_by_id: dict[str, Server]
    model_by_id: dict[str, Model]
    adapter_by_id: dict[str, Adapter]
    service_by_id: dict[str, Service]
    route_by_id: dict[str, Route]
    team_by_id: dict[str, Team]
    key_by_id: dict[str, Key]

    @classmethod
    def from_manifest(cls, revision: int, manifest: Manifest) -> Catalog:
        """Return the catalog of a checked manifest."""
        return cls(
            revision=revision,
            manifest=manifest,
            zone_by_id={zone.id: zone for zone in manifest.zones},
            server_by_id={server.id: server for server in manifest.servers},
            model_by_id={model.id: model for model in manifest.models},
            adapter_by_id={adapter.id: adapter for adapter in manifest.adapters},
            service_by_id={service.id: service for service in manifest.services},
            route_by_id={route.id: route for route in manifest.routes},
            team_by_id={team.id: team for team in manifest.teams},
            key_by_id={key.id: key for key in manifest.keys},
        )

    def base_model(self, target: str) -> Model | None:
        """Return the model with this id, or the base model of the adapter with this id.

        Return None if the id is unknown.
        """
        adapter = self.adapter_by_id.get(target)
        return self.model_by_id.get(adapter.model if adapter else target)


def empty_manifest(site_id: str = "unset") -> Manifest:
    """Return the manifest of an instance that has not received one yet."""
    return Manifest(site=Site(id=site_id))
