"""The measures M1 to M5, which run on the product and on the baseline.

Both arms get the same arrivals from the same seed, one arm after the other. A measure
returns one `Row` for each arm and case.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

import attrs
import gevent

from ..manifest.model import Team
from .arms import Arm
from .baseline import RateBucket
from .load import encode_request, run_load
from .load_results import (
    Json,
    Quantiles,
    RequestResult,
    count_refusals,
    goodput_tokens,
    group_by_team,
    quantiles,
    summarize,
)
from .load_schedule import (
    Arrival,
    BurstFlow,
    Flow,
    RequestKind,
    SteadyFlow,
    build_schedule,
)
from .processes import ProcessError, call_json

SAMPLE_S: Final = 0.25


@attrs.frozen
class Row:
    """Figures of one arm in one case of a measure."""

    measure: str
    case: str
    arm: str
    figures: dict[str, Any]


class Measure(ABC):
    """A kind of load and the figures that are computed from its results."""

    @abstractmethod
    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Send the load of one round to one arm and return its figures."""


def _quantiles_to_json(distribution: Quantiles | None) -> Json:
    if distribution is None:
        return {"p50_s": None, "p95_s": None, "p99_s": None, "max_s": None}
    return {
        "p50_s": round(distribution.p50, 3),
        "p95_s": round(distribution.p95, 3),
        "p99_s": round(distribution.p99, 3),
        "max_s": round(distribution.maximum, 3),
    }


def _summary_to_json(results: Sequence[RequestResult]) -> Json:
    summary = summarize(results)
    return {
        "sent": summary.sent,
        "ok": summary.ok,
        **_quantiles_to_json(summary.first_token_s),
        "refused": summary.refused_by_code,
    }


def preload(arm: Arm, models: Sequence[str], team: str) -> None:
    """Load models before a measure starts."""
    all_instances = tuple(range(arm.plan.instances))
    flows: list[Flow] = [
        BurstFlow(
            kind=RequestKind(team=team, targets=(m,), instances=all_instances[:1]),
            at_s=0,
        )
        for m in models
    ]
    results = run_load(arm.load_target, build_schedule(flows, 0))
    refused = count_refusals(results)
    if refused:
        print(f"  preload of {arm.name}: {refused}")


@attrs.frozen(kw_only=True)
class ColdStart(Measure):
    """M1: bursts at all instances of requests for models that are not loaded."""

    case: str
    team: str
    models: tuple[str, ...]
    models_per_burst: int = 2
    gap_s: float = 4.0

    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Request the models, some of them in each burst."""
        all_instances = tuple(range(arm.plan.instances))
        flows: list[Flow] = [
            BurstFlow(
                kind=RequestKind(
                    team=self.team,
                    targets=(model,),
                    instances=all_instances,
                    max_tokens=8,
                ),
                at_s=0.2 + self.gap_s * (number // self.models_per_burst),
            )
            for number, model in enumerate(self.models)
        ]
        loads_before = sum(
            len(observations["loads"]) for observations in arm.engine_observations()
        )
        falls_before = sum(
            observations["falls"] for observations in arm.engine_observations()
        )
        results = run_load(arm.load_target, build_schedule(flows, seed))
        loads_after = sum(
            len(observations["loads"]) for observations in arm.engine_observations()
        )
        figures = _summary_to_json(results) | {
            "models": len(self.models),
            "loads": loads_after - loads_before,
            "server_falls": sum(
                counters["falls"] for counters in arm.engine_observations()
            )
            - falls_before,
        }
        return [Row("M1", self.case, arm.name, figures)]


@attrs.frozen(kw_only=True)
class RateRefusals(Measure):
    """M4: requests refused although they are inside the team's rate."""

    teams: tuple[str, ...]
    models: tuple[str, ...]
    phases: int = 4
    phase_s: float = 8.0
    # Fractions of the rate that arrives steadily and of the burst that arrives at
    # the start of each phase.
    steady_share: float = 0.6
    spike_share: float = 0.4
    max_tokens: int = 100

    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Send each team's demand to one instance, which changes with each phase."""
        team_by_id = {team.id: team for team in arm.plan.teams}
        flows: list[Flow] = []
        for number, name in enumerate(self.teams):
            flows += self._flows(team_by_id[name], number, arm.plan.instances)
        schedule = build_schedule(flows, seed)
        results = run_load(arm.load_target, schedule)
        tokens = [_estimate_tokens(arm, arrival) for arrival in schedule]
        is_inside = admitted_centrally(schedule, tokens, team_by_id)
        inside_results = [
            r for r, is_within in zip(results, is_inside, strict=True) if is_within
        ]
        wrongly_refused = [r for r in inside_results if r.code == "rate_exceeded"]
        figures = {
            "inside_rate": sum(is_inside),
            "refused_inside": len(wrongly_refused),
            "share": round(len(wrongly_refused) / max(1, sum(is_inside)), 4),
            "other_refusals": count_refusals(
                [r for r in results if r.code != "rate_exceeded"]
            ),
        }
        return [Row("M4", "moving demand", arm.name, figures)]

    def _flows(self, team: Team, number: int, instances: int) -> list[Flow]:
        flows: list[Flow] = []
        for phase in range(self.phases):
            kind = RequestKind(
                team=team.id,
                targets=self.models,
                instances=((2 * phase + number) % instances,),
                max_tokens=self.max_tokens,
                streamed_share=0.5,
            )
            start_s = phase * self.phase_s
            spike = int(self.spike_share * team.burst / self.max_tokens)
            flows.append(BurstFlow(kind=kind, at_s=start_s, per_instance=spike))
            per_s = self.steady_share * team.rate / self.max_tokens
            flows.append(
                SteadyFlow(
                    kind=kind, per_s=per_s, duration_s=self.phase_s, start_s=start_s
                )
            )
        return flows


def _estimate_tokens(arm: Arm, arrival: Arrival) -> int:
    body = encode_request(arm.load_target, arrival).partition(b"\r\n\r\n")[2]
    return len(body) // 4 + arrival.max_tokens


def admitted_centrally(
    schedule: Sequence[Arrival], tokens: Sequence[int], team_by_id: dict[str, Team]
) -> list[bool]:
    """Return which arrivals a single bucket for the whole site would admit.

    The bucket of each team starts full.
    """
    bucket_by_team = {
        team.id: RateBucket(team.rate, team.burst, team.burst, 0.0)
        for team in team_by_id.values()
    }
    return [
        bucket_by_team[arrival.team].try_spend(count, arrival.at_s)
        for arrival, count in zip(schedule, tokens, strict=True)
    ]


@attrs.frozen(kw_only=True)
class WorstTeamLatency(Measure):
    """M3: service of the other teams while one sends ten times its rate."""

    heavy: str
    models: tuple[str, ...]
    seconds: float = 20.0
    share: float = 0.7
    max_tokens: int = 20
    deadline_ms: int = 5_000

    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Send all teams' demand to all instances."""
        all_instances = tuple(range(arm.plan.instances))
        flows: list[Flow] = []
        for team in arm.plan.teams:
            kind = RequestKind(
                team=team.id,
                targets=self.models,
                instances=all_instances,
                max_tokens=self.max_tokens,
                deadline_ms=self.deadline_ms,
            )
            factor = 10.0 if team.id == self.heavy else self.share
            # The prompt is about 22 tokens of each request's estimate.
            per_s = factor * team.rate / (self.max_tokens + 22)
            flows.append(SteadyFlow(kind=kind, per_s=per_s, duration_s=self.seconds))
        grouped = group_by_team(run_load(arm.load_target, build_schedule(flows, seed)))
        share_by_team = {
            team: round(
                goodput_tokens(part) / sum(r.arrival.max_tokens for r in part), 4
            )
            for team, part in grouped.items()
        }
        others = {team: part for team, part in grouped.items() if team != self.heavy}
        worst_team = min(others, key=lambda team: share_by_team[team])
        figures = {
            "worst_team": worst_team,
            "worst_goodput_share": share_by_team[worst_team],
            "worst": _summary_to_json(others[worst_team]),
            "others_p95_s": {
                team: _quantiles_to_json(summarize(part).first_token_s)["p95_s"]
                for team, part in others.items()
            },
            "goodput_share": share_by_team,
            "heavy_refused": count_refusals(grouped[self.heavy]),
        }
        return [Row("M3", f"{self.heavy} sends 10 times", arm.name, figures)]


@attrs.frozen(kw_only=True)
class ZoneOutage(Measure):
    """M5: a zone closes, its servers are killed, restart cold, and it opens again."""

    team: str
    zone: str
    models: tuple[str, ...]
    per_s: float = 25.0
    close_at_s: float = 6.0
    kill_at_s: float = 11.0
    restart_at_s: float = 18.0
    open_at_s: float = 20.0
    seconds: float = 36.0

    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Send a steady load while the zone changes."""
        kind = RequestKind(
            team=self.team,
            targets=self.models,
            instances=tuple(range(arm.plan.instances)),
            max_tokens=16,
            deadline_ms=5_000,
        )
        flow = SteadyFlow(kind=kind, per_s=self.per_s, duration_s=self.seconds)
        steps = (
            (self.close_at_s, arm.close_zone),
            (self.kill_at_s, arm.kill_engines),
            (self.restart_at_s, arm.restart_engines),
            (self.open_at_s, arm.open_zone),
        )
        changes = [
            gevent.spawn_later(at_s, change_zone, self.zone)
            for at_s, change_zone in steps
        ]
        results = run_load(arm.load_target, build_schedule([flow], seed))
        gevent.joinall(changes, raise_error=True)
        errors = Counter(int(r.arrival.at_s) for r in results if not r.is_ok)
        figures = _summary_to_json(results) | {
            "answered_share": round(summarize(results).ok_share, 4),
            "errors_per_s": round(sum(errors.values()) / self.seconds, 3),
            "errors_by_second": dict(sorted(errors.items())),
        }
        return [Row("M5", f"zone {self.zone}", arm.name, figures)]


@attrs.frozen(kw_only=True)
class IdleReplicas(Measure):
    """M2: replica-seconds that are loaded while no request of the model runs."""

    team: str
    busy_models: tuple[str, ...]
    rare_models: tuple[str, ...]
    seconds: float = 45.0

    def run(self, arm: Arm, seed: int) -> list[Row]:
        """Send sparse requests and sample the loaded replicas of the servers."""
        all_instances = tuple(range(arm.plan.instances))
        busy = RequestKind(
            team=self.team, targets=self.busy_models, instances=all_instances
        )
        rare = RequestKind(
            team=self.team, targets=self.rare_models, instances=all_instances
        )
        flows = [
            SteadyFlow(kind=busy, per_s=4.0, duration_s=self.seconds),
            SteadyFlow(kind=rare, per_s=0.3, duration_s=self.seconds),
        ]
        samples: list[tuple[float, list[str]]] = []
        started_at = time.monotonic()
        sampler = gevent.spawn(_sample_loaded_models, arm, started_at, samples)
        results = run_load(arm.load_target, build_schedule(flows, seed))
        sampler.kill()
        distribution = quantiles([r.first_token_s for r in results if r.first_token_s])
        loaded_s = sum(len(models) for _, models in samples) * SAMPLE_S
        figures = {
            "sent": len(results),
            "replica_s": round(loaded_s, 1),
            "idle_replica_s": round(idle_seconds(samples, results), 1),
            **_quantiles_to_json(distribution),
            "refused": count_refusals(results),
        }
        return [Row("M2", "sparse requests", arm.name, figures)]


def _sample_loaded_models(
    arm: Arm, started_at: float, samples: list[tuple[float, list[str]]]
) -> None:
    due_at = started_at
    while True:
        try:
            models = [
                replica["model"]
                for report in arm.reports()
                for replica in report["replicas"]
                if replica["state"] == "loaded"
            ]
            samples.append((time.monotonic() - started_at, models))
        except (OSError, ProcessError):
            pass
        due_at += SAMPLE_S
        gevent.sleep(max(0.0, due_at - time.monotonic()))


def idle_seconds(
    samples: Sequence[tuple[float, list[str]]], results: Sequence[RequestResult]
) -> float:
    """Return the sampled replica-seconds without an in-flight request of the model."""
    idle = 0.0
    for at_s, models in samples:
        running = {
            r.arrival.target
            for r in results
            if r.arrival.at_s <= at_s <= r.arrival.at_s + r.total_s
        }
        idle += SAMPLE_S * sum(model not in running for model in models)
    return idle


def warm_up(arm: Arm) -> None:
    """Make the engines warm, as they are at a site that has run for a while."""
    for process in arm.site.engine_by_id.values():
        call_json(process.port, "POST", "/admin/faults", {"warm": True})
