"""The memory that callers' bodies and answers may take.

Each body and each answer has a `Reservation`. `MemoryBudget` decides whether one may
grow, and which one goes first if room is short: the one with the most bytes times the
lag of its transfer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from .minimum_progress import TransferLag

# Weight of a reservation that does not lag, so that its size still counts.
MIN_LAG_S: Final = 0.001


@attrs.define(eq=False, kw_only=True)
class Reservation:
    """The bytes of one body or answer."""

    lag: TransferLag
    # Called once if the reservation is shed; None if its owner checks `is_shed`.
    on_shed: Callable[[], None] | None = None
    size: int = 0
    # False while a request runs with this body, since it must not be ended.
    is_sheddable: bool = True
    is_shed: bool = False


class MemoryBudget:
    """The bytes of all bodies and answers of a process."""

    def __init__(
        self,
        total_bytes: int,
        small_share: float,
        small_bytes: int,
        needed_bytes_per_s: float,
    ) -> None:
        """Set the size, the share kept for small reservations, and their size.

        A transfer lags if it is slower than ``needed_bytes_per_s``.
        """
        self._needed_bytes_per_s = needed_bytes_per_s
        self._total_bytes = total_bytes
        self._large_bytes = int(total_bytes * (1 - small_share))
        self._small_bytes = small_bytes
        self._reservations: set[Reservation] = set()
        self.used_bytes = 0
        # Bytes of reservations that were shed and are still held.
        self._leaving_bytes = 0

    def open(self, now: float) -> Reservation:
        """Return a reservation without bytes."""
        made = Reservation(lag=TransferLag(self._needed_bytes_per_s, now))
        self._reservations.add(made)
        return made

    def try_grow(self, reservation: Reservation, size: int) -> bool:
        """Add bytes if there is room; return whether there was."""
        if self._missing_bytes(reservation, size) > 0:
            return False
        self.grow(reservation, size)
        return True

    def grow(self, reservation: Reservation, size: int) -> None:
        """Add bytes that are already held, whether or not there is room."""
        reservation.size += size
        self.used_bytes += size
        if reservation.is_shed:
            self._leaving_bytes += size

    def shrink(self, reservation: Reservation, size: int) -> None:
        """Take bytes off that are no longer held."""
        size = min(size, reservation.size)
        reservation.size -= size
        self.used_bytes -= size
        if reservation.is_shed:
            self._leaving_bytes -= size

    def close(self, reservation: Reservation) -> None:
        """End a reservation; may be called more than once."""
        self.shrink(reservation, reservation.size)
        # It refers to the request, whose body would stay until a garbage collection.
        reservation.on_shed = None
        self._reservations.discard(reservation)

    def shortage_bytes(self, reservation: Reservation, size: int) -> int:
        """Return how many bytes are to be shed, so that one may grow by some bytes."""
        return self._missing_bytes(reservation, size) - self._leaving_bytes

    def shed_for(
        self, reservation: Reservation, size: int, lag_s: float, now: float
    ) -> list[Reservation]:
        """Choose and mark others to shed, so that one may grow by some bytes.

        Only those that lag by ``lag_s`` at least are chosen. The bytes of those
        chosen earlier count as free.
        """
        missing = self.shortage_bytes(reservation, size)
        chosen: list[Reservation] = []
        for other in self._candidates(reservation, lag_s, now) if missing > 0 else ():
            if missing <= 0:
                break
            other.is_shed = True
            self._leaving_bytes += other.size
            missing -= other.size
            chosen.append(other)
        return chosen

    def _missing_bytes(self, reservation: Reservation, size: int) -> int:
        is_small = reservation.size + size <= self._small_bytes
        limit = self._total_bytes if is_small else self._large_bytes
        return self.used_bytes + size - limit

    def _candidates(
        self, reservation: Reservation, lag_s: float, now: float
    ) -> list[Reservation]:
        found = [
            other
            for other in self._reservations
            if other is not reservation
            and other.size
            and other.is_sheddable
            and not other.is_shed
            and other.lag.lag_s(now) >= lag_s
        ]
        return sorted(
            found,
            key=lambda other: other.size * max(other.lag.lag_s(now), MIN_LAG_S),
            reverse=True,
        )
