"""Members, manifests and reports of a given size, with names of realistic length."""

from __future__ import annotations

from ...core.member import Member, MembershipChanged
from ...core.message import Address, Incoming, Message
from ...machines.messages import ReplicaState, ReportedReplica, ServerReport
from ...manifest.model import (
    Adapter,
    Catalog,
    Key,
    Manifest,
    Model,
    Pool,
    Server,
    Site,
    Team,
    Zone,
)

SITE = "lagos"
OWN = "lagos-entry-000"
ZONES = ("lagos-a", "lagos-b", "lagos-c")
CAPACITY = 16


def instance_name(number: int) -> str:
    """Return the name of an instance."""
    return f"lagos-entry-{number:03d}"


def server_name(number: int) -> str:
    """Return the name of a server."""
    return f"lagos-engine-{number:04d}"


def member(number: int) -> Member:
    """Return a member with a zone, an address and an incarnation."""
    zone = ZONES[number % len(ZONES)]
    name = instance_name(number)
    return Member(name, f"{number:012x}", zone, "10.20.30.40", 7000, False, "", 8000)


def members(count: int) -> dict[str, Member]:
    """Return the given number of members by id."""
    return {instance_name(number): member(number) for number in range(count)}


def membership(count: int) -> MembershipChanged:
    """Return the message that announces the given number of members."""
    return MembershipChanged(members(count))


def manifest(
    servers: int = 0, models: int = 0, adapters: int = 0, teams: int = 0, keys: int = 0
) -> Manifest:
    """Return a manifest of the given sizes."""
    return Manifest(
        site=Site(id=SITE),
        zones=tuple(Zone(id=zone) for zone in ZONES),
        pools=(Pool(id="engines"),),
        servers=tuple(
            Server(
                id=server_name(number),
                zone=ZONES[number % len(ZONES)],
                pool="engines",
                host="10.20.30.40",
                port=9000,
                memory_mib=80_000,
                capacity=CAPACITY,
            )
            for number in range(servers)
        ),
        models=tuple(
            Model(id=f"model-{number:04d}", pool="engines", memory_mib=9_000)
            for number in range(models)
        ),
        adapters=tuple(
            Adapter(
                id=f"adapter-{number:05d}",
                model=f"model-{number % models:04d}",
                memory_mib=100,
            )
            for number in range(adapters)
        ),
        teams=tuple(
            Team(id=f"team-{number:04d}", rate=100_000, burst=400_000)
            for number in range(teams)
        ),
        keys=tuple(
            Key(
                id=f"team-{number:04d}-1",
                team=f"team-{number % max(teams, 1):04d}",
                salt=f"{number:032x}",
                hash=f"{number:064x}",
            )
            for number in range(keys)
        ),
    )


def catalog(revision: int = 1, **sizes: int) -> Catalog:
    """Return the catalog of a manifest of the given sizes."""
    return Catalog.from_manifest(revision, manifest(**sizes))


def report(number: int, replicas: int, running: int = 3) -> ServerReport:
    """Return the report of a server with models ``number`` and following loaded."""
    held = tuple(
        ReportedReplica(
            f"{OWN}:0123456789ab:{number * 100 + index}",
            f"model-{(number + index) % 1700:04d}",
            "",
            ReplicaState.LOADED,
        )
        for index in range(replicas)
    )
    return ServerReport(
        server_name(number),
        f"boot-{number:012x}",
        CAPACITY,
        running,
        0,
        80_000,
        9_000 * replicas,
        held,
        highest_fence=123_456,
        age_s=0.125,
    )


def incoming(message: Message, sender: str = OWN, task: str = "test") -> Incoming:
    """Return a message with a sender, as a decision receives it."""
    return Incoming(Address(sender, task), message)
