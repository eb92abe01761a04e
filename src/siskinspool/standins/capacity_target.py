"""Target sizes of the design page and further assumptions of the computation."""

from __future__ import annotations

import math
from typing import Final

import attrs

DAY_S: Final = 86_400.0
HOUR_S: Final = 3_600.0
REGIONS: Final = 7
# Budget of control work per instance (design page, section 2).
BUDGET_CORE: Final = 0.04
BUDGET_MEMORY_BYTES: Final = 64_000_000
BUDGET_BYTES_PER_S: Final = 2_000
# Capacity of the key-value service: "several hundred writes/s and about 2,000
# reads/s".
KV_WRITES_PER_S: Final = 300.0
KV_READS_PER_S: Final = 2_000.0
PARTITIONS_PER_KIND: Final = 16
# Intervals and frequencies used by the implementation.
HEARTBEATS_PER_S: Final = 2.0
REPORTS_PER_S: Final = 2.0
SHARE_REPORTS_PER_S: Final = 4.0
SHARE_TTL_S: Final = 10.0
ALLOCATOR_WAIT_S: Final = 11.0
SESSION_TTL_S: Final = 15.0
SESSION_RENEW_S: Final = 5.0
TOKEN_GAP_S: Final = 0.05


@attrs.frozen(kw_only=True)
class Site:
    """A site at the target sizes."""

    name: str
    instances: float
    servers: float
    requests_per_s: float
    tokens_per_s: float
    models: float = 1_700
    adapters: float = 8_700
    # Models and adapters that become active or idle per second.
    activations_per_s: float
    changes_per_s: float = 20_000 / DAY_S
    failures_per_day: float
    restarts_per_day: float
    # Assumptions that the design page does not state.
    replicas_per_server: float = 12
    teams: float = 200
    keys: float = 400
    teams_in_use_per_instance: float = 50
    claim_share: float = 0.05
    patient_share: float = 0.02
    patient_waiting: float = 10_000
    answer_bytes: float = 200

    @classmethod
    def whole_fleet(cls) -> Site:
        """Return a single site with all instances."""
        return cls(
            name="one site of 410 instances",
            instances=410,
            servers=6_400,
            requests_per_s=13_000,
            tokens_per_s=3_700_000,
            activations_per_s=0.067 * (1_700 + 8_700) / HOUR_S,
            failures_per_day=97,
            restarts_per_day=810,
        )

    @classmethod
    def region(cls) -> Site:
        """Return the site of one region; each region has the whole manifest."""
        fleet = cls.whole_fleet()
        return attrs.evolve(
            fleet,
            name="one region",
            instances=math.ceil(fleet.instances / REGIONS),
            servers=round(fleet.servers / REGIONS),
            requests_per_s=fleet.requests_per_s / REGIONS,
            tokens_per_s=fleet.tokens_per_s / REGIONS,
            activations_per_s=fleet.activations_per_s / REGIONS,
            failures_per_day=fleet.failures_per_day / REGIONS,
            restarts_per_day=fleet.restarts_per_day / REGIONS,
        )

    @property
    def entities(self) -> float:
        """Number of entities in the manifest."""
        own = self.servers + self.models + self.adapters
        return own + self.teams + self.keys

    @property
    def requests_per_instance(self) -> float:
        """Requests per second at one instance."""
        return self.requests_per_s / self.instances

    @property
    def tokens_per_instance(self) -> float:
        """Streamed tokens per second at one instance."""
        return self.tokens_per_s / self.instances

    @property
    def running_per_instance(self) -> float:
        """In-flight calls at one instance, at 50 ms between tokens."""
        tokens = self.tokens_per_s / self.requests_per_s
        return self.requests_per_instance * tokens * TOKEN_GAP_S

    @property
    def replicas_in_use(self) -> float:
        """Replicas that an instance uses at a time, if it picks servers at random."""
        spread = -self.running_per_instance / self.servers
        return self.servers * (1 - math.exp(spread))

    @property
    def claims_per_s(self) -> float:
        """Non-idempotent calls per second."""
        return self.requests_per_s * self.claim_share

    @property
    def patients_per_s(self) -> float:
        """Patient requests per second."""
        return self.requests_per_s * self.patient_share
