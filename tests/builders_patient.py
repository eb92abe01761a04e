"""Builders for tests of patient requests."""

from __future__ import annotations

import attrs

from siskinspool.contracts.claim_messages import InstanceIncarnation
from siskinspool.contracts.patient import PatientQueue
from siskinspool.contracts.patient_encoding import MsgpackHeadCodec
from siskinspool.contracts.patient_messages import (
    GetPatientStatus,
    PatientAccepted,
    PatientFinished,
    PatientRecorded,
    PatientRefusal,
    PatientRefused,
    PatientReturned,
    PatientStarted,
    PatientStatus,
    RunPatient,
    SubmitPatient,
)
from siskinspool.contracts.patient_record import Head
from siskinspool.core.decision import Decision
from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.machines.messages import (
    CatalogChanged,
    OwnersChanged,
    OwnershipGained,
    OwnershipLost,
)
from siskinspool.manifest.model import Catalog, Manifest, Site, Team
from siskinspool.store.keys import PATIENT_PREFIX
from tests.builders_claims import Simulation

RUN_S = 0.5


@attrs.define
class _Run:
    message: RunPatient
    sender: Address
    finish_at: float
    returned: bool = False


class RunnerModel(Decision):
    """A runner that follows the rules in `patient_messages`."""

    def __init__(self, incarnation: str, starts: list[str]) -> None:
        self.incarnation = incarnation
        self.starts = starts
        self.run_by_token: dict[str, _Run] = {}
        self.seen: set[str] = set()
        # If set, new requests are returned, as by the runner of a stopping instance.
        self.stopping = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        message = incoming.message
        if isinstance(message, PatientRecorded):
            self.run_by_token.pop(message.token, None)
        if not isinstance(message, RunPatient):
            return []
        if message.incarnation != self.incarnation:
            return []
        token, request_id = message.token, message.request.request_id
        if token not in self.seen:
            self.seen.add(token)
            self.run_by_token[token] = _Run(
                message, incoming.sender, now + RUN_S, self.stopping
            )
            if self.stopping:
                return []
            self.starts.append(request_id)
        elif token in self.run_by_token:
            self.run_by_token[token].sender = incoming.sender
        return [Outgoing(incoming.sender, PatientStarted(request_id, token))]

    def on_time(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for token, run in self.run_by_token.items():
            if now >= run.finish_at:
                run.finish_at = now + 1.0
                request = run.message.request
                if run.returned:
                    returned = PatientReturned(request.request_id, token)
                    out.append(Outgoing(run.sender, returned))
                    continue
                finished = PatientFinished(
                    request.request_id, token, 200, "text/plain", request.body
                )
                out.append(Outgoing(run.sender, finished))
        return out

    def wake_at(self) -> float | None:
        return min((run.finish_at for run in self.run_by_token.values()), default=None)


class PatientCluster:
    """Instances that each run a `PatientQueue` and a runner, with one shard."""

    def __init__(self, max_waiting: int = 1000) -> None:
        self.sim = Simulation()
        self.starts: list[str] = []
        self.submitted: list[SubmitPatient] = []
        self.reply_by_id: dict[str, Message] = {}
        self.incarnation_by_id: dict[str, int] = {}
        manifest = Manifest(
            site=Site(id="lagos"),
            teams=(Team(id="t1", rate=1, burst=1, max_waiting=max_waiting),),
        )
        self.catalog = Catalog.from_manifest(1, manifest)
        for instance in ("a", "b", "c"):
            self.start(instance)
        self.announce()
        self.move_owner("a")

    def start(self, instance: str) -> None:
        """Start an instance; replaces an earlier incarnation."""
        number = self.incarnation_by_id.get(instance, 0) + 1
        self.incarnation_by_id[instance] = number
        queue = PatientQueue(
            InstanceIncarnation(instance, str(number)), MsgpackHeadCodec(), shards=1
        )
        runner = RunnerModel(str(number), self.starts)
        self.sim.decision_by_address[Address(instance, "patient")] = queue
        self.sim.decision_by_address[Address(instance, "runner")] = runner
        self.sim.pending = [
            p for p in self.sim.pending if p.sender.instance_id != instance
        ]
        self.sim.frozen.discard(instance)
        self.send(instance, CatalogChanged(self.catalog))

    def announce(self, absent: str | None = None) -> None:
        """Inform every instance of the current members."""
        members = {
            name: Member(name, str(number), "z", "127.0.0.1", 1)
            for name, number in self.incarnation_by_id.items()
            if name != absent
        }
        for instance in self.incarnation_by_id:
            self.send(instance, MembershipChanged(members))

    def move_owner(self, owner: str, stale: str | None = None) -> None:
        """Make an instance the owner of the shard; a stale instance is not informed."""
        for instance in self.incarnation_by_id:
            if instance == stale:
                continue
            self.send(instance, OwnersChanged({"patient/0": owner}))
            if instance != owner:
                self.send(instance, OwnershipLost("patient/0"))
        self.send(owner, OwnershipGained("patient/0", 1))

    def send(self, instance: str, message: Message, task: str = "test") -> None:
        """Send a message from a local task, unless the instance is frozen."""
        if instance not in self.sim.frozen:
            address = Address(instance, "patient")
            self.sim.post(Address(instance, task), address, message)
            self.check()

    def stop_runner(self, instance: str) -> RunnerModel:
        """Make the runner of an instance return all new requests."""
        runner = self.sim.decision_by_address[Address(instance, "runner")]
        assert isinstance(runner, RunnerModel)
        runner.stopping = True
        return runner

    def submit(
        self, instance: str = "b", idempotent: bool = False, size: int = 10
    ) -> str:
        """Submit a request; return its id."""
        request_id = f"r{len(self.submitted)}"
        message = SubmitPatient(
            request_id, "t1", "POST", "m1", "", (), b"x" * size, idempotent, 1e6
        )
        self.submitted.append(message)
        self.send(instance, message, f"reply:{request_id}")
        return request_id

    def status(self, request_id: str, team: str = "t1") -> PatientStatus:
        """Query the state of a request at an instance, without faults."""
        self.send("c", GetPatientStatus(request_id, team), "reply:status")
        self.sim.run(1.0)
        self.check()
        status = self.reply_by_id.pop("status")
        assert isinstance(status, PatientStatus)
        return status

    def check(self) -> None:
        """Check the replies to handlers and the starts of requests."""
        for recipient, message in self.sim.received:
            name = recipient.task.removeprefix("reply:")
            assert name not in self.reply_by_id, f"two answers to {name}"
            self.reply_by_id[name] = message
        self.sim.received.clear()
        for request in self.submitted:
            starts = self.starts.count(request.request_id)
            assert request.idempotent or starts <= 1, f"{request.request_id} ran twice"
            reply = self.reply_by_id.get(request.request_id)
            if isinstance(reply, PatientRefused):
                is_unknown = reply.reason is PatientRefusal.OUTCOME_UNKNOWN
                assert is_unknown or not starts, "a refused request ran"

    def accepted(self) -> list[str]:
        """Return the ids of accepted requests."""
        replies = self.reply_by_id.items()
        return [key for key, reply in replies if isinstance(reply, PatientAccepted)]

    def head(self, request_id: str) -> Head:
        """Return the stored head of a request."""
        item = self.sim.kv.item_by_key[f"{PATIENT_PREFIX}0/{request_id}"]
        head = MsgpackHeadCodec().decode(item.value)
        assert head is not None
        return head
