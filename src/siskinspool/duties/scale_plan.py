"""Spreads a number of servers over the zones."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..gateway.desired_state import AutoscaleSpec


@attrs.frozen(kw_only=True)
class ZoneState:
    """A zone of one service."""

    # Servers ordered there.
    ordered: int
    # Requests that run there.
    running: int
    # Neither lost nor evacuated.
    is_usable: bool


def plan_zones(
    spec: AutoscaleSpec, state_by_zone: Mapping[str, ZoneState], total: int
) -> dict[str, int]:
    """Return the number of servers of each zone, ``total`` in all usable zones.

    The numbers stay in the range of ``spec``, so the sum may differ. A zone that is
    lost or evacuated gets the least that the range allows. Servers are added where
    there are fewest and removed where each runs least.
    """
    low, high = spec.min_servers, spec.max_servers
    usable = sorted(name for name, state in state_by_zone.items() if state.is_usable)
    planned = {
        name: min(max(state_by_zone[name].ordered, low), high) for name in usable
    }
    while sum(planned.values()) < total:
        growing = [name for name in usable if planned[name] < high]
        if not growing:
            break
        planned[min(growing, key=lambda name: (planned[name], name))] += 1
    while sum(planned.values()) > total:
        shrinking = [name for name in usable if planned[name] > low]
        if not shrinking:
            break
        planned[_least_loss(shrinking, planned, state_by_zone)] -= 1
    return dict.fromkeys(state_by_zone, low) | planned


def _least_loss(
    names: list[str], planned: Mapping[str, int], states: Mapping[str, ZoneState]
) -> str:
    def loss(name: str) -> tuple[float, int, str]:
        # The work of the removed servers moves to those that stay.
        return (states[name].running / planned[name], -planned[name], name)

    return min(names, key=loss)
