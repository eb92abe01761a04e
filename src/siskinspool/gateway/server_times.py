"""How long the steps of a model server take, and how late they are seen."""

from __future__ import annotations

from typing import Final

# A report shows the server as it was some hundred milliseconds before.
REPORT_LAG_S: Final = 0.3
# After this time the registry's entry must show what an order has changed.
ENTRY_LAG_S: Final = 4.0
# A server that does not answer an order or a read is set aside for this long; the
# registry drops it after about 4 s of silence.
SILENCE_S: Final = 2.0
# A model stays at least this long, so that the requests it was loaded for get there.
MIN_RESIDENCE_S: Final = 1.0
# An unload without runs takes about this long, the lag of the report included.
UNLOAD_S: Final = 0.13
# An unload of a model in use waits for its runs; for those that began since the last
# report at least this.
USED_UNLOAD_S: Final = 0.5
# After this time an order of a known duration is taken for done.
SETTLE_S: Final = 0.03
# Time to make room and to see that a load has ended.
SWAP_S: Final = 0.25
# Between reads of the report while an order is under way longer than expected: at
# least this, or a part of the time that it is late.
POLL_INTERVAL_S: Final = 0.15
POLL_LATE_RATIO: Final = 0.2
# Time in which an adapter is loaded.
ADAPTER_LOAD_S: Final = 0.015
