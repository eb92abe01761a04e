"""Settings of one entry instance.

Settings are one JSON document. `load_settings` converts it to `Settings` and reports
all faults at once, one line each: the field, its value and what is allowed. The
settings are the only source of a process's addresses and zone.
"""

from __future__ import annotations

from pathlib import Path

import attrs
import msgspec

from .core.converter import describe_faults, make_converter
from .core.errors import SettingsError
from .core.malformed import MALFORMED_ERRORS
from .protection.settings import MachineLimits, ProtectionSettings
from .settings_rules import find_violations

SECRET_FIELDS = ("operator_token",)


@attrs.frozen(kw_only=True)
class Endpoint:
    """A TCP address; port 0 lets the kernel choose when listening."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of an entry instance."""

    instance_id: str
    # Id of the site in the manifest.
    site: str
    # Id of the availability zone in the manifest.
    zone: str
    # Address to which callers connect.
    listen: Endpoint
    # Address to which other instances connect.
    peer: Endpoint
    # JSON gateway of the key-value service.
    key_value: Endpoint
    # Platform service that lists live and leaving instances.
    instance_list: Endpoint
    # Port of the peer's host for the calls that this instance relays to servers. With
    # 0, or if it is in use, the kernel chooses one.
    relay_port: int = 0
    # Statsd server for metrics; None disables them.
    statsd: Endpoint | None = None
    # Bearer token of operators for the status pages; if empty, nobody can read them.
    operator_token: str = attrs.field(default="", repr=False)
    log_level: str = "info"
    # Time to live of the session, and the interval between renewals.
    session_ttl_s: float = 10.0
    session_renew_s: float = 3.0
    # Time that a stopping instance leaves the balancer to see that it is not ready.
    balancer_wait_s: float = 2.0
    # Choose servers by the speed that their answers show.
    speed_estimates: bool = False
    # What the machine gives this process, and the limits on callers.
    limits: MachineLimits = attrs.field(factory=MachineLimits)
    protection: ProtectionSettings = attrs.field(factory=ProtectionSettings)


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError with one line per fault."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except MALFORMED_ERRORS as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: settings: the document is not a JSON object")
    faults: list[str] = []
    settings: Settings | None = None
    try:
        settings = make_converter().structure(document, Settings)
    except Exception as error:
        faults += [_format_fault(line) for line in describe_faults(error, "$")]
    faults += find_violations(document)
    if settings is None or faults:
        lines = [f"{path}: {fault}" for fault in faults]
        raise SettingsError("\n".join(lines))
    return settings


def _format_fault(line: str) -> str:
    """Return ``text @ $.field`` as ``field: text``; hide the text of a secret."""
    text, _, path = line.rpartition(" @ ")
    field = path.removeprefix("$").removeprefix(".") or "settings"
    if field in SECRET_FIELDS:
        text = "the value is not a string"
    return f"{field}: {text}"
