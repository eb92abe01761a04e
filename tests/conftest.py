"""Test configuration: hypothesis profiles and the list of known failing tests."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Programs started by tests must import this tree, however pytest was started.
os.environ["PYTHONPATH"] = str(ROOT / "src")

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    database=None,
)
settings.register_profile(
    "deep",
    deadline=None,
    max_examples=2_000,
    stateful_step_count=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_red_tests() -> list[str]:
    """Return the node ids of tests that KNOWN-RED.txt lists, one `test:` line each."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test:").strip() for line in lines if "test:" in line]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    known = set(known_red_tests())
    left_out = [item for item in items if item.nodeid in known]
    if left_out:
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_report_header() -> list[str]:
    return [f"known red, left out: {node_id}" for node_id in known_red_tests()]
