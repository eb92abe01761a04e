"""The machine's limits, the settings of the protection, and what follows from both.

Each field of `ProtectionSettings` is a field of the optional table ``[protection]`` of
the settings file.
"""

from __future__ import annotations

import resource
from typing import Final

import attrs

BYTES_PER_MB: Final = 1_000_000
# Of a machine whose settings state no memory.
DEFAULT_MEMORY_MB: Final = 300.0
# The fewest that a machine of a deployment has.
DEFAULT_MAX_FDS: Final = 1_638
# The process cannot serve without any room, however small its machine is.
MIN_BUDGET_BYTES: Final = 16 * BYTES_PER_MB
MIN_CONNECTIONS: Final = 16
# All other fields must be above zero.
_MAY_BE_ZERO: Final = frozenset({"waiting_bodies", "body_start_bytes", "file_fds"})


@attrs.frozen(kw_only=True)
class MachineLimits:
    """What the machine gives this process."""

    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS

    def within_process(self) -> MachineLimits:
        """Return these limits, lowered to the process's own limit on descriptors."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            return self
        return attrs.evolve(self, max_fds=min(self.max_fds, soft))


@attrs.frozen(kw_only=True)
class ProtectionSettings:
    """The limits on callers; no caller inside the stated limits meets them."""

    # Memory of the process itself, with the state of its servers and its messages to
    # other gateways. Nothing of it depends on callers.
    process_mb: float = 96.0
    # Part of the remaining memory that bodies and answers may take. The rest is for
    # copies in passing, for connections and for what the allocator cannot reuse.
    budget_share: float = 0.5
    # Part of the budget that only small requests may take, and their size: a body of
    # 64 KB and what a usual head counts.
    small_share: float = 0.25
    small_bytes: int = 98_304
    # Memory counted for each byte of a head, which is kept as parsed lines, as the WSGI
    # environment and by the request.
    head_factor: float = 10.0
    # Longest wait of a body for room in the budget, and the number that may wait.
    body_wait_s: float = 2.0
    waiting_bodies: int = 64
    # A body must progress at this rate over each window. At the start some bytes are
    # credited, so that a caller may begin slowly.
    body_bytes_per_s: float = 2_048.0
    body_window_s: float = 30.0
    body_start_bytes: int = 16_384
    # A transfer at this rate does not lag. A twentieth of the slowest link, so that a
    # caller at fault is told from many callers on one link.
    needed_bytes_per_s: float = 32_768.0
    # A body or an answer that lags this much may be shed if room is short, and the
    # connection of such a body may be ended if there are too many.
    shed_lag_s: float = 0.5
    # Bytes of a stream that may wait for its caller.
    backlog_bytes: int = 262_144
    # Bytes of a chunked body that are parsed in one turn.
    parse_turn_bytes: int = 8_192
    # Descriptors kept back for files, and the part of the others for callers; each
    # running request needs a further one for its server.
    file_fds: int = 200
    caller_fd_share: float = 0.5
    # Memory counted for a connection, and the part of the memory for connections.
    connection_bytes: int = 40_000
    connection_share: float = 0.25
    # Connections of each of the listeners for readiness and metrics.
    page_connections: int = 32

    def __attrs_post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        for name, value in attrs.asdict(self).items():
            if value < 0 or (value == 0 and name not in _MAY_BE_ZERO):
                raise ValueError(f"{name}: {value} is not above zero")
            if name.endswith("_share") and value > 1:
                raise ValueError(f"{name}: {value} is above 1")


@attrs.frozen(kw_only=True)
class ProtectionLimits:
    """The limits of one process."""

    settings: ProtectionSettings
    budget_bytes: int
    max_connections: int

    @classmethod
    def from_settings(
        cls, machine: MachineLimits, settings: ProtectionSettings
    ) -> ProtectionLimits:
        """Derive the limits of a process on a machine."""
        free_bytes = (machine.memory_mb - settings.process_mb) * BYTES_PER_MB
        by_memory = free_bytes * settings.connection_share / settings.connection_bytes
        free_fds = machine.max_fds - settings.file_fds
        by_fds = free_fds * settings.caller_fd_share
        return cls(
            settings=settings,
            budget_bytes=max(int(free_bytes * settings.budget_share), MIN_BUDGET_BYTES),
            max_connections=max(int(min(by_memory, by_fds)), MIN_CONNECTIONS),
        )

    @property
    def answer_read_bytes(self) -> int:
        """Bytes of answers that are being read from servers and are not whole yet."""
        return self.budget_bytes // 2
