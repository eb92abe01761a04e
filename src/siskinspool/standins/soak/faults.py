"""The faults of a soak: signals, restarts, changes, cuts and delays, which overlap."""

from __future__ import annotations

import random
import signal
from abc import ABC, abstractmethod
from typing import Final

import gevent

from .site import MODELS, SoakSite

# A process that does not stop by itself is killed, as the platform does.
GRACE_S: Final = 6.5
POLL_S: Final = 0.05


class Fault(ABC):
    """One kind of fault; `run` returns when it is over."""

    @abstractmethod
    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Inject the fault, wait and repair it; return what was done."""


class GatewayKill(Fault):
    """A gateway is killed and started again."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Kill a gateway."""
        name = _any_gateway(site, rng)
        popen = site.site.gateways[name].popen
        # A kill during a planned stop cuts off what the stop would have finished.
        site.stopping.discard(name)
        if not site.signal_gateway(name, signal.SIGKILL):
            return ""
        with site.disturbed(name):
            gevent.sleep(rng.uniform(0.1, 3.0))
            site.restart_gateway(name, popen)
        return f"{name} killed"


class GatewayStop(Fault):
    """A gateway is stopped as planned and started again."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Stop a gateway; kill it after the grace period."""
        name = _any_gateway(site, rng)
        popen = site.site.gateways[name].popen
        if not site.signal_gateway(name, signal.SIGTERM):
            return ""
        site.stopping.add(name)
        with site.disturbed(name):
            deadline_s = site.now_s() + GRACE_S
            while popen.poll() is None and site.now_s() < deadline_s:
                gevent.sleep(POLL_S)
            if popen.poll() is None:
                popen.kill()
            site.restart_gateway(name, popen)
        return f"{name} stopped"


class GatewayPause(Fault):
    """A gateway is suspended for some seconds."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Suspend a gateway and let it go on."""
        name = _any_gateway(site, rng)
        if not site.signal_gateway(name, signal.SIGSTOP):
            return ""
        with site.disturbed(name):
            gevent.sleep(rng.uniform(0.3, 4.0))
            site.signal_gateway(name, signal.SIGCONT)
        return f"{name} suspended"


class StoreCut(Fault):
    """The link between a gateway and the store fails."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Reset, freeze or delay the link, or lose its answers."""
        name = _any_gateway(site, rng)
        kind = rng.choice(["freeze", "delay_s", "refuse", "drop_answers"])
        with site.disturbed(name):
            site.set_link_faults(name, **{kind: 0.2 if kind == "delay_s" else True})
            if kind in ("refuse", "drop_answers"):
                site.set_link_faults(name, cut=True)
            gevent.sleep(rng.uniform(0.5, 4.0))
            site.set_link_faults(name, **{kind: 0.0 if kind == "delay_s" else False})
            if kind == "drop_answers":
                site.set_link_faults(name, cut=True)
        return f"store link of {name}: {kind}"


class StoreOutage(Fault):
    """The store refuses all calls, or forgets its history."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Let the store fail for a while."""
        if rng.random() < 0.5:
            with site.disturbed(None):
                site.site.store_faults(forget_history=True)
            return "store history forgotten"
        with site.disturbed(None):
            site.site.store_faults(down=True)
            gevent.sleep(rng.uniform(0.5, 3.0))
            site.site.store_faults(down=False)
        return "store down"


class ConfigChange(Fault):
    """The desired state changes, sometimes several times in a row."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Write new versions."""
        for _ in range(rng.choice([1, 1, 4])):
            site.apply(site.version + rng.randint(1, 3))
            gevent.sleep(0.1)
        return f"version {site.version}"


class ServerFault(Fault):
    """A server fails, breaks streams, resets connections or is full."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Set a fault of a server for a while."""
        server_id = rng.choice(sorted(site.server_by_id))
        name, value, normal = rng.choice(
            [
                ("fail", 500, 0),
                ("cut_after", 3, 0),
                ("reset", True, False),
                ("full", True, False),
            ]
        )
        site.set_server_faults(server_id, **{name: value})
        gevent.sleep(rng.uniform(0.3, 2.0))
        site.set_server_faults(server_id, **{name: normal})
        return f"{server_id}: {name}"


class ServerReplacement(Fault):
    """A server announces that it leaves, ends, and another one comes."""

    def run(self, site: SoakSite, rng: random.Random) -> str:
        """Replace a server."""
        server_id = rng.choice(sorted(site.server_by_id))
        is_engine = server_id.startswith("writers")
        new_id = (
            site.add_server("writers", rng.choice(MODELS))
            if is_engine
            else site.add_server("desk")
        )
        gevent.sleep(1.0)
        if server_id in site.server_by_id:
            site.drain_server(server_id)
            gevent.sleep(4.0)
            if server_id in site.server_by_id:
                site.end_server(server_id)
        return f"{server_id} replaced by {new_id}"


FAULTS: Final[tuple[Fault, ...]] = (
    GatewayKill(),
    GatewayStop(),
    GatewayPause(),
    StoreCut(),
    StoreOutage(),
    ConfigChange(),
    ServerFault(),
    ServerReplacement(),
)


def _any_gateway(site: SoakSite, rng: random.Random) -> str:
    """Return a gateway; another fault may act on it at the same time."""
    return rng.choice(sorted(site.site.gateways))
