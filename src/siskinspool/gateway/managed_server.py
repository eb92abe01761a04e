"""A model server as the leader sees it: what it holds and what it was told to do.

Orders carry the number of orders that the server must have accepted before, so an
order that got no answer and its successor cannot both be carried out. The state is
taken from a report only if that counts at least as many orders as were accepted; an
older one is from before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from ..core.status import Status
from .demand import target_name
from .desired_state import EngineSpec, ModelSpec
from .messages import OrderKind, ServerOrder
from .placement_plan import PlacementPlan
from .server_times import (
    ADAPTER_LOAD_S,
    ENTRY_LAG_S,
    MIN_RESIDENCE_S,
    POLL_INTERVAL_S,
    POLL_LATE_RATIO,
    REPORT_LAG_S,
    SETTLE_S,
    SILENCE_S,
    SWAP_S,
    UNLOAD_S,
    USED_UNLOAD_S,
)
from .server_work import Arrival, RunningOrder, TargetUses, WeightSource
from .servers import HeldModel, Holdings, ServerRecord, ServerState


@attrs.define(kw_only=True)
class ManagedServer:
    """One model server; times are seconds on the instance's clock."""

    record: ServerRecord
    holdings: Holdings
    # What was read is no longer certain: read the report before the next order.
    needs_report: bool = True
    # An order without its answer yet.
    pending_order: ServerOrder | None = None
    is_reading_report: bool = False
    # When an order or report last changed the holdings.
    changed_at: float = 0.0
    # Nothing is sent before this time.
    wait_until: float = 0.0
    # The server did not answer; it counts for nothing until this time.
    silent_until: float = 0.0
    read_at: float = float("-inf")
    # The server carries out an order until about then; when it was first known to.
    busy_until: float | None = None
    busy_since: float = 0.0
    # The last accepted order on a model, until it is known to be done.
    running_order: RunningOrder | None = None
    # Model that is being loaded by an accepted order.
    loading_model: str | None = None
    # Model that an accepted order unloads. Reports name it until its runs have ended,
    # but the server takes no more requests for it.
    unloading_model: str | None = None
    # When each model that was loaded by an order became ready.
    ready_at_by_model: dict[str, float] = attrs.field(factory=dict)
    # Adapters on their way by accepted orders, by (model, adapter).
    load_by_adapter: dict[tuple[str, str], Arrival] = attrs.field(factory=dict)
    plans: deque[PlacementPlan] = attrs.field(factory=deque)
    uses: TargetUses = attrs.field(factory=TargetUses)

    def record_runs(self, remaining_by_target: Mapping[str, float], now: float) -> None:
        """Record models and adapters that requests use or are about to use here.

        Each comes with the seconds until the last known request ends.
        """
        self.uses.record(remaining_by_target, now)

    def is_used(self, model: str, adapter: str, now: float) -> bool:
        """Return whether requests use an adapter, or a model in any way.

        The unload of what is used waits for these requests, and the server carries out
        no other order meanwhile.
        """
        if adapter:
            return self.uses.is_target_used(target_name(model, adapter), now)
        return self.uses.is_model_used(model, now)

    def unload_s(self, model: str, now: float) -> float:
        """Return how long an unload is expected to take, with the runs of a model."""
        least_s = USED_UNLOAD_S if self.is_used(model, "", now) else UNLOAD_S
        return max(self.uses.ends_at(model, now) - now, least_s)

    @property
    def is_idle(self) -> bool:
        """Return whether the server could take an order now."""
        return self.busy_until is None and self.pending_order is None

    @property
    def has_unknown_order(self) -> bool:
        """Return whether the server carries out an order of an earlier leader."""
        known = self.loading_model is not None or self.unloading_model is not None
        return self.busy_until is not None and not known

    @property
    def ordered_store_load(self) -> str:
        """Return the model whose load from the store was ordered without an answer."""
        order = self.pending_order
        if order is None or order.kind is not OrderKind.LOAD or order.adapter:
            return ""
        return order.model if self.needs_store(order.model) else ""

    def is_usable(self, now: float) -> bool:
        """Return whether the server is worth an order."""
        return self.record.state is ServerState.READY and now >= self.silent_until

    def mark_silent(self, now: float) -> None:
        """Set the server aside because it does not answer."""
        self.silent_until = now + SILENCE_S
        self.plans.clear()
        self.needs_report = True

    def holds_model(self, model: str) -> bool:
        """Return whether a model is loaded, and neither loading nor unloading."""
        return model in self.holdings.model_by_name and model not in (
            self.loading_model,
            self.unloading_model,
        )

    def holds_adapter(self, model: str, adapter: str) -> bool:
        """Return whether an adapter is loaded or on its way."""
        held = self.holdings.model_by_name.get(model)
        return held is not None and adapter in held.adapters

    def copies(self) -> frozenset[str]:
        """Return the models whose weights are here, loaded or not."""
        holdings = self.holdings
        return holdings.in_memory | holdings.on_disk | holdings.model_by_name.keys()

    def planned_models(self) -> set[str]:
        """Return the models that the server holds, loads or shall load."""
        goals = {goal.model for goal in self.plans if not goal.adapter}
        return goals | self.holdings.model_by_name.keys()

    def is_evicting(self, model: str) -> bool:
        """Return whether the server unloads a model or is about to."""
        return model == self.unloading_model or any(
            model in goal.eviction_candidates for goal in self.plans
        )

    def plans_before(self, goal: PlacementPlan) -> list[PlacementPlan]:
        """Return the goals that the server reaches before one of them."""
        found = list(self.plans)
        index = next(i for i, other in enumerate(found) if other is goal)
        return found[:index]

    def status(self) -> Status:
        """Return what operators may see."""
        return {
            "orders": self.order_count,
            "models": sorted(self.holdings.model_by_name),
            "goals": [f"{goal.model}/{goal.adapter}" for goal in self.plans],
        }

    def has_target(self, goal: PlacementPlan) -> bool:
        """Return whether a goal holds already."""
        if goal.adapter:
            return self.holds_adapter(goal.model, goal.adapter)
        return self.holds_model(goal.model)

    def adapter_count(self) -> int:
        """Return the adapters that fill slots, those on their way included."""
        held = {
            (model.name, adapter)
            for model in self.holdings.model_by_name.values()
            for adapter in model.adapters
        }
        return len(held | self.holdings.loading_adapters)

    def used_mb(self, engine: EngineSpec) -> float:
        """Return the memory that weights fill; an unknown model counts as all."""
        used = 0.0
        for held in self.holdings.model_by_name.values():
            spec = engine.model_by_name.get(held.name)
            if spec is None:
                return engine.weights_mb
            used += spec.weights_mb + len(held.adapters) * spec.adapter_mb
        return used

    def load_s(self, spec: ModelSpec) -> float:
        """Return how long the load of a model takes here."""
        match self.weight_source(spec.name):
            case WeightSource.MEMORY:
                return spec.memory_load_s
            case WeightSource.DISK:
                return spec.disk_load_s
        return spec.store_load_s

    def weight_source(self, model: str) -> WeightSource:
        """Return the copy of a model's weights that a load here uses."""
        if model in self.holdings.in_memory:
            return WeightSource.MEMORY
        if model in self.holdings.on_disk:
            return WeightSource.DISK
        return WeightSource.STORE

    def needs_store(self, model: str) -> bool:
        """Return whether a load draws on the weight store."""
        return self.weight_source(model) is WeightSource.STORE

    def waits_for_store(self, goal: PlacementPlan) -> bool:
        """Return whether one of its goals has to wait for the weight store."""
        return (
            not goal.adapter
            and not goal.is_started
            and goal.model != self.loading_model
            and self.needs_store(goal.model)
        )

    def find_or_restore_plan(self, model: str, now: float) -> PlacementPlan | None:
        """Return the goal for a model that the server loads or shall load.

        A load may go on when its goal has been dropped, or was another leader's.
        """
        goal = self.find_plan(model, "")
        if goal is None and self.loading_model == model:
            goal = PlacementPlan(model, "", {}, now, is_started=True)
            self.plans.appendleft(goal)
        return goal

    def find_plan(self, model: str, adapter: str) -> PlacementPlan | None:
        """Return the goal for a model or adapter, if there is one."""
        for goal in self.plans:
            if (goal.model, goal.adapter) == (model, adapter):
                return goal
        return None

    def wait_for_plan(self, until: float, now: float) -> None:
        """Look again when the first of the goals that wait may go on."""
        waits = self.wait_until > now
        self.wait_until = min(self.wait_until, until) if waits else until

    def is_recently_loaded(self, model: str, now: float) -> bool:
        """Return whether requests for a new model may still be on their way."""
        ready_at = self.ready_at_by_model.get(model)
        return ready_at is not None and now - ready_at < MIN_RESIDENCE_S

    def drop_stale_plans(self, now: float) -> list[PlacementPlan]:
        """Drop the goals that nobody waits for any more, and return them."""
        stale = [goal for goal in self.plans if goal.is_stale(now)]
        if stale:
            self.plans = deque(goal for goal in self.plans if not goal.is_stale(now))
        return stale

    def plan_duration_s(
        self, goal: PlacementPlan, engine: EngineSpec, now: float
    ) -> float:
        """Return how long the server is taken by a goal that is not yet begun."""
        spec = engine.model_by_name.get(goal.model)
        if goal.adapter or spec is None or self.loading_model == goal.model:
            return 0.0
        return self.load_s(spec) + SWAP_S + self.eviction_s(goal, now)

    def prioritize_quick_plans(self) -> None:
        """Put adapters before models, and what room was made for before the rest."""
        ordered = sorted(
            self.plans, key=lambda goal: (not goal.adapter, not goal.is_started)
        )
        self.plans = deque(ordered)

    def reset_plans(self) -> None:
        """Begin anew with a new time in office: read the report before any order."""
        self.holdings = attrs.evolve(self.holdings, order_count=None)
        self.needs_report = True
        self.pending_order = self.running_order = None
        # Another leader may have given orders in between.
        self.busy_until = self.loading_model = self.unloading_model = None
        self.is_reading_report = False
        self.plans.clear()

    def remaining_busy_s(self, engine: EngineSpec, now: float) -> float:
        """Return for how long the server is likely to carry out its present order.

        Nothing is known of an order of an earlier leader; it may be a load from the
        weight store. What takes longer than expected takes about as long again.
        """
        if self.busy_until is None:
            return 0.0
        if self.loading_model is None and self.unloading_model is None:
            loads_s = [spec.store_load_s for spec in engine.model_by_name.values()]
            until = self.busy_since + max(loads_s, default=0.0)
        else:
            until = self.busy_until
            if self.running_order is not None:
                order = self.running_order
                until = max(until, order.since + order.expected_s)
        return abs(until - now)

    def poll_interval_s(self, now: float) -> float:
        """Return when the report is read again."""
        late_s = 0.0 if self.busy_until is None else now - self.busy_until
        return max(POLL_INTERVAL_S, late_s * POLL_LATE_RATIO)

    def ready_in_s(self, model: str, engine: EngineSpec, now: float) -> float:
        """Return when the goal of a model is reached."""
        ready_in_s = self.remaining_busy_s(engine, now)
        for goal in self.plans:
            ready_in_s += self.plan_duration_s(goal, engine, now)
            if goal.model == model and not goal.adapter:
                break
        return ready_in_s

    def eviction_s(self, goal: PlacementPlan, now: float) -> float:
        """Return how long a goal's victims take to go."""
        held = (name for name in goal.eviction_candidates if self.holds_model(name))
        return sum(self.unload_s(name, now) for name in held)

    def update_record(self, record: ServerRecord, now: float) -> None:
        """Take in a registry entry.

        An entry says which models the server holds, but not after how many orders, so
        it only shows that the report has to be read again.
        """
        restarted = record.holdings.born_ms != self.record.holdings.born_ms
        self.record = record
        if restarted:
            self.holdings = record.holdings
            self.busy_until = self.loading_model = self.unloading_model = None
            self.running_order = None
            self.load_by_adapter.clear()
            self.needs_report = True
            return
        quiet = self.pending_order is None and self.busy_until is None
        if quiet and now - self.changed_at > ENTRY_LAG_S:
            known = self.holdings.model_by_name.keys()
            self.needs_report |= known != record.holdings.model_by_name.keys()

    def update_report(self, holdings: Holdings, now: float) -> bool:
        """Take in a report; return False if it is older than what is known."""
        count, known = holdings.order_count, self.order_count
        if count is None:
            return False
        same_start = holdings.born_ms == self.holdings.born_ms
        if same_start and known is not None and count < known:
            return False
        if self.loading_model is not None and same_start:
            # A report does not name the model that loads, which takes memory already,
            # and may not name it yet as the load ends.
            models = dict(holdings.model_by_name)
            models.setdefault(self.loading_model, HeldModel(self.loading_model, 0))
            holdings = attrs.evolve(holdings, model_by_name=models)
        self.holdings = holdings
        self.changed_at = now
        self.needs_report = False
        if not holdings.busy:
            if self.has_unknown_order:
                # What an earlier leader ordered may show in the next report only.
                self.needs_report = True
                self.wait_until = now + REPORT_LAG_S
            if self.loading_model is not None and same_start:
                self.ready_at_by_model[self.loading_model] = now
            if not same_start:
                # A restart ends an order without carrying it out.
                self.running_order = None
            self.busy_until = self.loading_model = self.unloading_model = None
        elif self.busy_until is None:
            self.busy_until = self.busy_since = now
        return True

    @property
    def order_count(self) -> int | None:
        """Return the orders that the server has accepted, None if unknown."""
        return self.holdings.order_count

    def record_accepted(
        self, order: ServerOrder, spec: ModelSpec, load_s: float, now: float
    ) -> None:
        """Record an order that the server carries out.

        A load of a model is expected to take ``load_s``; it may be over sooner, so the
        report is read from its time at full speed on.
        """
        models = dict(self.holdings.model_by_name)
        if order.adapter:
            held = models[order.model]
            adapters = held.adapters - {order.adapter}
            if order.kind is OrderKind.LOAD:
                adapters |= {order.adapter}
                self._start_adapter_load(order, now)
            models[order.model] = attrs.evolve(held, adapters=adapters)
        elif order.kind is OrderKind.LOAD:
            self.busy_until = now + self.load_s(spec) + SETTLE_S
            self.loading_model = order.model
            self._start_order(order, load_s, now)
            models[order.model] = HeldModel(order.model, 0)
        else:
            # The server drops the model when its runs have ended, which may be sooner
            # than expected, so the report is read from the shortest time on.
            self.busy_until = now + UNLOAD_S
            self.unloading_model = order.model
            self._start_order(order, self.unload_s(order.model, now), now)
            models.pop(order.model, None)
        self.holdings = attrs.evolve(
            self.holdings, order_count=order.expected_count + 1, model_by_name=models
        )
        self.changed_at = now

    def resume_load(self, model: str, remaining_s: float, now: float) -> None:
        """Take over a load that an earlier leader ordered and the report hides."""
        self.loading_model = model
        self.running_order = RunningOrder(OrderKind.LOAD, model, now, remaining_s)
        models = dict(self.holdings.model_by_name)
        models.setdefault(model, HeldModel(model, 0))
        self.holdings = attrs.evolve(self.holdings, model_by_name=models)

    def attention_at(self) -> float:
        """Return when an adapter arrives or the next step is due."""
        if not self.plans and not self.load_by_adapter:
            return float("inf")
        due = min(
            (arrival.ready_at for arrival in self.load_by_adapter.values()),
            default=float("inf"),
        )
        if self.plans and self.pending_order is None and not self.is_reading_report:
            steps = [self.wait_until, self.silent_until]
            if self.busy_until is not None:
                steps.append(self.busy_until)
            due = min(due, max(steps))
        return due

    def _start_order(self, order: ServerOrder, expected_s: float, now: float) -> None:
        self.running_order = RunningOrder(order.kind, order.model, now, expected_s)

    def update_expected_end(self, at: float) -> None:
        """Correct the time at which the order under way is expected to be done."""
        if order := self.running_order:
            self.running_order = attrs.evolve(order, expected_s=at - order.since)

    def pop_done_order(self) -> RunningOrder | None:
        """Return the last order once it is done, and forget it."""
        if self.busy_until is not None:
            return None
        done, self.running_order = self.running_order, None
        return done

    def record_adapter_unload(self, order: ServerOrder, now: float) -> None:
        """Record that requests use an adapter that is being unloaded.

        The server carries out nothing else until they have ended. A report read before
        its lag is over may miss adapters that have just been ordered.
        """
        self.busy_since = now
        self.busy_until = now + REPORT_LAG_S
        self.unloading_model = target_name(order.model, order.adapter)

    def mark_loaded_if_due(self, now: float) -> bool:
        """Take a load whose time is over for done; return False if it has to be read.

        Loads from disk and memory take the same time always, and a report would show
        them only after its lag. Loads from the store slow each other down.
        """
        if self.loading_model is None or self.needs_store(self.loading_model):
            return False
        self.ready_at_by_model[self.loading_model] = now
        self.busy_until = self.loading_model = None
        return True

    def _start_adapter_load(self, order: ServerOrder, now: float) -> None:
        goal = self.find_plan(order.model, order.adapter)
        askers = set() if goal is None else set(goal.waiting_by_gateway)
        if goal is not None:
            self.plans.remove(goal)
        arrival = Arrival(now + ADAPTER_LOAD_S, askers)
        self.load_by_adapter[(order.model, order.adapter)] = arrival

    def pop_loaded_adapters(self, now: float) -> list[tuple[tuple[str, str], Arrival]]:
        """Remove and return the adapters that have arrived."""
        arrived = [
            (pair, arrival)
            for pair, arrival in self.load_by_adapter.items()
            if arrival.ready_at <= now
        ]
        for pair, _ in arrived:
            del self.load_by_adapter[pair]
        return arrived

    def record_uncertain_order(self, now: float) -> None:
        """Record that an order was refused or may still be carried out."""
        self.needs_report = True
        self.wait_until = now + REPORT_LAG_S
