"""Processor time of the decisions on contracts and of the codec, by size."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from ...contracts.patient_messages import PatientStarted
from ...contracts.quota_allocator import QuotaAllocator
from ...contracts.share_messages import SettleTokens, SpendGranted, SpendTokens
from ...contracts.team_limits import TeamLimits
from ...core.message import Address, Outgoing
from ...links.codec import MsgpackCodec
from . import decisions, samples
from .decisions import START_S, ImmediateKvStore, deliver
from .gauge import processor_us, step, tick
from .wire_bytes import share_report

FLEETS: Final = (9, 59, 205, 410)
Measure = Callable[[int], float]


def _limits_spend(teams: int) -> float:
    """Return the time to spend tokens and settle them while all teams are in use."""
    decision, owner = decisions.team_limits(teams), decisions.quota_allocator(teams, 59)
    now = _warm_limits(decision, owner, teams)

    def spend(number: int) -> None:
        message = SpendTokens(f"team-{number % teams:04d}", 10.0)
        batch = step(decision, samples.incoming(message), now)
        granted = next(o.message for o in batch if isinstance(o.message, SpendGranted))
        step(decision, samples.incoming(SettleTokens(granted.spend_id, 10.0)), now)

    return processor_us(spend)


def _warm_limits(decision: TeamLimits, owner: QuotaAllocator, teams: int) -> float:
    now = START_S + 5
    for number in range(teams):
        batch = deliver(decision, SpendTokens(f"team-{number:04d}", 1_000.0, 5.0), now)
        for _ in range(4):
            answers = [g for o in batch for g in deliver(owner, o.message, now)]
            batch = [r for o in answers for r in deliver(decision, o.message, now)]
            now += 0.001
            batch += decision.on_time(now)
    return now


def _limits_report(teams: int) -> float:
    """Return the time to build the reports of all teams that an instance uses."""
    decision, owner = decisions.team_limits(teams), decisions.quota_allocator(teams, 59)
    start = _warm_limits(decision, owner, teams)

    def reports(number: int) -> None:
        now = start + number * 0.25
        for team in range(teams):
            decision._state_by_team[f"team-{team:04d}"].used_at = now
        assert tick(decision, now)

    return processor_us(reports, repeats=5)


def _allocator_report(teams: int, holders: int) -> float:
    decision = decisions.quota_allocator(teams, 59)
    base = share_report()

    def report(number: int) -> None:
        team = f"team-{number % teams:04d}"
        holder = samples.instance_name((number // teams) % holders)
        message = attrs.evolve(
            base,
            team=team,
            request_no=number + 1,
            epoch=0,
            lease_no=0,
            closed_epoch=0,
            closed_lease_no=0,
            demand=5_000,
            wanted=0,
        )
        incoming = samples.incoming(message, holder, "limits")
        assert step(decision, incoming, START_S + 5)

    for number in range(teams * holders):
        report(number)
    return processor_us(lambda n: report(n + teams * holders))


def _claim_batch(size: int) -> float:
    decision, store = decisions.claims(100), ImmediateKvStore()
    return processor_us(
        lambda n: decisions.claim_batch(decision, store, size, START_S + n), repeats=10
    )


def _claim_kept(kept: int) -> float:
    decision, store = decisions.claims(kept), ImmediateKvStore()
    return processor_us(
        lambda n: decisions.claim_batch(decision, store, 1, START_S + n), repeats=10
    )


def _patient_step(waiting: int) -> float:
    decision = decisions.patient_queue(waiting)
    message = samples.incoming(PatientStarted("f" * 32, "token"))
    return processor_us(lambda n: step(decision, message, START_S + 1))


def _encode(replicas: int) -> float:
    codec, report = MsgpackCodec(), samples.report(1, replicas)
    sender = Address(samples.OWN, "reports")
    outgoing = Outgoing(Address(samples.instance_name(1), "routing"), report)
    return processor_us(lambda n: codec.encode(sender, outgoing))


def _decode(replicas: int) -> float:
    codec, report = MsgpackCodec(), samples.report(1, replicas)
    sender = Address(samples.OWN, "reports")
    outgoing = Outgoing(Address(samples.instance_name(1), "routing"), report)
    data = codec.encode(sender, outgoing)
    return processor_us(lambda n: codec.decode(data))


CONTRACT_MEASURES: dict[str, tuple[str, tuple[int, ...], Measure]] = {
    "TeamLimits.spend": ("teams in use", (5, 20, 80), _limits_spend),
    "TeamLimits.reports": ("teams in use", (5, 20, 80), _limits_report),
    "Mint.report_teams": ("teams", (5, 20, 80), lambda n: _allocator_report(n, 10)),
    "Mint.report": ("instances", FLEETS, lambda n: _allocator_report(5, n)),
    "Claims.batch": ("claims in the batch", (1, 16, 64), _claim_batch),
    "Claims.kept": ("kept claims", (100, 1_000, 4_000), _claim_kept),
    "PatientQueue.step": ("waiting requests", (0, 100, 400), _patient_step),
    "codec.encode_report": ("replicas", (0, 4, 16), _encode),
    "codec.decode_report": ("replicas", (0, 4, 16), _decode),
}
