"""An entry instance: its tasks and the connections between them.

`EntryInstance` builds the tasks from the settings, wraps each decision in a task, and
starts them only when all recipients exist. It contains no policy. Several instances
can be built in one process, because there is no state at module level.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import Final

from .contracts.claim_encoding import MsgpackEntryCodec
from .contracts.claim_messages import InstanceIncarnation
from .contracts.claims import Claims
from .contracts.fair_queue import FairQueue
from .contracts.patient import PatientQueue
from .contracts.patient_encoding import MsgpackHeadCodec
from .contracts.quota_allocator import QuotaAllocator
from .contracts.retry_budget import RetryBudget
from .contracts.team_limits import TeamLimits
from .core.clock import Clock, MonotonicClock
from .core.decision import Decision
from .core.dispatcher import Dispatcher
from .core.member import Member
from .core.task import DecisionTask, Task
from .links.call_task import CallContext
from .links.codec import MsgpackCodec
from .links.compressing_codec import CompressingCodec
from .links.frontend import Frontend, FrontendSettings
from .links.peer import PeerLink
from .links.runner import PatientRunner
from .links.server_link import HttpServerLink
from .links.status import StatusPages
from .machines.drain import Drain
from .machines.drain_messages import StartDrain
from .machines.membership import Membership, MembershipSubscribers
from .machines.orders_task import OrdersTask
from .machines.ownership import Ownership
from .machines.placement import Placement
from .machines.record_encoding import JsonRecordEncoding
from .machines.report_poller import ReportPoller
from .machines.reporting import Reporting
from .machines.routing import Routing
from .machines.speed_choices import SpeedChoices
from .manifest.revisions import Revisions
from .protection.caller_protection import CallerProtection
from .relay.relay_messages import RELAY_TASK
from .relay.relay_task import RelayTask
from .relay.relaying_link import RelayingServerLink
from .relay.server_paths import ServerPaths
from .settings import Settings
from .store.etcd import EtcdKeyValueService
from .store.instance_list import HttpInstanceList, InstanceListTask
from .store.kv_task import KvTask
from .telemetry.metrics import Metrics
from .telemetry.task import TelemetryTask

INCARNATION_BYTES: Final = 6
# Partitions of each kind; in addition, the site has one placement partition.
PARTITIONS_PER_KIND: Final = 16
# Maximum duration of a drain after the last deadline of the running calls.
DRAIN_MARGIN_S: Final = 90.0
# A server accepts a connection within a round trip or, if its accept queue is full,
# after seconds; another server or another instance is the better choice then.
CONNECT_TIMEOUT_S: Final = 0.3
# Calls that may wait for a server at one instance; further calls are refused.
QUEUE_CAPACITY_CALLS: Final = 2_000

CATALOG_SUBSCRIBERS: Final = (
    "membership",
    "frontend",
    "routing",
    "placement",
    "limits",
    "mint",
    "patient",
    "reports",
    "orders",
    "runner",
    "telemetry",
)
OWNERSHIP_SUBSCRIBERS: Final = (
    "placement",
    "limits",
    "mint",
    "claims",
    "patient",
    "routing",
    "reports",
    "telemetry",
)
GAUGE_TASKS: Final = ("routing", "placement", "limits", "patient", RELAY_TASK)
STATUS_TASKS: Final = (
    "membership",
    "ownership",
    "routing",
    "placement",
    "limits",
    "mint",
    "patient",
    RELAY_TASK,
)


def placement_partition(site: str) -> str:
    """Return the name of the partition whose owner places models on servers."""
    return f"placement/{site}"


def partition_names(site: str) -> tuple[str, ...]:
    """Return the names of all partitions of a site."""
    kinds = ("limits", "claims", "patient")
    numbered = [
        f"{kind}/{number}" for kind in kinds for number in range(PARTITIONS_PER_KIND)
    ]
    return (placement_partition(site), *numbered)


class EntryInstance:
    """The tasks of one instance."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._dispatcher = Dispatcher(settings.instance_id)
        self._tasks: list[Task] = []
        self._peer_link = PeerLink(
            self._dispatcher,
            clock,
            CompressingCodec(MsgpackCodec()),
            settings.peer.host,
            settings.peer.port,
        )
        self._dispatcher.attach_peer_transport(self._peer_link)
        self._retry_budget = RetryBudget()
        self._protection = CallerProtection.from_settings(
            settings.limits, settings.protection, clock
        )
        paths = ServerPaths(settings.instance_id, settings.zone, random.Random())
        self._relay = self._build_relay(paths)
        self._direct_link = HttpServerLink.from_protection(
            self._protection, CONNECT_TIMEOUT_S
        )
        self._call_context = CallContext(
            dispatcher=self._dispatcher,
            clock=clock,
            link=RelayingServerLink(self._direct_link, paths, self._dispatcher, clock),
            retry_budget=self._retry_budget,
        )
        self._frontend = self._build_frontend()
        self._member = self._build_member()
        self._tasks += [self._peer_link, *self._build_platform()]
        self._tasks += self._build_decisions()
        self._tasks += self._build_workers()

    @classmethod
    def from_settings(cls, settings: Settings) -> EntryInstance:
        """Return an instance that uses the monotonic clock."""
        return cls(settings, MonotonicClock())

    @property
    def port(self) -> int:
        """The port to which callers connect."""
        return self._frontend.port

    def start(self, on_crash: Callable[[BaseException], None]) -> None:
        """Start all tasks; ``on_crash`` receives the exception that ends a task."""
        for task in self._tasks:
            task.start()
            task.on_crash(on_crash)

    def drain(self) -> None:
        """Drain the instance; return when no call is running any more (R12).

        Calls that are relayed for other instances may finish as well.
        """
        longest_s = self._frontend.longest_remaining_s()
        limit_s = longest_s + DRAIN_MARGIN_S
        stop_at = self._clock.now() + limit_s
        self._relay.refuse_new()
        drain = self._dispatcher.address("drain")
        self._dispatcher.ask(drain, StartDrain(longest_s), limit_s)
        self._relay.wait_idle(stop_at - self._clock.now())

    def stop(self) -> None:
        """Stop all tasks in reverse order."""
        for task in reversed(self._tasks):
            task.stop()

    def _build_relay(self, paths: ServerPaths) -> RelayTask:
        settings = self._settings
        return RelayTask(
            self._dispatcher,
            self._clock,
            paths,
            settings.peer.host,
            (settings.relay_port,),
            "routing",
            watchers=("routing", "ownership"),
        )

    def _build_frontend(self) -> Frontend:
        settings = self._settings
        pages = StatusPages(
            self._dispatcher, self._incarnation, settings.operator_token, STATUS_TASKS
        )
        frontend_settings = FrontendSettings(
            host=settings.listen.host,
            port=settings.listen.port,
            instance_id=settings.instance_id,
            incarnation=self._incarnation,
        )
        frontend = Frontend(
            frontend_settings,
            self._dispatcher,
            self._clock,
            self._call_context,
            pages,
            self._protection,
        )
        frontend.listen()
        return frontend

    def _build_member(self) -> Member:
        settings = self._settings
        return Member(
            instance_id=settings.instance_id,
            incarnation=self._incarnation,
            zone=settings.zone,
            host=settings.peer.host,
            port=self._peer_link.port,
            listen_host=settings.listen.host,
            listen_port=self._frontend.port,
            relay_port=self._relay.port,
        )

    def _build_platform(self) -> list[Task]:
        settings = self._settings
        gateway = EtcdKeyValueService(settings.key_value.host, settings.key_value.port)
        instances = HttpInstanceList(
            settings.instance_list.host, settings.instance_list.port
        )
        return [
            KvTask(
                self._dispatcher,
                self._clock,
                gateway,
                self._member,
                health_watchers=("membership", "ownership", "mint"),
                session_ttl_s=settings.session_ttl_s,
                renew_interval_s=settings.session_renew_s,
            ),
            InstanceListTask(self._dispatcher, self._clock, instances),
        ]

    def _build_decisions(self) -> list[Task]:
        settings = self._settings
        instance_id, incarnation = settings.instance_id, self._incarnation
        decision_by_name: dict[str, Decision] = {
            "membership": Membership(
                self._member,
                MembershipSubscribers(
                    members=(
                        "peers",
                        "ownership",
                        "routing",
                        "placement",
                        "mint",
                        "limits",
                        "claims",
                        "patient",
                        "reports",
                        "telemetry",
                        RELAY_TASK,
                    ),
                    freshness=("frontend", "limits", "mint"),
                    leaving=("routing", "placement"),
                ),
            ),
            "ownership": Ownership(
                instance_id,
                incarnation,
                partition_names(settings.site),
                OWNERSHIP_SUBSCRIBERS,
                frozenset({placement_partition(settings.site)}),
            ),
            "revisions": Revisions(instance_id, CATALOG_SUBSCRIBERS),
            "claims": Claims(
                InstanceIncarnation(instance_id, incarnation), MsgpackEntryCodec()
            ),
            "limits": TeamLimits(instance_id, incarnation, self._clock.now()),
            "mint": QuotaAllocator(),
            "patient": PatientQueue(
                InstanceIncarnation(instance_id, incarnation), MsgpackHeadCodec()
            ),
            "placement": Placement(
                instance_id, incarnation, settings.site, JsonRecordEncoding()
            ),
            "reports": Reporting(instance_id, settings.site),
            "routing": Routing(
                instance_id,
                settings.zone,
                lambda: FairQueue(QUEUE_CAPACITY_CALLS),
                random.Random(secrets.randbits(64)),
                # By default, `Routing` compares two random candidates.
                SpeedChoices(random.Random(secrets.randbits(64)))
                if settings.speed_estimates
                else None,
            ),
            "drain": Drain(instance_id, balancer_wait_s=settings.balancer_wait_s),
        }
        return [
            DecisionTask(name, self._dispatcher, self._clock, decision)
            for name, decision in decision_by_name.items()
        ]

    def _build_workers(self) -> list[Task]:
        metrics = Metrics.from_settings(self._settings.statsd)
        return [
            self._relay,
            ReportPoller(self._dispatcher, self._clock, self._call_context.link),
            # Never relayed: a server would take the relay for the sender.
            OrdersTask(self._dispatcher, self._clock, self._direct_link),
            TelemetryTask(self._dispatcher, self._clock, metrics, GAUGE_TASKS),
            PatientRunner(
                self._dispatcher, self._clock, self._call_context, self._incarnation
            ),
            self._frontend,
        ]
