"""Tests of the retry budget."""

from __future__ import annotations

from siskinspool.contracts.retry_budget import RETRY_FLOOR, RetryBudget


def count_allowed(budget: RetryBudget, now: float, route: str = "r") -> int:
    """Return how many of 1,000 retries are allowed."""
    return sum(budget.try_retry(route, now) for _ in range(1000))


def test_retries_are_a_tenth_of_requests() -> None:
    """Guards against retries that multiply the load on a failing pool."""
    budget = RetryBudget()
    for number in range(500):
        budget.count_request("r", number * 0.01)
    assert count_allowed(budget, 5.0) == 50
    assert count_allowed(budget, 9.0) == 0


def test_quiet_route_keeps_a_floor() -> None:
    """Guards against a quiet route without retries, or a floor that refills early."""
    budget = RetryBudget()
    assert count_allowed(budget, 0.0) == RETRY_FLOOR
    assert count_allowed(budget, 9.9) == 0
    assert count_allowed(budget, 11.0) == RETRY_FLOOR


def test_routes_have_budgets_of_their_own() -> None:
    """Guards against a failing route that uses up the retries of another."""
    budget = RetryBudget()
    count_allowed(budget, 0.0, "x")
    assert count_allowed(budget, 0.0, "y") == RETRY_FLOOR
