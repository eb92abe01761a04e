"""Durations of a model server's steps, and delays until their effects are seen."""

from __future__ import annotations

from typing import Final

# A report shows the state of a server a few hundred milliseconds earlier.
REPORT_LAG_S: Final = 0.3
# After this time the registry entry must show the effect of an order.
ENTRY_LAG_S: Final = 4.0
# A server that does not answer an order or a read is set aside for this long. The
# registry drops it after about 4 s of silence.
SILENCE_S: Final = 2.0
# A model stays at least this long, so that the requests it was loaded for arrive.
MIN_RESIDENCE_S: Final = 1.0
# Duration of an unload without requests, including the lag of the report.
UNLOAD_S: Final = 0.13
# Minimum duration of an unload of a model in use, which waits for its requests. It
# allows for requests that started since the last report.
USED_UNLOAD_S: Final = 0.5
# An order with a known duration counts as done this long after its expected end.
SETTLE_S: Final = 0.03
# Time to make room for a load and to detect its end.
SWAP_S: Final = 0.25
# Interval between reads of the report while an order is late: at least the interval, or
# this ratio of the time that the order is late.
POLL_INTERVAL_S: Final = 0.15
POLL_LATE_RATIO: Final = 0.2
# Duration of an adapter load.
ADAPTER_LOAD_S: Final = 0.015
