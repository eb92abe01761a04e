"""R1, R2, R3: loads and memory hold over real processes that fail."""

from __future__ import annotations

from siskinspool.manifest.model import Model
from siskinspool.standins.site import POOL, SitePlan

MODELS = tuple(f"m{number}" for number in range(12))
# Time that an answer may take beyond its deadline: a stream that began in time.
ANSWER_MARGIN_S = 2.0
DEADLINE_MS = 15_000
PLAN = SitePlan(
    servers=4,
    # Two models fit on each engine, so that memory is always short.
    server_memory_mib=1000,
    models=tuple(
        Model(id=name, pool=POOL, memory_mib=400, load_s=0.4) for name in MODELS
    ),
    adapters=(),
    services=1,
    cold_limit=64,
    session_ttl_s=5.0,
    session_renew_s=1.5,
)
# Reservations may be recorded only before the order, so every record that ever stood
# in the key-value service is a decision.
_POLL_S = 0.02
