"""Settings of one entry instance.

Settings are one JSON document. `load_settings` reads it into `Settings` and reports
every fault at once, one line each: the field, what stands there and what would be
right. A process learns its addresses and its zone only from here.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import msgspec

from .core.converter import describe_faults, make_converter
from .core.errors import SettingsError


@attrs.frozen(kw_only=True)
class Endpoint:
    """A TCP address; port 0 lets the kernel choose when listening."""

    host: str
    port: int = attrs.field()

    @port.validator
    def _check_port(self, _: Any, port: int) -> None:
        if not 0 <= port <= 65_535:
            raise ValueError(f"{port} is not a port; use 0 to 65535")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of an entry instance."""

    instance_id: str
    # Id of the site in the manifest.
    site: str
    # Id of the availability zone in the manifest.
    zone: str
    # Where callers connect.
    listen: Endpoint
    # Where other instances connect.
    peer: Endpoint
    # JSON gateway of the key-value service.
    key_value: Endpoint
    # List of live and leaving instances.
    instance_list: Endpoint
    # Where metrics go; None sends none.
    statsd: Endpoint | None = None
    # Bearer token of operators for the status pages; empty shows them to nobody.
    operator_token: str = attrs.field(default="", repr=False)
    log_level: str = attrs.field(default="info")
    # Time to live of the session, and how often it is renewed.
    session_ttl_s: float = 10.0
    session_renew_s: float = 3.0
    # How long a stopping instance waits for the balancer to see that it is not ready.
    balancer_wait_s: float = 2.0

    @log_level.validator
    def _check_level(self, _: Any, level: str) -> None:
        levels = ("debug", "info", "warning", "error")
        if level not in levels:
            raise ValueError(f"'{level}' is no log level; use one of {levels}")

    def __attrs_post_init__(self) -> None:
        if not 0 < self.session_renew_s * 2 < self.session_ttl_s:
            raise ValueError(
                "session_renew_s must be less than half of session_ttl_s, "
                "so that one lost renewal does not end the session"
            )


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError with one line per fault."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    try:
        return make_converter().structure(document, Settings)
    except Exception as error:
        faults = describe_faults(error, str(path))
        raise SettingsError("\n".join(faults)) from error
