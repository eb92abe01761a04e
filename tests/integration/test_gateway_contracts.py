"""Gateways on deployments without some contract."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from siskinspool.platform.contracts import REQUIRED_CONTRACTS, Contract

from .builders_gateway_site import gateway_site


def leave_out(absent: Contract) -> Any:
    """Return a change of settings to those of a deployment without a contract."""
    names_by_contract = {
        Contract.PLACES: ("cold_overage", "cold_slack"),
        Contract.QUOTA: ("quota_window_s", "quota_overage", "quota_slack"),
        Contract.RETRY: ("retry_budget_ratio", "budget_extra_retries"),
        Contract.ENGINE: ("ceiling_window_s", "lease_ms", "require_fence"),
        Contract.DRAIN: ("grace_s", "drain_ms"),
        Contract.CONFIG: ("config_apply_ms",),
    }

    def edit(document: dict[str, Any]) -> None:
        document["contracts"].remove(absent)
        for name in names_by_contract[absent]:
            del document["bounds"][name]

    return edit


def test_gateways_start_without_each_contract(tmp_path: Path) -> None:
    """Guards against a deployment without some contract on which nothing starts."""
    optional = set(Contract) - REQUIRED_CONTRACTS - {Contract.LEADER}
    with gateway_site(tmp_path) as site:
        site.add_server("w-1", "writers", "m0")
        for absent in sorted(optional):
            site.add_gateway(f"no-{absent}", edit_settings=leave_out(absent))
        site.wait_ready("w-1")
