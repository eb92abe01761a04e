"""Builders of test data.

Each builder returns a valid object and takes only the fields that a test cares about.
"""

from __future__ import annotations

from siskinspool.core.member import Member
from siskinspool.core.message import Address, Incoming, Message
from siskinspool.machines.messages import ServerReport
from siskinspool.manifest.model import (
    Adapter,
    Catalog,
    Manifest,
    Model,
    Pool,
    Server,
    Site,
    Team,
    Zone,
)


def incoming(message: Message, instance: str = "i1", task: str = "test") -> Incoming:
    """Return a message received from a task of an instance."""
    return Incoming(Address(instance, task), message)


def member(instance_id: str = "i1", zone: str = "a", draining: bool = False) -> Member:
    """Return a member with a peer address that no test connects to."""
    return Member(instance_id, f"{instance_id}-1", zone, "127.0.0.1", 1, draining)


def server(
    server_id: str = "s1",
    zone: str = "a",
    pool: str = "p",
    memory_mib: int = 1000,
    capacity: int = 10,
    checks_fencing: bool = True,
) -> Server:
    """Return a server of the manifest."""
    return Server(
        id=server_id,
        zone=zone,
        pool=pool,
        host="127.0.0.1",
        port=1,
        memory_mib=memory_mib,
        capacity=capacity,
        checks_fencing=checks_fencing,
    )


def model(model_id: str = "m1", pool: str = "p", memory_mib: int = 400) -> Model:
    """Return a model of the manifest."""
    return Model(id=model_id, pool=pool, memory_mib=memory_mib)


def adapter(adapter_id: str = "a1", base: str = "m1", memory_mib: int = 10) -> Adapter:
    """Return an adapter of the manifest."""
    return Adapter(id=adapter_id, model=base, memory_mib=memory_mib)


def team(team_id: str = "t1", rate: float = 100.0, burst: float = 200.0) -> Team:
    """Return a team of the manifest."""
    return Team(id=team_id, rate=rate, burst=burst)


def catalog(
    servers: tuple[Server, ...] = (),
    models: tuple[Model, ...] = (),
    adapters: tuple[Adapter, ...] = (),
    teams: tuple[Team, ...] = (),
    zones: tuple[str, ...] = ("a", "b", "c"),
    revision: int = 1,
) -> Catalog:
    """Return the catalog of a manifest revision."""
    manifest = Manifest(
        site=Site(id="lagos"),
        zones=tuple(Zone(id=zone) for zone in zones),
        pools=(Pool(id="p"),),
        servers=servers or (server(),),
        models=models or (model(),),
        adapters=adapters,
        teams=teams or (team(),),
    )
    return Catalog.from_manifest(revision, manifest)


def report(
    server_id: str = "s1", boot_id: str = "b1", running: int = 0, used_mib: int = 0
) -> ServerReport:
    """Return the report of a server without replicas."""
    return ServerReport(server_id, boot_id, 10, running, 0, 1000, used_mib)
