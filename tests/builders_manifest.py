"""Builders of manifests, and a simulated configuration store with its instances."""

from __future__ import annotations

import attrs

from siskinspool.core.message import Address, Incoming, Outgoing
from siskinspool.manifest.head import (
    Head,
    decode_head,
    encode_head,
    plan_publication,
)
from siskinspool.manifest.model import Manifest, Pool, Server, Site, Team, Zone
from siskinspool.manifest.revisions import Revisions
from siskinspool.store.keys import CONFIG_HEAD
from siskinspool.store.kv import KvAnswerLost, KvChanged, KvGet, KvValue


def manifest(teams: dict[str, float] | None = None) -> Manifest:
    """Return a small valid manifest with the given teams and rates."""
    rates = {"t1": 100.0} if teams is None else teams
    return Manifest(
        site=Site(id="lagos"),
        zones=(Zone(id="a"),),
        pools=(Pool(id="p"),),
        servers=(
            Server(
                id="s1",
                zone="a",
                pool="p",
                host="127.0.0.1",
                port=9,
                memory_mib=1000,
                capacity=4,
            ),
        ),
        teams=tuple(Team(id=name, rate=rate, burst=10) for name, rate in rates.items()),
    )


@attrs.define
class ConfigurationStore:
    """The key-value records of the configuration, with all heads ever written."""

    value_by_key: dict[str, bytes] = attrs.field(factory=dict)
    heads: list[bytes] = attrs.field(factory=list)
    manifests: list[Manifest] = attrs.field(factory=list)

    def publish(self, new: Manifest) -> Head:
        """Bring a manifest into force."""
        head = decode_head(self.heads[-1]) if self.heads else None
        old = self.manifests[-1] if self.manifests else None
        token = f"t{len(self.heads)}"
        publication = plan_publication(head, old, new, token)
        for record in publication.records:
            self.value_by_key[record.key] = record.value
        self.heads.append(encode_head(publication.head))
        self.manifests.append(new)
        return publication.head

    def read(self, key: str, lag: int = 0) -> bytes | None:
        """Return a value; a read of the head is ``lag`` heads behind."""
        if key != CONFIG_HEAD:
            return self.value_by_key.get(key)
        visible_heads = self.heads[: max(0, len(self.heads) - lag)]
        return visible_heads[-1] if visible_heads else None


@attrs.define
class RevisionsCluster:
    """Several `Revisions` with a store; a test can cut their links to it."""

    store: ConfigurationStore
    revisions_by_id: dict[str, Revisions]
    # Instances that the key-value service does not answer.
    disconnected: set[str] = attrs.field(factory=set)
    lag: int = 0
    now: float = 0.0

    @classmethod
    def with_instances(cls, *instance_ids: str) -> RevisionsCluster:
        """Return a cluster with an empty store."""
        cluster = cls(ConfigurationStore(), {})
        for instance_id in instance_ids:
            cluster.revisions_by_id[instance_id] = Revisions(instance_id, ())
        return cluster

    def watch_event(self, instance_id: str) -> None:
        """Deliver the head to an instance as its watch does."""
        value = self.store.read(CONFIG_HEAD, self.lag)
        sender = Address(instance_id, "kv")
        event = Incoming(sender, KvChanged(CONFIG_HEAD, value, 1))
        decision = self.revisions_by_id[instance_id]
        self.run(instance_id, decision.handle(event, self.now))

    def advance(self, seconds: float) -> None:
        """Advance the time; all instances that are not cut off read the head."""
        self.now += seconds
        for instance_id in self.revisions_by_id.keys() - self.disconnected:
            self.watch_event(instance_id)
        for instance_id, decision in self.revisions_by_id.items():
            wake_at = decision.wake_at()
            if wake_at is not None and wake_at <= self.now:
                self.run(instance_id, decision.on_time(self.now))

    def run(self, instance_id: str, batch: list[Outgoing]) -> None:
        """Deliver messages, and the messages that they cause, until none is left."""
        queue = [(instance_id, outgoing) for outgoing in batch]
        while queue:
            origin, outgoing = queue.pop(0)
            recipient = outgoing.recipient
            sender = Address(origin, "revisions")
            if recipient.task == "kv":
                answer = self._answer(origin, outgoing)
                sender, recipient = recipient, Address(origin, "revisions")
            elif recipient.task == "revisions":
                answer = Incoming(sender, outgoing.message)
            else:
                continue
            decision = self.revisions_by_id[recipient.instance_id]
            responses = decision.handle(answer, self.now)
            queue += [(recipient.instance_id, item) for item in responses]

    def _answer(self, instance_id: str, outgoing: Outgoing) -> Incoming:
        request = outgoing.message
        assert isinstance(request, KvGet)
        sender = Address(instance_id, "kv")
        if instance_id in self.disconnected:
            return Incoming(sender, KvAnswerLost(request.request_id, request.key))
        value = self.store.read(request.key, self.lag)
        reply = KvValue(request.request_id, request.key, value, 1 if value else 0)
        return Incoming(sender, reply)
