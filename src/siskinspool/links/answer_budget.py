"""Limits the memory for answers of servers that are not complete yet.

Each answer has a size limit, but a faulty server may send many large ones at once. All
unfinished answers of one server, and those of all servers, therefore share a budget.
The first bytes of each answer are exempt, so that ordinary answers of sound servers
pass although faulty ones have used the budget up.
"""

from __future__ import annotations

from typing import Final

MAX_SERVER_BYTES: Final = 12 * 1024 * 1024
MAX_TOTAL_BYTES: Final = 32 * 1024 * 1024
# Bytes of each answer that do not count.
EXEMPT_BYTES: Final = 64 * 1024


class BudgetExceededError(Exception):
    """The unfinished answers take up too much memory."""


class AnswerBudget:
    """The bytes of unfinished answers, by server."""

    def __init__(
        self,
        max_server_bytes: int = MAX_SERVER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        """Set the limits for the answers of one server and for all answers."""
        self._max_server_bytes = max_server_bytes
        self._max_total_bytes = max_total_bytes
        self._held_by_server: dict[str, int] = {}
        self.held_bytes = 0

    @classmethod
    def within(cls, max_bytes: int) -> AnswerBudget:
        """Return a budget of the usual limits, lowered to the process's memory."""
        return cls(min(MAX_SERVER_BYTES, max_bytes), min(MAX_TOTAL_BYTES, max_bytes))

    def new_allowance(self, server: str) -> AnswerAllowance:
        """Return the allowance of a new answer; ``server`` is its address."""
        return AnswerAllowance(self, server)

    def take(self, server: str, size: int) -> bool:
        """Reserve some bytes; return False if a limit is exceeded."""
        held = self._held_by_server.get(server, 0) + size
        total = self.held_bytes + size
        if held > self._max_server_bytes or total > self._max_total_bytes:
            return False
        self._held_by_server[server] = held
        self.held_bytes = total
        return True

    def give_back(self, server: str, size: int) -> None:
        """Return reserved bytes."""
        self.held_bytes -= size
        self._held_by_server[server] -= size
        if not self._held_by_server[server]:
            del self._held_by_server[server]


class AnswerAllowance:
    """The part of a budget that one answer uses."""

    def __init__(self, budget: AnswerBudget, server: str) -> None:
        self._budget = budget
        self._server = server
        self._exempt_bytes = EXEMPT_BYTES
        self._taken_bytes = 0

    def add(self, size: int) -> None:
        """Count received bytes; raise BudgetExceededError if they must not be kept."""
        exempt = min(size, self._exempt_bytes)
        self._exempt_bytes -= exempt
        counted = size - exempt
        if not counted:
            return
        if not self._budget.take(self._server, counted):
            raise BudgetExceededError("too many large answers at once")
        self._taken_bytes += counted

    def release(self) -> None:
        """Return what the answer has used; it may go on from zero."""
        if self._taken_bytes:
            self._budget.give_back(self._server, self._taken_bytes)
        self._taken_bytes = 0
        self._exempt_bytes = EXEMPT_BYTES
