"""The cached values of weight-store slots follow requests, copies and the clock."""

from __future__ import annotations

import pytest

from siskinspool.gateway.store_slot_rank import RANK_TTL_S, RankCache, StoreSlotRank
from siskinspool.gateway.weight_store_queue import WeightStoreQueue

from .builders_gateway import desired_state, engine
from .builders_placement_harness import harness_with_full_store
from .test_gateway_leader_work import RARE_MODELS, large_harness


def test_rank_is_kept_until_something_changes() -> None:
    """Guards against a value that ignores new requesters or new copies."""
    cache = RankCache()
    rank = StoreSlotRank(1.0, 2.0, 3.0)
    cache.add("m0", 4, rank, has_copy=False, now=10.0)
    later = 10.0 + RANK_TTL_S / 2
    assert cache.find("m0", 4, has_copy=False, now=later) is rank
    assert cache.find("m0", 5, has_copy=False, now=later) is None
    assert cache.find("m0", 4, has_copy=True, now=later) is None
    assert cache.find("m0", 4, has_copy=False, now=10.0 + 2 * RANK_TTL_S) is None
    cache.forget("m0")
    assert cache.find("m0", 4, has_copy=False, now=later) is None


def test_new_requesters_count_at_once() -> None:
    """Guards against a slot that goes by requesters of a moment ago."""
    harness, _ = harness_with_full_store()
    harness.request("m5", reach_s=(30.0,))
    fleet = harness.decision._site.fleets(harness.now)[0]
    assert not fleet.store_queue.is_next("m6", harness.now)
    harness.request("m6", reach_s=(30.0,) * 6)
    rank = fleet.store_queue._rank("m6", 1, harness.now)
    assert rank.requesters >= 6.0


def test_ranks_are_computed_for_models_not_for_each_estimate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work in proportion to requests times waiting models."""
    harness = large_harness(30)
    spec = engine(
        *(f"m{number}" for number in range(40)),
        *RARE_MODELS,
        weights_mb=145_000.0,
        disk_mb=900_000.0,
    )
    harness.send(desired_state(engine_spec=spec))
    for model in RARE_MODELS:
        harness.request(model, reach_s=(30.0,))
    computed: list[str] = []
    expected_requesters = WeightStoreQueue.expected_requesters

    def count(queue: WeightStoreQueue, model: str, now: float) -> float:
        computed.append(model)
        return expected_requesters(queue, model, now)

    monkeypatch.setattr(WeightStoreQueue, "expected_requesters", count)
    for gateway in range(20):
        harness.request(RARE_MODELS[-1], gateway=f"g{gateway}")
    # Each of the 20 estimates compares ten models; the requested one has changed.
    assert len(computed) <= 20 * 4 + len(RARE_MODELS)
