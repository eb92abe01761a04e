"""Decoding of the platform's settings, desired state and server entries."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.core.errors import SettingsError
from siskinspool.gateway.desired_state import (
    AutoscaleSpec,
    DesiredState,
    WeightedService,
)
from siskinspool.gateway.scheduling_settings import SchedulingSettings
from siskinspool.gateway.servers import Holdings, ServerRecord, ServerState
from siskinspool.platform.contracts import REQUIRED_CONTRACTS, Contract
from siskinspool.platform.desired_state import UnreadableValue, decode_desired_state
from siskinspool.platform.server_entries import decode_report, decode_server_entry
from siskinspool.platform.settings import decode_settings

from .builders_gateway import config_document, encode, entry_document, report_document

SETTINGS: dict[str, Any] = {
    "node": "front-a-1",
    "ip": "10.1.0.25",
    "zone": "a",
    "internal_ports": [7600, 7615],
    "bootstrap": True,
    "heartbeat_ms": 1200,
    "contracts": [str(contract) for contract in Contract],
    "listen": {"front": "10.1.0.25:8221", "ready": "10.1.0.25:8224"},
    "bounds": {
        "grace_s": 8,
        "drain_ms": 2000,
        "config_apply_ms": 2000,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_extra_retries": 58,
        "quota_window_s": 8,
        "quota_overage": 0.1,
        "quota_slack": 110000,
        "cold_overage": 1.5,
        "cold_slack": 5,
        "lease_ms": 3000,
        "require_fence": True,
        "ceiling_window_s": 5,
        "ceiling_overage": 1.1,
        "usage_window_s": 5,
        "usage_off": 0.05,
        "usage_late_s": 10,
    },
    "cloud": {
        "addr": "10.200.1.9:8230",
        "duties": ["usage", "scale"],
        "duties_per_s": 50,
    },
    "platform": {"addr": "10.200.1.7:8225", "ttl_min_ms": 1000},
    "a_field_of_tomorrow": [1, 2],
}


def test_settings_are_read_in_seconds() -> None:
    """Guards against confusing milliseconds with seconds."""
    settings = decode_settings(SETTINGS)
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.orders.lease_s == 3.0
    assert settings.front.port == 8221
    assert settings.metrics.port == 7615
    assert settings.first_start


def test_all_faults_of_the_settings_are_named_at_once() -> None:
    """Guards against settings whose faults show up one per start."""
    broken = SETTINGS | {"listen": {"front": "nowhere", "ready": "10.1.0.25:8224"}}
    del broken["node"]
    with pytest.raises(SettingsError) as raised:
        decode_settings(broken)
    assert "node" in str(raised.value)
    assert "listen.front" in str(raised.value)


OPTIONAL_CONTRACTS = sorted(set(Contract) - REQUIRED_CONTRACTS)
# The bounds that only the named contract sets.
BOUNDS_BY_CONTRACT = {
    Contract.DRAIN: ("grace_s", "drain_ms"),
    Contract.CONFIG: ("config_apply_ms",),
    Contract.RETRY: (
        "retry_budget_ratio",
        "budget_window_s",
        "budget_extra_retries",
    ),
    Contract.QUOTA: ("quota_window_s", "quota_overage", "quota_slack"),
    Contract.PLACES: ("cold_overage", "cold_slack"),
    Contract.ENGINE: ("ceiling_window_s", "ceiling_overage"),
    Contract.LEADER: ("usage_window_s", "usage_late_s"),
}


def settings_with(contracts: list[Contract], *dropped_bounds: str) -> dict[str, Any]:
    """Return settings with only these contracts and without some bounds."""
    bounds = {
        name: value
        for name, value in SETTINGS["bounds"].items()
        if name not in dropped_bounds
    }
    return SETTINGS | {"contracts": contracts, "bounds": bounds}


@given(st.sets(st.sampled_from(OPTIONAL_CONTRACTS)))
def test_each_combination_of_contracts_is_read(present: set[Contract]) -> None:
    """Guards against a start that fails for a field of an absent contract."""
    dropped = [
        name
        for contract, names in BOUNDS_BY_CONTRACT.items()
        if contract not in present
        for name in names
    ]
    if not present & {Contract.ENGINE, Contract.LEADER}:
        dropped += ["lease_ms", "require_fence"]
    contracts = [*present, *REQUIRED_CONTRACTS]
    settings = decode_settings(settings_with(contracts, *dropped))
    assert (settings.duties is None) == (Contract.LEADER not in present)
    bounds = settings.bounds
    assert (bounds.cold is None) == (Contract.PLACES not in present)
    assert (bounds.retry is None) == (Contract.RETRY not in present)
    assert (bounds.cap is None) == (Contract.QUOTA not in present)


@pytest.mark.parametrize("contract", list(BOUNDS_BY_CONTRACT))
def test_missing_fields_of_a_contract_in_force_are_named(contract: Contract) -> None:
    """Guards against defaults that hide a fault in a contract that is in force."""
    names = BOUNDS_BY_CONTRACT[contract]
    with pytest.raises(SettingsError) as raised:
        decode_settings(settings_with(list(Contract), *names))
    assert all(f"bounds.{name} is missing" in str(raised.value) for name in names)


def test_desired_state_is_decoded() -> None:
    """Guards against a wrong interpretation of routes, keys and caps."""
    state = decode_desired_state(encode(config_document()))
    assert isinstance(state, DesiredState)
    route = state.find_route("SITE.example", "/quote/a/b")
    assert route is not None
    assert route.services == (
        WeightedService("writers", 90),
        WeightedService("desk", 10),
    )
    assert route.timeout_s == 5.0
    assert route.is_idempotent
    assert state.team_name_by_key == {"k1": "smiths", "k2": "smiths"}
    engine = state.service_by_name["writers"].engine
    assert engine is not None
    assert engine.model_by_name["m0"].disk_load_s == 1.2
    assert state.service_by_name["writers"].autoscale is None
    assert "k1" not in repr(state)


def test_range_of_servers_is_decoded() -> None:
    """Guards against servers that are ordered out of the operator's range."""
    document = config_document()
    document["services"][0]["autoscale"] = {"min": 13, "max": 30, "boot_s": 8.0}
    state = decode_desired_state(encode(document))
    assert isinstance(state, DesiredState)
    spec = state.service_by_name["writers"].autoscale
    assert spec == AutoscaleSpec(min_servers=13, max_servers=30, boot_s=8.0)
    document["services"][0]["autoscale"]["min"] = -1
    assert isinstance(decode_desired_state(encode(document)), UnreadableValue)


def test_the_longest_prefix_wins() -> None:
    """Guards against a route that hides routes with a longer prefix."""
    short = config_document()["routes"][0]
    long = short | {"name": "r-long", "prefix": "/quote/long/"}
    state = decode_desired_state(encode(config_document(routes=[short, long])))
    assert isinstance(state, DesiredState)
    found = state.find_route("site.example", "/quote/long/x")
    assert found is not None
    assert found.name == "r-long"
    assert state.find_route("site.example", "/quot/") is None


def test_entry_does_not_state_the_order_count() -> None:
    """Guards against reading ``seq`` of an entry as the number of accepted orders.

    In an entry it counts the writes. The leader then took each report for an older one
    and gave no order (trial tinhub-ng quiet-1).
    """
    entry = decode_server_entry("servers/i-1", encode(entry_document(seq=41)))
    assert isinstance(entry, ServerRecord)
    assert entry.holdings.order_count is None
    assert entry.holdings.on_disk == {"m0", "m1"}
    report = decode_report(encode(report_document(seq=2)))
    assert isinstance(report, Holdings)
    assert report.order_count == 2
    assert report.loading_adapters == {("m0", "a3")}


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"addr": "10.0.0.9"},
        {"addr": 7},
        {"slots": "64"},
        {"slots": 0},
        {"models": "m0"},
        {"born": 1.5},
    ],
)
def test_entry_of_another_writer_is_unreadable(change: dict[str, Any]) -> None:
    """Guards against sending requests to the address of an entry of another program."""
    data = encode(entry_document(**change))
    assert isinstance(decode_server_entry("servers/i-1", data), UnreadableValue)


def test_draining_is_read() -> None:
    """Guards against sending requests to a draining server."""
    entry = decode_server_entry("servers/i-1", encode(entry_document(state="draining")))
    assert isinstance(entry, ServerRecord)
    assert entry.state is ServerState.DRAINING


@given(st.binary(max_size=200))
def test_fuzz_bytes_never_raise(data: bytes) -> None:
    """Guards against a value of another program that crashes the feed."""
    decode_desired_state(data)
    decode_server_entry("servers/x", data)
    decode_report(data)


_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.sampled_from(sorted(entry_document())), _json)
def test_fuzz_one_field_of_an_entry(name: str, value: object) -> None:
    """Guards against a single field of a wrong type that crashes the feed."""
    data = json.dumps(entry_document(**{name: value})).encode()
    found = decode_server_entry("servers/x", data)
    assert isinstance(found, ServerRecord | UnreadableValue)


def test_scheduling_features_are_on_where_no_contract_limits_started_servers() -> None:
    """Guards against new scheduling on a deployment that does not ask for it."""
    limited = decode_settings(SETTINGS)
    assert limited.scheduling == SchedulingSettings.all_set_to(False)
    contracts = list(set(Contract) - {Contract.PLACES})
    free = decode_settings(settings_with(contracts, "cold_overage", "cold_slack"))
    assert free.scheduling == SchedulingSettings.all_set_to(True)
    chosen = SETTINGS | {"scheduling": {"fair_queueing": True}}
    assert decode_settings(chosen).scheduling.fair_queueing
    with pytest.raises(SettingsError, match=r"scheduling\.pace"):
        decode_settings(SETTINGS | {"scheduling": {"pace": True}})


def test_settings_without_a_list_of_contracts_are_read_as_before() -> None:
    """Guards against settings that a gateway read until it knew the list."""
    older = {name: value for name, value in SETTINGS.items() if name != "contracts"}
    settings = decode_settings(older)
    assert settings.bounds.cold is not None and settings.duties is None
    assert settings.scheduling == SchedulingSettings.all_set_to(False)
