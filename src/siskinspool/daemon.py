"""The daemon of an entry instance.

Reads the settings, runs an `EntryInstance` and stops it gracefully on SIGTERM or
SIGINT. When the instance listens, it prints ``{"ready": true, "port": N}`` on
standard output. Invalid settings give one line per fault on standard error and exit
status 2; a violated invariant ends the process with status 3.
"""

from __future__ import annotations

import json
import logging
import signal
import sys
from pathlib import Path
from typing import Final

import click
import gevent
from gevent.event import Event

from .core.errors import SettingsError
from .entry import EntryInstance
from .settings import Settings, load_settings
from .telemetry.logs import configure_logging, log_event

EXIT_SETTINGS: Final = 2
EXIT_INVARIANT: Final = 3

logger = logging.getLogger(__name__)


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="siskinspool")
def main(settings: Path, check: bool) -> None:
    """Run an entry instance with the settings in the JSON file SETTINGS."""
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo("the settings are valid")
        return
    configure_logging(loaded.log_level)
    sys.exit(run(loaded))


def run(settings: Settings) -> int:
    """Run an instance until a signal stops it; return the exit status."""
    instance = EntryInstance.from_settings(settings)
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    crashes: list[BaseException] = []

    def on_crash(error: BaseException) -> None:
        crashes.append(error)
        stop_requested.set()

    instance.start(on_crash)
    click.echo(json.dumps({"ready": True, "port": instance.port}))
    sys.stdout.flush()
    stop_requested.wait()
    if crashes:
        log_event(logger, logging.CRITICAL, "invariant_broken", detail=crashes[0])
        return EXIT_INVARIANT
    instance.drain()
    instance.stop()
    return 0


if __name__ == "__main__":
    main()
