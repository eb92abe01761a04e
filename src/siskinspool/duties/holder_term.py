"""The time in which this gateway may act as the holder."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Message
from ..gateway.messages import LeadershipExtended, LeadershipHeld, LeadershipLost
from .duty_settings import DutySettings

# No call is sent with less than this left of the term: covers the time between the
# last check and the arrival at the platform.
SEND_MARGIN_S: Final = 0.3
# Where epoch numbers are not checked, an unanswered call of the last holder may be
# executed after the lease; this leaves it some more time.
UNCHECKED_WAIT_S: Final = 1.0


@attrs.define
class HolderTerm:
    """The term of this gateway as the holder, on the instance's clock.

    A detached term is not used: the holder may have a successor then, and the calls of
    the two would alternate.
    """

    settings: DutySettings
    # When this process started; it may not know of a holder before that time.
    started_at: float
    # None while this instance is not the holder.
    epoch: int | None = None
    began_at: float = 0.0
    _from_s: float = 0.0
    _until_s: float = float("-inf")
    # Epoch number that the platform has refused.
    _refused_epoch: int = 0

    def handle(self, message: Message, now: float) -> None:
        """Handle a message of the leadership; other messages are ignored."""
        match message:
            case LeadershipHeld(epoch, from_s):
                self.epoch, self.began_at = epoch, now
                self._from_s = self._first_call_at(from_s, now)
            case LeadershipExtended(until_s, is_detached=False):
                self._until_s = until_s
            case LeadershipLost():
                self.epoch = None

    def refuse(self, epoch: int) -> None:
        """Stop acting on an epoch number that the platform has refused."""
        self._refused_epoch = max(self._refused_epoch, epoch)

    def is_valid(self, now: float) -> bool:
        """Return whether this instance is the holder, even if it may not call yet."""
        return (
            self.epoch is not None
            and self.epoch > self._refused_epoch
            and now < self._until_s - SEND_MARGIN_S
        )

    def allows_calls(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        return self.is_valid(now) and now >= self._from_s

    def calls_from_s(self) -> float:
        """Return when the first call may be sent if the term lasts."""
        return self._from_s

    def _first_call_at(self, from_s: float, now: float) -> float:
        wait_s = self.settings.lease_s
        if not self.settings.epochs_checked:
            wait_s += UNCHECKED_WAIT_S
        if from_s <= now:
            # No other holder is known whose calls may be recent.
            return max(now, self.started_at + wait_s)
        return max(from_s, now + wait_s)
