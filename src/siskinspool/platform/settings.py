"""Reads a gateway's settings from the platform's settings file (TOML).

The platform writes the file at each start. Unknown fields are ignored, since the
platform may add some. All faults are reported together.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import attrs

from ..core.errors import SettingsError
from ..duties.duty_settings import Duty, DutySettings
from ..gateway.bounds import (
    Bounds,
    CapBounds,
    ColdBounds,
    LoadBounds,
    OrderBounds,
    RetryBounds,
)
from ..gateway.instance import InstanceSettings
from ..gateway.scheduling_settings import SchedulingSettings
from ..protection.settings import MachineLimits, ProtectionSettings
from ..settings import Endpoint
from .contracts import (
    DEFAULT_CONFIG_S,
    DEFAULT_CONTRACTS,
    DEFAULT_DRAIN_S,
    DEFAULT_GRACE_S,
    DEFAULT_LEASE_S,
    DEFAULT_USAGE_LATE_S,
    DEFAULT_USAGE_WINDOW_S,
    Contract,
    missing_contracts,
)

# The environment variable with the path of the file; set by the platform.
SETTINGS_VARIABLE: Final = "SISKINSPOOL_CONFIG"
MS_PER_S: Final = 1000.0
# Ports between those of the peers and the metrics that are tried for relayed calls.
MAX_RELAY_PORTS: Final = 8


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

    def optional_table(self, name: str, fields: tuple[str, ...]) -> dict[str, Any]:
        """Return a table of the project's own, or an empty one; names its faults."""
        table = self._document.get(name, {})
        if not isinstance(table, dict):
            self.faults.append(f"{name}: not a table")
            return {}
        self.faults += [
            f"{name}.{unknown} is not a known field"
            for unknown in sorted(table.keys() - set(fields))
        ]
        return table

    def optional_number(self, path: str, fallback: float) -> float:
        """Return a number of a table that may be absent; unknown fields are ignored."""
        table, _, name = path.partition(".")
        fields = self._document.get(table, {})
        is_stated = not isinstance(fields, dict) or name in fields
        return self.number(path) if is_stated else fallback

    def optional_list(self, name: str, fallback: Iterable[str]) -> list[Any]:
        """Return a list at the top level, or the fallback if it is absent."""
        if name not in self._document:
            return list(fallback)
        return list(self.get(name, list, []))

    def text(self, path: str) -> str:
        return str(self.get(path, str, ""))

    def flag(self, path: str) -> bool:
        return bool(self.get(path, bool, False))

    def number(self, path: str) -> float:
        value = float(self.get(path, (int, float), 0.0))
        if value < 0:
            self.faults.append(f"{path}: {value} is negative")
        return value

    def positive(self, path: str) -> float:
        value = self.number(path)
        if value == 0:
            self.faults.append(f"{path}: zero is not allowed")
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
    contracts = _read_contracts(reader)
    bounds = _read_bounds(reader, contracts)
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
        relay_ports=tuple(range(ports[0] + 1, ports[1]))[:MAX_RELAY_PORTS],
        store=reader.endpoint("platform.addr"),
        least_lease_s=reader.seconds("platform.ttl_min_ms"),
        heartbeat_s=reader.seconds("heartbeat_ms"),
        first_start=reader.flag("bootstrap"),
        bounds=bounds,
        scheduling=_read_scheduling(reader, bounds),
        machine=_read_machine(reader),
        protection=_read_protection(reader),
        duties=_read_duties(reader, bounds) if Contract.LEADER in contracts else None,
    )
    if reader.faults:
        raise SettingsError("\n".join(reader.faults))
    return settings


def _read_contracts(reader: _SettingsReader) -> frozenset[str]:
    names = reader.optional_list("contracts", DEFAULT_CONTRACTS)
    reader.faults += [
        f"contracts: {name} is required" for name in missing_contracts(names)
    ]
    return frozenset(str(name) for name in names)


def _read_bounds(reader: _SettingsReader, contracts: frozenset[str]) -> Bounds:
    grace_s, drain_s = DEFAULT_GRACE_S, DEFAULT_DRAIN_S
    if Contract.DRAIN in contracts:
        grace_s = reader.number("bounds.grace_s")
        drain_s = reader.seconds("bounds.drain_ms")
    config_s = DEFAULT_CONFIG_S
    if Contract.CONFIG in contracts:
        config_s = reader.seconds("bounds.config_apply_ms")
    return Bounds(
        grace_s=grace_s,
        drain_s=drain_s,
        config_s=config_s,
        orders=_read_order_bounds(reader, contracts),
        retry=_read_retry_bounds(reader) if Contract.RETRY in contracts else None,
        cap=_read_cap_bounds(reader) if Contract.QUOTA in contracts else None,
        cold=_read_cold_bounds(reader) if Contract.PLACES in contracts else None,
        load=_read_load_bounds(reader) if Contract.ENGINE in contracts else None,
    )


def _read_scheduling(reader: _SettingsReader, bounds: Bounds) -> SchedulingSettings:
    defaults = SchedulingSettings.from_bounds(bounds)
    stated = reader.optional_table("scheduling", tuple(attrs.asdict(defaults)))
    flags = {
        name: reader.flag(f"scheduling.{name}")
        for name in attrs.asdict(defaults)
        if name in stated
    }
    return attrs.evolve(defaults, **flags)


def _read_machine(reader: _SettingsReader) -> MachineLimits:
    defaults = MachineLimits()
    memory_mb = reader.optional_number("limits.memory_mb", defaults.memory_mb)
    max_fds = reader.optional_number("limits.max_fds", defaults.max_fds)
    return MachineLimits(memory_mb=memory_mb, max_fds=int(max_fds))


def _read_protection(reader: _SettingsReader) -> ProtectionSettings:
    value_by_name = attrs.asdict(ProtectionSettings())
    stated = reader.optional_table("protection", tuple(value_by_name))
    values = {
        # A field keeps the type of its default.
        name: type(value)(reader.number(f"protection.{name}"))
        for name, value in value_by_name.items()
        if name in stated
    }
    try:
        return ProtectionSettings(**value_by_name | values)
    except ValueError as error:
        reader.faults.append(f"protection.{error}")
        return ProtectionSettings()


def _read_duties(reader: _SettingsReader, bounds: Bounds) -> DutySettings:
    names = reader.get("cloud.duties", list, [])
    # The platform may add duties; those that are not known here are not performed.
    duties = frozenset(duty for duty in Duty if duty in names)
    window_s, late_s = DEFAULT_USAGE_WINDOW_S, DEFAULT_USAGE_LATE_S
    if Duty.USAGE in duties:
        window_s = reader.positive("bounds.usage_window_s")
        late_s = reader.positive("bounds.usage_late_s")
    return DutySettings(
        cloud=reader.endpoint("cloud.addr"),
        duties=duties,
        calls_per_s=reader.positive("cloud.duties_per_s"),
        usage_window_s=window_s,
        usage_late_s=late_s,
        lease_s=bounds.orders.lease_s,
        epochs_checked=bounds.orders.epochs_checked,
    )


def _read_order_bounds(
    reader: _SettingsReader, contracts: frozenset[str]
) -> OrderBounds:
    if not contracts & {Contract.ENGINE, Contract.LEADER}:
        return OrderBounds(lease_s=DEFAULT_LEASE_S, epochs_checked=False)
    return OrderBounds(
        lease_s=reader.seconds("bounds.lease_ms"),
        epochs_checked=reader.flag("bounds.require_fence"),
    )


def _read_retry_bounds(reader: _SettingsReader) -> RetryBounds:
    return RetryBounds(
        ratio=reader.number("bounds.retry_budget_ratio"),
        window_s=reader.number("bounds.budget_window_s"),
        extra=reader.number("bounds.budget_extra_retries"),
    )


def _read_cap_bounds(reader: _SettingsReader) -> CapBounds:
    return CapBounds(
        window_s=reader.number("bounds.quota_window_s"),
        overage=reader.number("bounds.quota_overage"),
        slack_tokens=reader.number("bounds.quota_slack"),
    )


def _read_cold_bounds(reader: _SettingsReader) -> ColdBounds:
    return ColdBounds(
        overage=reader.number("bounds.cold_overage"),
        slack=reader.number("bounds.cold_slack"),
    )


def _read_load_bounds(reader: _SettingsReader) -> LoadBounds:
    return LoadBounds(
        window_s=reader.number("bounds.ceiling_window_s"),
        overage=reader.number("bounds.ceiling_overage"),
    )
