"""Reads a gateway's settings from the platform's settings file (TOML).

The platform writes the file at each start. Unknown fields are ignored, since the
platform may add some. All faults are reported together.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Final

import attrs

from ..core.errors import SettingsError
from ..gateway.bounds import Bounds
from ..gateway.instance import InstanceSettings
from ..settings import Endpoint

# The environment variable with the path of the file; set by the platform.
SETTINGS_VARIABLE: Final = "SISKINSPOOL_CONFIG"
MS_PER_S: Final = 1000.0


@attrs.frozen(kw_only=True)
class GatewaySettings(InstanceSettings):
    """The settings of one gateway process on this platform."""

    store: Endpoint
    # Interval at which servers write their registry entries.
    heartbeat_s: float


class _SettingsReader:
    """Reads typed fields of a document and collects faults."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document
        self.faults: list[str] = []

    def get(self, path: str, kind: type | tuple[type, ...], fallback: Any) -> Any:
        value: Any = self._document
        for name in path.split("."):
            if not isinstance(value, dict) or name not in value:
                self.faults.append(f"the field {path} is missing")
                return fallback
            value = value[name]
        is_bool = isinstance(value, bool)
        if not isinstance(value, kind) or (is_bool and kind is not bool):
            self.faults.append(f"{path}: {value!r} has the wrong type")
            return fallback
        return value

    def text(self, path: str) -> str:
        return str(self.get(path, str, ""))

    def flag(self, path: str) -> bool:
        return bool(self.get(path, bool, False))

    def number(self, path: str) -> float:
        value = float(self.get(path, (int, float), 0.0))
        if value < 0:
            self.faults.append(f"{path}: {value} is negative")
        return value

    def seconds(self, path: str) -> float:
        return self.number(path) / MS_PER_S

    def endpoint(self, path: str) -> Endpoint:
        text = self.text(path)
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            self.faults.append(f"{path}: {text!r} is not HOST:PORT")
            return Endpoint(host="127.0.0.1", port=1)
        return Endpoint(host=host, port=int(port))


def read_settings(path: Path) -> GatewaySettings:
    """Return the settings in a file; raises SettingsError with one line per fault."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode_settings(document)


def decode_settings(document: dict[str, Any]) -> GatewaySettings:
    """Return the settings in a TOML document; raises SettingsError."""
    reader = _SettingsReader(document)
    ports = reader.get("internal_ports", list, [0, 0])
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        reader.faults.append("internal_ports: not two port numbers")
        ports = [0, 0]
    ip = reader.text("ip")
    settings = GatewaySettings(
        instance_id=reader.text("node"),
        zone=reader.text("zone"),
        front=reader.endpoint("listen.front"),
        ready=reader.endpoint("listen.ready"),
        peer=Endpoint(host=ip, port=ports[0]),
        metrics=Endpoint(host=ip, port=ports[1]),
        store=reader.endpoint("platform.addr"),
        least_lease_s=reader.seconds("platform.ttl_min_ms"),
        heartbeat_s=reader.seconds("heartbeat_ms"),
        first_start=reader.flag("bootstrap"),
        bounds=_read_bounds(reader),
    )
    if reader.faults:
        raise SettingsError("\n".join(reader.faults))
    return settings


def _read_bounds(reader: _SettingsReader) -> Bounds:
    return Bounds(
        grace_s=reader.number("bounds.grace_s"),
        drain_s=reader.seconds("bounds.drain_ms"),
        config_s=reader.seconds("bounds.config_apply_ms"),
        retry_ratio=reader.number("bounds.retry_budget_ratio"),
        retry_window_s=reader.number("bounds.budget_window_s"),
        retry_extra=reader.number("bounds.budget_extra_retries"),
        cap_window_s=reader.number("bounds.quota_window_s"),
        cap_overage=reader.number("bounds.quota_overage"),
        cap_slack_tokens=reader.number("bounds.quota_slack"),
        cold_overage=reader.number("bounds.cold_overage"),
        cold_slack=reader.number("bounds.cold_slack"),
        holder_lease_s=reader.seconds("bounds.lease_ms"),
        servers_check_epochs=reader.flag("bounds.require_fence"),
        load_window_s=reader.number("bounds.ceiling_window_s"),
        load_overage=reader.number("bounds.ceiling_overage"),
    )
