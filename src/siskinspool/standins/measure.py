"""`make measure`: the measures M1 to M5 of the product and of the baseline.

Two sites of the same sizes run at the same time, one with the product and one with the
baseline; load is sent to one of them at a time. The sizes are those of the example
manifests, scaled; the first line of each part's output states the scale.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs
import click
import gevent

from .arms import Arm, BaselineArm, ProductArm, Scale, plan_from_example
from .measure_parts import (
    ColdStart,
    IdleReplicas,
    Measure,
    RateRefusals,
    Row,
    WorstTeamLatency,
    ZoneOutage,
    preload,
    warm_up,
)
from .site import SitePlan

# Capacity doubles every 5 s from a tenth; a ramp of 16 is over after 25 s.
RAMP_S: Final = 28.0
IDLE_UNLOAD_S: Final = 15.0


@attrs.define
class MeasurementSession:
    """The two arms of one deployment and the rows that were measured."""

    plan: SitePlan
    folder: Path
    seed: int
    limits: bool
    rows: list[Row] = attrs.field(factory=list)
    arms: tuple[Arm, ...] = ()
    started_at: float = 0.0

    def start(self) -> None:
        """Start both arms."""
        self.arms = (
            ProductArm(self.plan, self.folder / "product"),
            BaselineArm(
                self.plan,
                self.folder / "baseline",
                limits=self.limits,
                idle_unload_s=IDLE_UNLOAD_S if self.limits else 0.0,
            ),
        )
        gevent.joinall([gevent.spawn(arm.start) for arm in self.arms], raise_error=True)
        self.started_at = time.monotonic()

    def stop(self) -> None:
        """Stop both arms."""
        for arm in self.arms:
            arm.stop()

    def wait_until_warm(self) -> None:
        """Wait until all ramps have ended and make the engines warm."""
        gevent.sleep(max(0.0, self.started_at + RAMP_S - time.monotonic()))
        for arm in self.arms:
            warm_up(arm)

    def preload(self, models: tuple[str, ...], team: str) -> None:
        """Load models in both arms."""
        for arm in self.arms:
            preload(arm, models, team)

    def measure(self, measure: Measure, round_number: int = 0) -> None:
        """Run one round on both arms; the order of the arms alternates by round."""
        arms = self.arms if round_number % 2 == 0 else self.arms[::-1]
        for arm in arms:
            for row in measure.run(arm, self.seed + round_number):
                self.rows.append(row)
                click.echo(
                    f"{row.measure} [{row.case}] round {round_number} {row.arm}: "
                    f"{json.dumps(row.figures)}"
                )


def measure_lagos(session: MeasurementSession, quick: bool, selected: set[str]) -> None:
    """Run M4, M1 and M2 with the sizes of the Lagos deployment."""
    models = tuple(model.id for model in session.plan.models)
    rounds = 1 if quick else 2
    if "M1" in selected:
        session.measure(
            ColdStart(case="fresh site", team="tinhub-web", models=models[:4])
        )
    if not quick:
        session.wait_until_warm()
    if "M4" in selected:
        busy_models = models[4:6]
        session.preload(busy_models, "tinhub-web")
        teams = ("ibadan-guild", "kano-guild")
        for number in range(rounds):
            phases = 2 if quick else 4
            session.measure(
                RateRefusals(teams=teams, models=busy_models, phases=phases), number
            )
    if "M1" in selected and not quick:
        for number in range(rounds):
            part = models[6 + 8 * number : 14 + 8 * number]
            case = ColdStart(case="running site", team="tinhub-web", models=part)
            session.measure(case, number)
    if "M2" in selected and not quick:
        session.measure(
            IdleReplicas(
                team="tinhub-web", busy_models=models[4:6], rare_models=models[6:22]
            )
        )


def measure_andina(
    session: MeasurementSession, quick: bool, selected: set[str]
) -> None:
    """Run M3 and M5 with the sizes of the Andina deployment."""
    models = tuple(model.id for model in session.plan.models)[1:6]
    session.wait_until_warm()
    session.preload(models, "baul-bogota")
    for number in range(2):
        if "M3" in selected:
            session.measure(
                WorstTeamLatency(heavy="voluntarios", models=models), number
            )
    if "M5" in selected and not quick:
        zone = session.plan.zones[1]
        session.measure(ZoneOutage(team="baul-bogota", zone=zone, models=models))


def _build_session(
    title: str, example: Path, scale: Scale, folder: Path, seed: int, limits: bool
) -> MeasurementSession:
    plan = plan_from_example(example, scale)
    click.echo(
        f"{title}: {plan.instances} instances, {plan.servers} engines in "
        f"{len(plan.zones)} zones, {len(plan.models)} models in one pool; load times "
        f"/{scale.time_factor:g}, store {plan.store_rate:g} loads/s, team rates x"
        f"{scale.team_rate_factor:g}, capacity {scale.capacity}, "
        f"{scale.token_s * 1000:g} ms a token"
    )
    return MeasurementSession(plan, folder, seed, limits)


@click.command()
@click.option("--quick", is_flag=True, help="Run fewer cases, in about a minute.")
@click.option("--only", multiple=True, help="Measures to run, such as M4.")
@click.option("--seed", default=1)
@click.option(
    "--examples", default="examples", type=click.Path(exists=True, path_type=Path)
)
@click.option(
    "--output", type=click.Path(path_type=Path), help="JSON file of the rows."
)
def main(
    quick: bool, only: tuple[str, ...], seed: int, examples: Path, output: Path | None
) -> None:
    """Run the measures and print one line for each arm and round."""
    selected = set(only) or {"M1", "M2", "M3", "M4", "M5"}
    rows: list[Row] = []
    andina_scale = Scale(team_rate_factor=0.2, capacity=4, token_s=0.02)
    with tempfile.TemporaryDirectory(prefix="siskinspool-measure-") as name:
        folder = Path(name)
        parts = [
            ({"M1", "M2", "M4"}, "tinware-lagos", Scale(), True, measure_lagos),
            ({"M3", "M5"}, "baul-andina", andina_scale, False, measure_andina),
        ]
        if quick:
            parts = parts[:1]
        for measures, example, scale, limits, run in parts:
            if not measures & selected:
                continue
            path = examples / f"{example}.json"
            session = _build_session(
                example, path, scale, folder / example, seed, limits
            )
            try:
                session.start()
                run(session, quick, selected)
            finally:
                session.stop()
            rows += session.rows
    if output is not None:
        document = [attrs.asdict(row) for row in rows]
        output.write_text(json.dumps(document, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
