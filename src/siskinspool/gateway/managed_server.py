"""The leader's view of a server: what it holds and which orders it was given.

Each order carries the number of orders that the server must have accepted before it, so
an order without an answer and its successor cannot both be carried out. A report is
used only if it counts at least as many orders as are known to be accepted; a report
with fewer is outdated.
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
from .server_work import AdapterLoad, RunningOrder, TargetUses, WeightSource
from .servers import HeldModel, Holdings, ServerRecord, ServerState


@attrs.define(kw_only=True)
class ManagedServer:
    """The state of one model server; times are seconds on the instance's clock."""

    record: ServerRecord
    holdings: Holdings
    # The known state may be outdated; read the report before the next order.
    needs_report: bool = True
    # The order that has no answer yet.
    pending_order: ServerOrder | None = None
    is_reading_report: bool = False
    # When an order or report last changed the holdings.
    changed_at: float = 0.0
    # No order or read is sent before this time.
    wait_until: float = 0.0
    # The server did not answer and is not used until this time.
    silent_until: float = 0.0
    # The server has asked for no orders and reads until this time.
    blocked_until: float = 0.0
    read_at: float = float("-inf")
    # The server is expected to be busy with an order until `busy_until`, and has been
    # known to be since `busy_since`.
    busy_until: float | None = None
    busy_since: float = 0.0
    # The last accepted order on a model, until it is known to be done.
    running_order: RunningOrder | None = None
    # Model that an accepted order loads.
    loading_model: str | None = None
    # Model that an accepted order unloads. Reports list it until its requests have
    # ended, but the server accepts no more requests for it.
    unloading_model: str | None = None
    # When each model that was loaded by an order became ready.
    ready_at_by_model: dict[str, float] = attrs.field(factory=dict)
    # Adapters being loaded by accepted orders, by (model, adapter).
    load_by_adapter: dict[tuple[str, str], AdapterLoad] = attrs.field(factory=dict)
    plans: deque[PlacementPlan] = attrs.field(factory=deque)
    uses: TargetUses = attrs.field(factory=TargetUses)

    def record_runs(self, remaining_by_target: Mapping[str, float], now: float) -> None:
        """Record the models and adapters that requests use or are about to use here.

        Each comes with the seconds until the last known request ends.
        """
        self.uses.record(remaining_by_target, now)

    def is_used(self, model: str, adapter: str, now: float) -> bool:
        """Return whether requests use an adapter, or a model with any adapter.

        The unload of a model or adapter in use waits for these requests, and the server
        carries out no other order meanwhile.
        """
        if adapter:
            return self.uses.is_target_used(target_name(model, adapter), now)
        return self.uses.is_model_used(model, now)

    def unload_s(self, model: str, now: float) -> float:
        """Return the expected duration of an unload, with the model's requests."""
        min_s = USED_UNLOAD_S if self.is_used(model, "", now) else UNLOAD_S
        return max(self.uses.ends_at(model, now) - now, min_s)

    @property
    def is_idle(self) -> bool:
        """Return whether the server can accept an order now."""
        return self.busy_until is None and self.pending_order is None

    @property
    def has_unknown_order(self) -> bool:
        """Return whether the server carries out an order of an earlier leader."""
        known = self.loading_model is not None or self.unloading_model is not None
        return self.busy_until is not None and not known

    @property
    def ordered_store_load(self) -> str:
        """Return the model of an unanswered order to load from the weight store."""
        order = self.pending_order
        if order is None or order.kind is not OrderKind.LOAD or order.adapter:
            return ""
        return order.model if self.needs_store(order.model) else ""

    def is_usable(self, now: float) -> bool:
        """Return whether the server is ready, and neither silent nor blocked."""
        return self.record.state is ServerState.READY and self.is_available(now)

    def is_available(self, now: float) -> bool:
        """Return whether orders and reads may be sent: neither silent nor blocked."""
        return now >= self.silent_until and now >= self.blocked_until

    @property
    def unavailable_until(self) -> float:
        """When the next order or read may be sent."""
        return max(self.silent_until, self.blocked_until)

    def mark_silent(self, now: float) -> None:
        """Exclude the server for a while, as it does not answer, and drop its plans."""
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
        """Return whether an adapter is loaded or being loaded."""
        held_model = self.holdings.model_by_name.get(model)
        return held_model is not None and adapter in held_model.adapters

    def copies(self) -> frozenset[str]:
        """Return the models with a weight copy here, loaded or not."""
        return self.holdings.copies

    def planned_models(self) -> set[str]:
        """Return the models that are loaded, loading or planned to be loaded here."""
        planned = {plan.model for plan in self.plans if not plan.adapter}
        return planned | self.holdings.model_by_name.keys()

    def is_evicting(self, model: str) -> bool:
        """Return whether a model is being unloaded or is to be evicted by a plan."""
        return model == self.unloading_model or any(
            model in plan.eviction_candidates for plan in self.plans
        )

    def plans_before(self, plan: PlacementPlan) -> list[PlacementPlan]:
        """Return the plans that are queued before a plan."""
        plans = list(self.plans)
        index = next(i for i, other in enumerate(plans) if other is plan)
        return plans[:index]

    def status(self) -> Status:
        """Return the status for operators."""
        return {
            "orders": self.order_count,
            "models": sorted(self.holdings.model_by_name),
            "goals": [f"{plan.model}/{plan.adapter}" for plan in self.plans],
        }

    def has_target(self, plan: PlacementPlan) -> bool:
        """Return whether the target of a plan is already loaded."""
        if plan.adapter:
            return self.holds_adapter(plan.model, plan.adapter)
        return self.holds_model(plan.model)

    def adapter_count(self) -> int:
        """Return the number of adapter slots in use, including adapter loads."""
        held_adapters = {
            (model.name, adapter)
            for model in self.holdings.model_by_name.values()
            for adapter in model.adapters
        }
        return len(held_adapters | self.holdings.loading_adapters)

    def used_mb(self, engine: EngineSpec) -> float:
        """Return the weight memory in use; an unknown model counts as all of it."""
        used = 0.0
        for held_model in self.holdings.model_by_name.values():
            spec = engine.model_by_name.get(held_model.name)
            if spec is None:
                return engine.weights_mb
            used += spec.weights_mb + len(held_model.adapters) * spec.adapter_mb
        return used

    def load_s(self, spec: ModelSpec) -> float:
        """Return the expected duration of a load of a model here."""
        match self.weight_source(spec.name):
            case WeightSource.MEMORY:
                return spec.memory_load_s
            case WeightSource.DISK:
                return spec.disk_load_s
        return spec.store_load_s

    def weight_source(self, model: str) -> WeightSource:
        """Return the source of the weights that a load here uses."""
        if model in self.holdings.in_memory:
            return WeightSource.MEMORY
        if model in self.holdings.on_disk:
            return WeightSource.DISK
        return WeightSource.STORE

    def needs_store(self, model: str) -> bool:
        """Return whether a load of a model needs the weight store."""
        return self.weight_source(model) is WeightSource.STORE

    def waits_for_store(self, plan: PlacementPlan) -> bool:
        """Return whether a plan of this server has to wait for the weight store."""
        return (
            not plan.adapter
            and not plan.is_started
            and plan.model != self.loading_model
            and self.needs_store(plan.model)
        )

    def find_or_restore_plan(self, model: str, now: float) -> PlacementPlan | None:
        """Return the plan for a model, restoring it if the model is already loading.

        A load may continue after its plan was dropped, or may be an earlier leader's.
        """
        plan = self.find_plan(model, "")
        if plan is None and self.loading_model == model:
            plan = PlacementPlan(model, "", {}, now, is_started=True)
            self.plans.appendleft(plan)
        return plan

    def find_plan(self, model: str, adapter: str) -> PlacementPlan | None:
        """Return the plan for a model or adapter, if there is one."""
        for plan in self.plans:
            if (plan.model, plan.adapter) == (model, adapter):
                return plan
        return None

    def wait_for_plan(self, until: float, now: float) -> None:
        """Delay the next step until the first of the waiting plans may continue."""
        is_waiting = self.wait_until > now
        self.wait_until = min(self.wait_until, until) if is_waiting else until

    def is_recently_loaded(self, model: str, now: float) -> bool:
        """Return whether requests for a recently loaded model may still arrive."""
        ready_at = self.ready_at_by_model.get(model)
        return ready_at is not None and now - ready_at < MIN_RESIDENCE_S

    def drop_stale_plans(self, now: float) -> list[PlacementPlan]:
        """Drop the plans that no request waits for any more, and return them."""
        stale = [plan for plan in self.plans if plan.is_stale(now)]
        if stale:
            self.plans = deque(plan for plan in self.plans if not plan.is_stale(now))
        return stale

    def plan_duration_s(
        self, plan: PlacementPlan, engine: EngineSpec, now: float
    ) -> float:
        """Return how long the server is occupied by a plan that has not started."""
        spec = engine.model_by_name.get(plan.model)
        if plan.adapter or spec is None or self.loading_model == plan.model:
            return 0.0
        return self.load_s(spec) + SWAP_S + self.eviction_s(plan, now)

    def prioritize_quick_plans(self) -> None:
        """Order the plans: adapters before models, and started plans before others."""
        ordered = sorted(
            self.plans, key=lambda plan: (not plan.adapter, not plan.is_started)
        )
        self.plans = deque(ordered)

    def reset_plans(self) -> None:
        """Reset for a new leadership term: the report is read before any order."""
        self.holdings = attrs.evolve(self.holdings, order_count=None)
        self.needs_report = True
        self.pending_order = self.running_order = None
        # Another leader may have given orders in between.
        self.busy_until = self.loading_model = self.unloading_model = None
        self.is_reading_report = False
        self.plans.clear()

    def remaining_busy_s(self, engine: EngineSpec, now: float) -> float:
        """Return the expected remaining duration of the current order.

        An order of an earlier leader is unknown and may be a load from the weight
        store. An order that is late is expected to take about as long again as it is
        late.
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
        """Return the delay until the next read of the report."""
        late_s = 0.0 if self.busy_until is None else now - self.busy_until
        return max(POLL_INTERVAL_S, late_s * POLL_LATE_RATIO)

    def ready_in_s(self, model: str, engine: EngineSpec, now: float) -> float:
        """Return the delay until a planned model is loaded."""
        ready_in_s = self.remaining_busy_s(engine, now)
        for plan in self.plans:
            ready_in_s += self.plan_duration_s(plan, engine, now)
            if plan.model == model and not plan.adapter:
                break
        return ready_in_s

    def eviction_s(self, plan: PlacementPlan, now: float) -> float:
        """Return how long the evictions of a plan take."""
        held = (name for name in plan.eviction_candidates if self.holds_model(name))
        return sum(self.unload_s(name, now) for name in held)

    def update_record(self, record: ServerRecord, now: float) -> None:
        """Update the server from its registry entry.

        An entry lists the loaded models but has no order count, so a difference only
        shows that the report has to be read again.
        """
        restarted = record.holdings.born_ms != self.record.holdings.born_ms
        if record.start != self.record.start:
            self.blocked_until = 0.0
        self.record = record
        if restarted:
            self.holdings = record.holdings
            self.busy_until = self.loading_model = self.unloading_model = None
            self.running_order = None
            self.load_by_adapter.clear()
            self.needs_report = True
            return
        is_quiet = self.pending_order is None and self.busy_until is None
        if is_quiet and now - self.changed_at > ENTRY_LAG_S:
            known = self.holdings.model_by_name.keys()
            self.needs_report |= known != record.holdings.model_by_name.keys()

    def update_report(self, holdings: Holdings, now: float) -> bool:
        """Update the server from a report; return False if the report is outdated."""
        count, known = holdings.order_count, self.order_count
        if count is None:
            return False
        same_start = holdings.born_ms == self.holdings.born_ms
        if same_start and known is not None and count < known:
            return False
        if self.loading_model is not None and same_start:
            # A report does not list the model that is loading, which takes up memory
            # already, and may not list it for a moment after the load has ended.
            models = dict(holdings.model_by_name)
            models.setdefault(self.loading_model, HeldModel(self.loading_model, 0))
            holdings = attrs.evolve(holdings, model_by_name=models)
        self.holdings = holdings
        self.changed_at = now
        self.needs_report = False
        if not holdings.busy:
            if self.has_unknown_order:
                # The effect of an earlier leader's order may show in the next report
                # only.
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
        """Return the number of orders that the server has accepted, None if unknown."""
        return self.holdings.order_count

    def record_accepted(
        self, order: ServerOrder, spec: ModelSpec, load_s: float, now: float
    ) -> None:
        """Record an order that the server carries out.

        A model load is expected to take ``load_s``, but may be done sooner. The report
        is therefore polled from the duration at full speed on.
        """
        models = dict(self.holdings.model_by_name)
        if order.adapter:
            held_model = models[order.model]
            adapters = held_model.adapters - {order.adapter}
            if order.kind is OrderKind.LOAD:
                adapters |= {order.adapter}
                self._start_adapter_load(order, now)
            models[order.model] = attrs.evolve(held_model, adapters=adapters)
        elif order.kind is OrderKind.LOAD:
            self.busy_until = now + self.load_s(spec) + SETTLE_S
            self.loading_model = order.model
            self._start_order(order, load_s, now)
            models[order.model] = HeldModel(order.model, 0)
        else:
            # The server drops the model when its requests have ended, possibly sooner
            # than expected, so the report is polled from the shortest duration on.
            self.busy_until = now + UNLOAD_S
            self.unloading_model = order.model
            self._start_order(order, self.unload_s(order.model, now), now)
            models.pop(order.model, None)
        self.holdings = attrs.evolve(
            self.holdings, order_count=order.expected_count + 1, model_by_name=models
        )
        self.changed_at = now

    def resume_load(self, model: str, remaining_s: float, now: float) -> None:
        """Record an earlier leader's load, which reports do not show."""
        self.loading_model = model
        self.running_order = RunningOrder(OrderKind.LOAD, model, now, remaining_s)
        models = dict(self.holdings.model_by_name)
        models.setdefault(model, HeldModel(model, 0))
        self.holdings = attrs.evolve(self.holdings, model_by_name=models)

    def attention_at(self) -> float:
        """Return when an adapter load ends or the next step is due."""
        if not self.plans and not self.load_by_adapter:
            return float("inf")
        due = min(
            (adapter_load.ready_at for adapter_load in self.load_by_adapter.values()),
            default=float("inf"),
        )
        if self.plans and self.pending_order is None and not self.is_reading_report:
            steps = [self.wait_until, self.unavailable_until]
            if self.busy_until is not None:
                steps.append(self.busy_until)
            due = min(due, max(steps))
        return due

    def _start_order(self, order: ServerOrder, expected_s: float, now: float) -> None:
        self.running_order = RunningOrder(order.kind, order.model, now, expected_s)

    def update_expected_end(self, at: float) -> None:
        """Correct the expected end of the running order."""
        if order := self.running_order:
            self.running_order = attrs.evolve(order, expected_s=at - order.since)

    def pop_done_order(self) -> RunningOrder | None:
        """Return the last order once it is done, and clear it."""
        if self.busy_until is not None:
            return None
        done, self.running_order = self.running_order, None
        return done

    def record_adapter_unload(self, order: ServerOrder, now: float) -> None:
        """Record the unload of an adapter that requests use.

        The server carries out nothing else until these requests have ended. A report
        that is read before its lag is over may lack adapters that were ordered last.
        """
        self.busy_since = now
        self.busy_until = now + REPORT_LAG_S
        self.unloading_model = target_name(order.model, order.adapter)

    def mark_loaded_if_due(self, now: float) -> bool:
        """Mark a load as done if its duration is known; return False if it is not.

        Loads from disk and memory always take the same time, and a report would show
        their end late. Loads from the weight store slow each other down, so their end
        has to be read from a report.
        """
        if self.loading_model is None or self.needs_store(self.loading_model):
            return False
        self.ready_at_by_model[self.loading_model] = now
        self.busy_until = self.loading_model = None
        return True

    def _start_adapter_load(self, order: ServerOrder, now: float) -> None:
        plan = self.find_plan(order.model, order.adapter)
        gateways = set() if plan is None else set(plan.waiting_by_gateway)
        if plan is not None:
            self.plans.remove(plan)
        adapter_load = AdapterLoad(now + ADAPTER_LOAD_S, gateways)
        self.load_by_adapter[(order.model, order.adapter)] = adapter_load

    def pop_loaded_adapters(
        self, now: float
    ) -> list[tuple[tuple[str, str], AdapterLoad]]:
        """Remove and return the adapters whose loads have ended."""
        finished = [
            (pair, adapter_load)
            for pair, adapter_load in self.load_by_adapter.items()
            if adapter_load.ready_at <= now
        ]
        for pair, _ in finished:
            del self.load_by_adapter[pair]
        return finished

    def record_uncertain_order(self, now: float) -> None:
        """Record that an order was refused or has an unknown outcome."""
        self.needs_report = True
        self.wait_until = now + REPORT_LAG_S
