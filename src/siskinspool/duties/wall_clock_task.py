"""The task ``wall_clock``: tells the time of day of this machine."""

from __future__ import annotations

import time

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Incoming, Outgoing
from ..core.task import Task
from .duty_messages import WALL_CLOCK_TASK, ClockRead, ReadClock


class WallClockTask(Task):
    """Answers `ReadClock`, also to other gateways."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        super().__init__(WALL_CLOCK_TASK, dispatcher, clock)

    def handle(self, incoming: Incoming) -> None:
        """Reply with the time of day."""
        match incoming.message:
            case ReadClock(number):
                reply = ClockRead(number, time.time())
                self.dispatcher.send(self.address, Outgoing(incoming.sender, reply))
