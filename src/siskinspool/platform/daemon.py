"""The gateway daemon on the users' platform.

Reads the settings file that the platform specifies, runs a `GatewayInstance` and stops
it gracefully on SIGTERM. SIGHUP reads the settings again and logs the changed fields,
which take effect only after a restart. Invalid settings print one line per fault and
exit with status 2; a broken invariant ends the process with status 3.
"""

from __future__ import annotations

import faulthandler
import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Final

import attrs
import click
import gevent
from gevent.event import Event

from ..core.errors import SettingsError
from ..feed.watch_task import FeedSource
from ..gateway.instance import (
    BoottimeClock,
    GatewayInstance,
    PlatformAdapters,
)
from ..telemetry.logs import BoundedHandler, configure_logging, log_event
from .desired_state import OPERATOR_PREFIX
from .duty_calls import PlatformDutyCalls, PlatformUsageEncoding
from .feeds import FEED_TASK, FeedTask
from .front_codec import READY_PATH, PlatformFrontCodec
from .server_calls import PlatformServerControl
from .server_entries import SERVERS_PREFIX
from .settings import SETTINGS_VARIABLE, GatewaySettings, read_settings
from .store import PlatformStore

logger = logging.getLogger(__name__)

EXIT_SETTINGS: Final = 2
EXIT_INVARIANT: Final = 3
STDOUT: Final = 1
# Members and leaders change rarely, and a failed member is detected by its missing
# answers.
MEMBERS_WAIT_S: Final = 5.0


@click.command()
@click.argument("settings", type=click.Path(path_type=Path), required=False)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option("--log-level", default="info", show_default=True)
def main(settings: Path | None, check: bool, log_level: str) -> None:
    """Run a gateway with the TOML file SETTINGS, or the one the platform specifies."""
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        loaded = read_settings(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo("the settings are valid")
        return
    # Without this, a crash in native code would print no traceback.
    faulthandler.enable()
    configure_logging(log_level, BoundedHandler(STDOUT))
    sys.exit(run(path, loaded))


def run(path: Path, settings: GatewaySettings) -> int:
    """Run a gateway until a signal stops it; return the exit status."""
    instance = build_instance(settings)
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, _log_reload, path, settings)
    crashes: list[BaseException] = []

    def on_crash(error: BaseException) -> None:
        crashes.append(error)
        stopped.set()

    instance.start(on_crash)
    log_event(
        logger,
        logging.INFO,
        "started",
        instance=settings.instance_id,
        zone=settings.zone,
        first_start=settings.first_start,
        ports=",".join(f"{name}:{port}" for name, port in instance.ports.items()),
    )
    # Objects created at startup are permanent; exclude them from garbage collection.
    gc.freeze()
    stopped.wait()
    if crashes:
        log_event(logger, logging.CRITICAL, "invariant_broken", detail=crashes[0])
        return EXIT_INVARIANT
    log_event(logger, logging.INFO, "stopping", instance=settings.instance_id)
    instance.drain()
    instance.stop()
    log_event(logger, logging.INFO, "stopped", instance=settings.instance_id)
    return 0


def build_instance(settings: GatewaySettings) -> GatewayInstance:
    """Return a gateway on the users' platform with the given settings."""
    pause_s = settings.bounds.feed_times.read_pause_s
    operator_store = PlatformStore(settings.store, pause_s)
    registry_store = PlatformStore(settings.store, pause_s)
    clock = BoottimeClock()
    parts = PlatformAdapters(
        store=PlatformStore(settings.store, pause_s, MEMBERS_WAIT_S),
        server_control=PlatformServerControl(clock),
        codec=PlatformFrontCodec(),
        ready_path=READY_PATH,
        sources=(
            FeedSource(OPERATOR_PREFIX, operator_store, (FEED_TASK,)),
            FeedSource(SERVERS_PREFIX, registry_store, (FEED_TASK,)),
        ),
        make_feed=FeedTask,
        usage_encoding=PlatformUsageEncoding(),
        make_duty_calls=lambda duties: PlatformDutyCalls(duties.cloud),
    )
    return GatewayInstance(settings, parts, clock)


def _log_reload(path: Path, running: GatewaySettings) -> None:
    """Log which fields differ from the running settings, which stay in effect."""
    try:
        loaded = read_settings(path)
    except SettingsError as error:
        log_event(logger, logging.ERROR, "reload_failed", detail=error)
        return
    changed = [
        field.name
        for field in attrs.fields(GatewaySettings)
        if getattr(loaded, field.name) != getattr(running, field.name)
    ]
    log_event(logger, logging.INFO, "reloaded", changed=",".join(changed))


if __name__ == "__main__":
    main()
