"""The protection of one process: its budget, its counters and the waits for room."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..core.clock import Clock, MonotonicClock
from .connection_table import ConnectionTable
from .limit_counters import Limit, LimitCounters
from .memory_budget import MemoryBudget, Reservation
from .settings import MachineLimits, ProtectionLimits, ProtectionSettings

# A waiting body looks for room, and for others to shed, at least this often.
CHECK_INTERVAL_S: Final = 0.1
# After a search for others to shed that found none, the next one with the same lag.
# A search among thousands of callers takes a millisecond.
SEARCH_INTERVAL_S: Final = 0.01


class CallerProtection:
    """Shared by all connections of a process; owned by its front end."""

    def __init__(self, limits: ProtectionLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self.counters = LimitCounters()
        # Held while a batch of small chunks is parsed.
        self.parse_turn = BoundedSemaphore(1)
        settings = limits.settings
        self.connections = ConnectionTable(limits.max_connections, settings.shed_lag_s)
        self._budget = MemoryBudget(
            limits.budget_bytes,
            settings.small_share,
            settings.small_bytes,
            settings.needed_bytes_per_s,
        )
        self._waiting_bodies = 0
        self._room_freed = Event()
        # Until when no search is made, by the lag that is searched for.
        self._next_search_at_by_lag: dict[float, float] = {}

    @classmethod
    def from_settings(
        cls, machine: MachineLimits, settings: ProtectionSettings, clock: Clock
    ) -> CallerProtection:
        """Return the protection of a process on a machine."""
        machine = machine.within_process()
        return cls(ProtectionLimits.from_settings(machine, settings), clock)

    @classmethod
    def with_defaults(cls, clock: Clock | None = None) -> CallerProtection:
        """Return the protection of a process whose settings state no limits."""
        clock = clock or MonotonicClock()
        return cls.from_settings(MachineLimits(), ProtectionSettings(), clock)

    @property
    def settings(self) -> ProtectionSettings:
        """The settings in force."""
        return self.limits.settings

    def record(self, limit: Limit) -> None:
        """Count that a caller met a limit."""
        self.counters.record(limit, self.clock.now())

    def gauges(self) -> dict[str, float]:
        """Return the counters and the state of the budget by name."""
        counts = self.counters.count_by_limit
        values = {f"protection_{limit}": float(n) for limit, n in counts.items()}
        values["protection_used_bytes"] = float(self._budget.used_bytes)
        values["protection_budget_bytes"] = float(self.limits.budget_bytes)
        values["protection_connections"] = float(len(self.connections))
        return values

    def open_body(self) -> BodyRoom:
        """Return the room of a body that is about to be read."""
        return BodyRoom(self)

    def open_answer(self) -> AnswerBacklog:
        """Return the backlog of an answer."""
        return AnswerBacklog(self)

    def open_reservation(self) -> Reservation:
        """Return a reservation without bytes."""
        return self._budget.open(self.clock.now())

    def wait_for_room(self, reservation: Reservation, size: int) -> bool:
        """Add bytes to a reservation once there is room; return False if refused."""
        if self._budget.try_grow(reservation, size):
            return True
        if self._waiting_bodies >= self.settings.waiting_bodies:
            return False
        self._waiting_bodies += 1
        try:
            return self._wait_for_room(reservation, size)
        finally:
            self._waiting_bodies -= 1

    def _wait_for_room(self, reservation: Reservation, size: int) -> bool:
        started_at = self.clock.now()
        give_up_at = started_at + self.settings.body_wait_s
        while self.clock.now() < give_up_at and not reservation.is_shed:
            self._shed_for(reservation, size, self.settings.shed_lag_s)
            self._room_freed.clear()
            self._room_freed.wait(CHECK_INTERVAL_S)
            if self._budget.try_grow(reservation, size):
                reservation.lag.excuse(self.clock.now() - started_at)
                return True
        return False

    def add_held(self, reservation: Reservation, size: int) -> None:
        """Add bytes that are already in memory; others are shed to make room."""
        self._budget.grow(reservation, size)
        for lag_s in (self.settings.shed_lag_s, 0.0):
            self._shed_for(reservation, 0, lag_s)

    def free(self, reservation: Reservation, size: int) -> None:
        """Take bytes off a reservation that are no longer held."""
        self._budget.shrink(reservation, size)
        self._room_freed.set()

    def close(self, reservation: Reservation) -> None:
        """End a reservation; may be called more than once."""
        self._budget.close(reservation)
        self._room_freed.set()

    def _shed_for(self, reservation: Reservation, size: int, lag_s: float) -> None:
        now = self.clock.now()
        if (
            now < self._next_search_at_by_lag.get(lag_s, now)
            or self._budget.shortage_bytes(reservation, size) <= 0
        ):
            return
        found = self._budget.shed_for(reservation, size, lag_s, now)
        if not found:
            self._next_search_at_by_lag[lag_s] = now + SEARCH_INTERVAL_S
        for shed in found:
            if shed.on_shed is not None:
                shed.on_shed()


class BodyRoom:
    """The room of one body, from its admission to the end of its request."""

    def __init__(self, protection: CallerProtection) -> None:
        self._protection = protection
        self._reservation = protection.open_reservation()
        # Counted in addition to the body.
        self._head_cost = 0

    def add_head(self, size: int) -> None:
        """Let the next `reserve` also cover a head of some bytes."""
        self._head_cost = int(size * self._protection.settings.head_factor)

    @property
    def is_shed(self) -> bool:
        """Whether the body must be given up, since room is short."""
        return self._reservation.is_shed

    def on_shed(self, stop_reading: Callable[[], None]) -> None:
        """Set what wakes the reader of the body if room is short."""
        self._reservation.on_shed = stop_reading

    def reserve(self, size: int) -> bool:
        """Wait until the body may have this size; return False if it must not."""
        missing = size + self._head_cost - self._reservation.size
        return missing <= 0 or self._protection.wait_for_room(
            self._reservation, missing
        )

    def record_progress(self, size: int) -> None:
        """Note that bytes of the body have arrived."""
        self._reservation.lag.record(size, self._protection.clock.now())

    def hold(self) -> None:
        """Keep the room while the request runs; the body is whole."""
        self._reservation.is_sheddable = False

    def release(self) -> None:
        """Free the room; may be called more than once."""
        self._protection.close(self._reservation)


class AnswerBacklog:
    """The bytes of one answer that its caller has not taken yet."""

    def __init__(self, protection: CallerProtection) -> None:
        self._protection = protection
        self._reservation = protection.open_reservation()
        self._taken = Event()
        self._is_open = True

    def on_shed(self, end_answer: Callable[[], None]) -> None:
        """Set what ends the answer, without blocking, if room is short."""

        def shed() -> None:
            self._protection.record(Limit.ANSWER_SHED)
            end_answer()

        self._reservation.on_shed = shed

    def wait_for_room(self, size: int) -> None:
        """Wait while the caller has too much to take; returns at once after `close`."""
        max_bytes = self._protection.settings.backlog_bytes
        is_counted = False
        while self._is_open and self._reservation.size + size > max_bytes:
            if not self._reservation.size:
                # An event larger than the limit waits only for those before it.
                return
            if not is_counted:
                self._protection.record(Limit.ANSWER_BACKLOG)
                is_counted = True
            self._taken.clear()
            self._taken.wait()

    def add(self, size: int) -> None:
        """Count bytes that wait for the caller."""
        if not self._reservation.size:
            # Until now there was nothing to take.
            self._reservation.lag.restart(self._protection.clock.now())
        self._protection.add_held(self._reservation, size)

    def record_progress(self, size: int) -> None:
        """Note that the caller has taken bytes."""
        self._reservation.lag.record(size, self._protection.clock.now())

    def remove(self, size: int) -> None:
        """Count off bytes that were written or dropped."""
        self._protection.free(self._reservation, size)
        self._taken.set()

    def close(self) -> None:
        """Free all bytes; may be called more than once."""
        self._is_open = False
        self._protection.close(self._reservation)
        self._taken.set()
