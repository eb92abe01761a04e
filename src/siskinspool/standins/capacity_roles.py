"""Costs of each role of a site, computed from the measured slopes.

The costs of a role are its messages per second, its bytes per second (sent and
received), its processor time as a share of a core, its memory and its calls to the
key-value service.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from .capacity_target import (
    HEARTBEATS_PER_S,
    PARTITIONS_PER_KIND,
    REPORTS_PER_S,
    SESSION_RENEW_S,
    SHARE_REPORTS_PER_S,
    Site,
)
from .slopes.slope import Slope

SECONDS_PER_US: Final = 1e-6
# About a message each way when a patient request is assigned, starts and finishes.
PATIENT_MESSAGES: Final = 6
DAY_S: Final = 86_400.0


@attrs.frozen(kw_only=True)
class Cost:
    """Costs of one role at one instance."""

    role: str
    state: str
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    core: float = 0.0
    memory_bytes: float = 0.0
    kv_reads_per_s: float = 0.0
    kv_writes_per_s: float = 0.0
    kv_lease_calls_per_s: float = 0.0
    watches: float = 0.0
    # Number of owners of the role in a site; 0 for a role that every instance has.
    owners: int = 0


class RoleCosts:
    """Computes the costs of the roles of one site."""

    def __init__(self, slopes: Mapping[str, Slope], site: Site) -> None:
        self._slopes = slopes
        self.site = site

    def value_at(self, name: str, size: float = 0.0) -> float:
        """Return the value of a slope at a size."""
        return self._slopes[name].value_at(size)

    def per_unit(self, name: str) -> float:
        """Return the increment of a slope per unit."""
        return self._slopes[name].per_unit

    @property
    def heartbeat_partners(self) -> float:
        """Number of heartbeat partners, measured at the sizes of both sites."""
        slope = self._slopes["count.partners"]
        by_size = {point.size: point.value for point in slope.points}
        return by_size[self.site.instances]

    @property
    def report_bytes(self) -> float:
        """Size of a server report."""
        return self.value_at("bytes.ServerReport", self.site.replicas_per_server)

    @property
    def reports_per_s(self) -> float:
        """Reports of all servers per second; under load each differs from the last."""
        return self.site.servers * REPORTS_PER_S

    def instance_roles(self) -> list[Cost]:
        """Return the costs of the control roles that every instance has."""
        return [
            self._membership(),
            self._ownership(),
            self._key_value_task(),
            self._revisions(),
            self._reporter(),
            self._routing(),
            self._replica_usage(),
            self._limits(),
        ]

    def owner_roles(self) -> list[Cost]:
        """Return the costs of the control roles that only owners have in addition."""
        return [
            self._placement(),
            self._quota_allocator(),
            self._claims(),
            self._patient_queue(),
        ]

    def data_path_roles(self) -> list[Cost]:
        """Return the costs per request and per token at every instance."""
        site = self.site
        requests = self.per_unit("live.processor_request") * site.requests_per_instance
        chunks = self.per_unit("live.processor_chunk") * site.tokens_per_instance
        claims = site.claims_per_s / site.instances
        forwarded = self.per_unit("bytes.ForwardClaim") + self.per_unit(
            "bytes.ClaimSettled"
        )
        forwarded += self.per_unit("bytes.ClaimPending") + self.per_unit(
            "bytes.RecordSettled"
        )
        forwarded += self.value_at("bytes.ForwardRecord", site.answer_bytes)
        running = f"{site.running_per_instance:.0f} calls at once"
        return [
            Cost(
                role="front end and calls: requests",
                state=running,
                messages_per_s=site.requests_per_instance,
                core=requests * SECONDS_PER_US,
            ),
            Cost(
                role="front end and calls: streamed tokens",
                state="one chunk per token",
                messages_per_s=site.tokens_per_instance,
                core=chunks * SECONDS_PER_US,
            ),
            Cost(
                role="claims: forwarding to shard owners",
                state="open claims",
                messages_per_s=5 * claims,
                bytes_per_s=forwarded * claims,
            ),
        ]

    def _membership(self) -> Cost:
        site = self.site
        heartbeats = self.heartbeat_partners * HEARTBEATS_PER_S
        # Other messages: replies of the key-value service and the platform's list.
        other_messages = self._reads_per_instance() + 1 / SESSION_RENEW_S + 1.0
        processor_us = (heartbeats + other_messages) * self.value_at(
            "time.Membership.heartbeat", site.instances
        )
        processor_us += HEARTBEATS_PER_S * self.value_at(
            "time.Membership.beat", site.instances
        )
        return Cost(
            role="membership",
            state="sessions, echoes, evidence",
            messages_per_s=2 * heartbeats,
            bytes_per_s=2 * heartbeats * self.value_at("bytes.Heartbeat", 0),
            core=processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Membership", site.instances),
        )

    def _ownership(self) -> Cost:
        steps = self._reads_per_instance() + 2 / SESSION_RENEW_S
        return Cost(
            role="ownership",
            state="49 owner records",
            core=steps
            * self.value_at("time.Ownership.renewal", self.site.instances)
            * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Ownership", self.site.instances),
        )

    def _reads_per_instance(self) -> float:
        return self.per_unit("live.idle_reads")

    def _key_value_task(self) -> Cost:
        return Cost(
            role="key-value task: session, head reads, watch",
            state="one lease, one watch",
            messages_per_s=self._reads_per_instance() + 1 / SESSION_RENEW_S,
            bytes_per_s=self.value_at("live.idle_kv_bytes", 0),
            kv_reads_per_s=self._reads_per_instance(),
            kv_lease_calls_per_s=1 / SESSION_RENEW_S,
            watches=1,
        )

    def _revisions(self) -> Cost:
        site = self.site
        event = self.value_at("bytes.watch_event", self.value_at("bytes.head", 4))
        # The record is read as base64 in JSON, as in a watch event.
        record = self.value_at(
            "bytes.watch_event", self.value_at("bytes.change_record", 1)
        )
        processor_us = self.value_at("time.Revisions.change", site.entities)
        processor_us += self.value_at("time.Routing.catalog", site.servers)
        processor_us += self._assign_us()
        return Cost(
            role="revisions, with the listeners' work per change",
            state=f"{site.entities:,.0f} entities",
            messages_per_s=site.changes_per_s,
            bytes_per_s=site.changes_per_s * (event + record),
            core=site.changes_per_s * processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.manifest", site.entities),
            kv_reads_per_s=site.changes_per_s,
        )

    def assignment_s(self) -> float:
        """Return the time that an instance needs to assign all servers to reporters."""
        return self._assign_us() * SECONDS_PER_US

    def _assign_us(self) -> float:
        fleet = "59" if self.site.instances <= 59 else "410"
        return self.value_at(f"time.Reporting.assign_{fleet}", self.site.servers)

    def _reporter(self) -> Cost:
        site = self.site
        own = self.reports_per_s / site.instances
        # One copy for each other instance and one for the placement owner.
        copies = own * site.instances
        encode = self.value_at("time.codec.encode_report", site.replicas_per_server)
        processor_us = (
            own * self.value_at("time.Reporting.spread", site.instances)
            + copies * encode
        )
        return Cost(
            role="reporter: own servers' reports to all",
            state=f"{site.servers / site.instances:.1f} servers polled",
            messages_per_s=copies,
            bytes_per_s=copies * self.report_bytes,
            core=processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Reporting", site.servers),
        )

    def _routing(self) -> Cost:
        decode = self.value_at(
            "time.codec.decode_report", self.site.replicas_per_server
        )
        report_us = self.value_at("time.Routing.report", self.site.servers) + decode
        return Cost(
            role="routing: reports of all servers",
            state="last report and ramp of each server",
            messages_per_s=self.reports_per_s,
            bytes_per_s=self.reports_per_s * self.report_bytes,
            core=self.reports_per_s * report_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Routing", self.site.servers),
        )

    def _replica_usage(self) -> Cost:
        used = self.site.replicas_in_use
        return Cost(
            role="routing: `ReplicaUsed` to the placement owner",
            state=f"{used:.0f} replicas in use",
            messages_per_s=used,
            bytes_per_s=used * self.per_unit("bytes.ReplicaUsed"),
        )

    def _limits(self) -> Cost:
        teams = self.site.teams_in_use_per_instance
        rate = teams * SHARE_REPORTS_PER_S
        exchange_bytes = self.per_unit("bytes.ShareReport") + self.per_unit(
            "bytes.ShareGrant"
        )
        processor_us = SHARE_REPORTS_PER_S * self.value_at(
            "time.TeamLimits.reports", teams
        )
        return Cost(
            role="limits: share reports and grants",
            state=f"{teams:.0f} teams in use",
            messages_per_s=2 * rate,
            bytes_per_s=rate * exchange_bytes,
            core=processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.TeamLimits", teams),
        )

    def _placement(self) -> Cost:
        site = self.site
        used = site.replicas_in_use * site.instances
        reports = self.reports_per_s
        decode = self.value_at("time.codec.decode_report", site.replicas_per_server)
        processor_us = reports * (
            self.value_at("time.Placement.report", site.servers) + decode
        )
        processor_us += used * self.value_at("time.Placement.used", site.servers)
        processor_us += self.value_at("time.Placement.review", site.servers)
        processor_us += site.activations_per_s * self.value_at(
            "time.Placement.need", site.servers
        )
        processor_us += site.changes_per_s * self.value_at(
            "time.Placement.catalog", site.servers
        )
        size = reports * self.report_bytes + used * self.per_unit("bytes.ReplicaUsed")
        writes = site.activations_per_s * max(self.per_unit("live.load_writes"), 0.0)
        return Cost(
            role="placement owner (1 per site)",
            owners=1,
            state=f"{site.servers:.0f} records",
            messages_per_s=reports + used,
            bytes_per_s=size,
            core=processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Placement", site.servers),
            kv_writes_per_s=writes,
        )

    def _quota_allocator(self) -> Cost:
        site = self.site
        teams = site.teams_in_use_per_instance / PARTITIONS_PER_KIND
        rate = site.instances * teams * SHARE_REPORTS_PER_S
        exchange_bytes = self.per_unit("bytes.ShareReport") + self.per_unit(
            "bytes.ShareGrant"
        )
        memory = self.value_at("memory.Mint", site.instances)
        return Cost(
            role="mint owner (16 per site)",
            owners=PARTITIONS_PER_KIND,
            state=f"{site.teams / PARTITIONS_PER_KIND:.1f} teams",
            messages_per_s=2 * rate,
            bytes_per_s=rate * exchange_bytes,
            core=rate
            * self.value_at("time.Mint.report", site.instances)
            * SECONDS_PER_US,
            # Measured with 10 teams.
            memory_bytes=memory * site.teams / PARTITIONS_PER_KIND / 10,
        )

    def _claims(self) -> Cost:
        site = self.site
        rate = site.claims_per_s / PARTITIONS_PER_KIND
        kept = rate * DAY_S
        claim_bytes = self.per_unit("bytes.ForwardClaim") + self.per_unit(
            "bytes.ClaimSettled"
        )
        claim_bytes += self.per_unit("bytes.ClaimPending") + self.per_unit(
            "bytes.RecordSettled"
        )
        claim_bytes += self.value_at("bytes.ForwardRecord", site.answer_bytes)
        # A claim and its answer take one batch each, at most one batch in 3 ms.
        processor_us = 2 * rate * self.value_at("time.Claims.kept", 100)
        return Cost(
            role="claim shard owner (16 per site)",
            owners=PARTITIONS_PER_KIND,
            state=f"{kept:,.0f} claims kept for 24 h",
            messages_per_s=5 * rate,
            bytes_per_s=rate * claim_bytes,
            core=processor_us * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.Claims", kept),
            kv_writes_per_s=rate * self.per_unit("live.claim_writes"),
        )

    def _patient_queue(self) -> Cost:
        site = self.site
        rate = site.patients_per_s / PARTITIONS_PER_KIND
        waiting = site.patient_waiting / PARTITIONS_PER_KIND
        writes = rate * self.per_unit("live.patient_writes")
        steps = rate * PATIENT_MESSAGES + writes
        return Cost(
            role="patient shard owner (16 per site)",
            owners=PARTITIONS_PER_KIND,
            state=f"{waiting:.0f} waiting",
            messages_per_s=rate * PATIENT_MESSAGES,
            core=steps
            * self.value_at("time.PatientQueue.step", waiting)
            * SECONDS_PER_US,
            memory_bytes=self.value_at("memory.PatientQueue", waiting),
            kv_writes_per_s=writes,
        )


def total(role: str, costs: list[Cost]) -> Cost:
    """Return the sum of several roles at one instance."""

    def sum_of(value: Callable[[Cost], float]) -> float:
        return sum(value(cost) for cost in costs)

    return Cost(
        role=role,
        state="",
        messages_per_s=sum_of(lambda c: c.messages_per_s),
        bytes_per_s=sum_of(lambda c: c.bytes_per_s),
        core=sum_of(lambda c: c.core),
        memory_bytes=sum_of(lambda c: c.memory_bytes),
        kv_reads_per_s=sum_of(lambda c: c.kv_reads_per_s),
        kv_writes_per_s=sum_of(lambda c: c.kv_writes_per_s),
        kv_lease_calls_per_s=sum_of(lambda c: c.kv_lease_calls_per_s),
        watches=sum_of(lambda c: c.watches),
    )
