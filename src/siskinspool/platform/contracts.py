"""Which settings belong to which contract of a deployment.

A deployment lists the contracts that are in force. The fields of a contract in force
are required; those of an absent contract are not read, and the part of the system that
they configure is off:

- ``drain``, ``config``: the bounds below apply instead.
- ``retry``: repeats are limited by each route's number of attempts alone.
- ``quota``: no use beyond a team's rate and burst is tolerated.
- ``places``: servers that have just started have no limit on their requests.
- ``engine``: no orders are given, as no service has models to place.
- ``leader``: no usage is reported and no number of servers is ordered, and the table
  ``cloud`` is not read.

Parts of the desired state that belong to a contract (teams, engines) are optional when
decoded, so they need no entry here.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from typing import Final


class Contract(StrEnum):
    """The contracts that settings depend on."""

    DRAIN = "drain"
    CONFIG = "config"
    RETRY = "retry"
    QUOTA = "quota"
    PLACES = "places"
    ENGINE = "engine"
    LEADER = "leader"
    PLATFORM = "platform"


# Without the store nothing of the desired state and the servers is known.
REQUIRED_CONTRACTS: Final = frozenset({Contract.PLATFORM})
# Settings without a list of contracts were written for the parts that existed before
# the list was read.
DEFAULT_CONTRACTS: Final = tuple(set(Contract) - {Contract.LEADER})
# Bounds where no contract sets them.
DEFAULT_GRACE_S: Final = 5.0
DEFAULT_DRAIN_S: Final = 2.0
DEFAULT_CONFIG_S: Final = 2.0
DEFAULT_LEASE_S: Final = 3.0
# Where usage is not reported.
DEFAULT_USAGE_WINDOW_S: Final = 5.0
DEFAULT_USAGE_LATE_S: Final = 10.0


def missing_contracts(contracts: Collection[str]) -> list[str]:
    """Return the required contracts that a deployment does not list."""
    return sorted(REQUIRED_CONTRACTS - set(contracts))
