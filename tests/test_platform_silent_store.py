"""How soon a change is noticed after the connections to the store go silent."""

from __future__ import annotations

import time

import gevent

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.message import Message
from siskinspool.platform.desired_state import DESIRED_STATE_KEY, OPERATOR_PREFIX
from siskinspool.platform.store import WATCH_MARGIN_S, PlatformStore
from siskinspool.store.kv import KvChanged
from siskinspool.store.kv_watch import SharedWatch

from .builders_membership import wait_until
from .builders_silent_store import SilentStore

WATCH_WAIT_S = 0.4
# Allowance for connecting, listing and a busy machine; below the watch's pause of
# 0.5 s.
SLACK_S = 0.35


def test_change_is_noticed_soon_after_connections_go_silent() -> None:
    """Guards against a pause, and a listing on a silent connection, after a timeout.

    Both delayed the new desired state by 2 s, in which a gateway refused requests under
    the old one.
    """
    store = SilentStore()
    published: list[Message] = []
    adapter = PlatformStore(store.endpoint, watch_wait_s=WATCH_WAIT_S)
    watch = SharedWatch(adapter, MonotonicClock(), published.append, OPERATOR_PREFIX)
    watching = gevent.spawn(watch.run)
    try:
        wait_until(lambda: store.watches >= 3)
        store.silence(b"new")
        silent_at = time.monotonic()
        wait_until(lambda: KvChanged(DESIRED_STATE_KEY, b"new", 2) in published)
        bound_s = WATCH_WAIT_S + WATCH_MARGIN_S + SLACK_S
        assert time.monotonic() - silent_at < bound_s
    finally:
        watching.kill()
        store.stop()
