"""One gateway: its tasks and how they are connected.

`GatewayInstance` builds the tasks and starts them; it contains no policy. The parts
that depend on the platform (the store, the calls to servers, the headers, the feed of
changes) are passed in as `PlatformAdapters`, so supporting another platform only takes
another set of them.
"""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from typing import Final

import attrs
import gevent

from ..core.clock import Clock
from ..core.decision import Decision
from ..core.dispatcher import Dispatcher
from ..core.member import Member
from ..core.message import Outgoing
from ..core.task import DecisionTask, Task
from ..duties.duty_calls import DutyCalls, UsageEncoding
from ..duties.duty_messages import (
    DUTY_TASK,
    SCALING_TASK,
    USAGE_COUNTS_TASK,
    USAGE_WINDOWS_TASK,
    FinishCounting,
)
from ..duties.duty_parts import build_duty_tasks
from ..duties.duty_settings import DutySettings
from ..feed.change_feed import ChangeFeed
from ..feed.feed_messages import CHANGE_FEED_TASK, StopFeeding
from ..feed.watch_task import FeedSource, WatchTask
from ..links.codec import MsgpackCodec
from ..links.compressing_codec import CompressingCodec
from ..links.peer import PEERS_TASK, PeerLink
from ..links.server_link import HttpServerLink
from ..protection.caller_protection import CallerProtection
from ..protection.settings import MachineLimits, ProtectionSettings
from ..relay.relay_messages import RELAY_TASK
from ..relay.relay_task import RelayTask
from ..relay.relaying_link import RelayingServerLink
from ..relay.server_paths import ServerPaths
from ..settings import Endpoint
from ..store.keys import SHARED_PREFIX
from ..store.kv import KeyValueService
from ..store.kv_events import EndSession
from ..store.kv_task import KV_TASK, KvTask
from ..streams.stream_messages import STREAMS_TASK
from .bounds import Bounds
from .caps import CapEnforcer
from .front_task import FrontCodec, FrontTask
from .gateway_metrics import GatewayMetrics
from .isolation import IsolationDetector
from .leadership import Leadership, StopLeading
from .membership import MembershipTracker
from .messages import (
    CAPS_TASK,
    FRONT_TASK,
    ISOLATION_TASK,
    LEADERSHIP_TASK,
    MEMBERS_TASK,
    ORDERS_TASK,
    PLACEMENT_TASK,
    ROUTING_TASK,
)
from .pages import PagesTask
from .placement import Placement
from .quarantine import Quarantine
from .quarantine_messages import QUARANTINE_TASK
from .request_context import RequestContext
from .routing import Routing
from .scheduling_settings import SchedulingSettings
from .server_control import OrdersTask, ServerControl
from .stream_origins import StreamOrigins

INCARNATION_BYTES: Final = 6
# A server accepts a connection within a round trip or, if its accept queue is full,
# after seconds; another server is the better choice then.
CONNECT_TIMEOUT_S: Final = 0.3
# Short, since a failed leader is replaced only after its session has ended; a renewal
# costs a tenth of a read.
SESSION_TTL_S: Final = 2.5
RENEW_INTERVAL_S: Final = 0.7
# The platform stops sending connections after two failed readiness checks, which are a
# second apart.
DRAIN_NOTICE_S: Final = 2.5
# A gateway that is partitioned from the store loses its session but continues to send
# requests for tokens and models to the others; partitions last some ten seconds.
FORMER_MEMBER_TTL_S: Final = 60.0
# Reserved at the end of the grace period, to close what is still open.
STOP_MARGIN_S: Final = 0.3
SESSION_END_TIMEOUT_S: Final = 0.3

# Tasks that receive changes of the desired state, the servers and the evacuations.
FEED_LISTENERS: Final = (
    FRONT_TASK,
    ROUTING_TASK,
    STREAMS_TASK,
    CAPS_TASK,
    PLACEMENT_TASK,
    SCALING_TASK,
)
# Where a deployment has no duties, these tasks do not exist and get no messages.
DUTY_TASKS: Final = (USAGE_COUNTS_TASK, USAGE_WINDOWS_TASK, SCALING_TASK, DUTY_TASK)
STATUS_TASKS: Final = (
    MEMBERS_TASK,
    CHANGE_FEED_TASK,
    ISOLATION_TASK,
    LEADERSHIP_TASK,
    ROUTING_TASK,
    CAPS_TASK,
    PLACEMENT_TASK,
    QUARANTINE_TASK,
    STREAMS_TASK,
    RELAY_TASK,
    *DUTY_TASKS,
)


class BoottimeClock(Clock):
    """Monotonic time that includes the time the machine is suspended.

    A lease in the store expires even while its holder is suspended, so the holder's
    clock must not stop.
    """

    def now(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """The settings of one gateway instance."""

    instance_id: str
    zone: str
    # Where requesters connect, and where the platform checks readiness.
    front: Endpoint
    ready: Endpoint
    # Where other gateways connect, and where metrics are served.
    peer: Endpoint
    metrics: Endpoint
    # Ports of the peer's host for relayed calls; the first free one is used.
    relay_ports: tuple[int, ...] = ()
    # Shortest time to live of a lease that the store grants.
    least_lease_s: float
    # The whole system starts for the first time.
    first_start: bool
    bounds: Bounds
    scheduling: SchedulingSettings
    machine: MachineLimits
    protection: ProtectionSettings
    # None: the deployment has no duties.
    duties: DutySettings | None = None


@attrs.frozen(kw_only=True)
class PlatformAdapters:
    """The platform-specific parts of a gateway."""

    store: KeyValueService
    server_control: ServerControl
    codec: FrontCodec
    ready_path: str
    # The platform's keys to watch.
    sources: tuple[FeedSource, ...]
    # Creates the task that decodes their changes for the listeners.
    make_feed: Callable[[Dispatcher, Clock, tuple[str, ...]], Task]
    usage_encoding: UsageEncoding
    make_duty_calls: Callable[[DutySettings], DutyCalls]


class GatewayInstance:
    """The tasks of one gateway."""

    def __init__(
        self, settings: InstanceSettings, parts: PlatformAdapters, clock: Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatcher = Dispatcher(settings.instance_id)
        peers = PeerLink(
            self._dispatcher,
            clock,
            CompressingCodec(MsgpackCodec()),
            settings.peer.host,
            settings.peer.port,
            former_member_s=FORMER_MEMBER_TTL_S,
        )
        self._dispatcher.attach_peer_transport(peers)
        protection = CallerProtection.from_settings(
            settings.machine, settings.protection, clock
        )
        direct = HttpServerLink.from_protection(
            protection, CONNECT_TIMEOUT_S, ends_by_close=True
        )
        paths = ServerPaths(settings.instance_id, settings.zone, random.Random())
        self._relay = RelayTask(
            self._dispatcher,
            clock,
            paths,
            settings.peer.host,
            settings.relay_ports,
            ROUTING_TASK,
            (LEADERSHIP_TASK,),
        )
        self._context = RequestContext(
            dispatcher=self._dispatcher,
            clock=clock,
            link=RelayingServerLink(direct, paths, self._dispatcher, clock),
            codec=parts.codec,
            metrics=GatewayMetrics(),
        )
        self._front = FrontTask(self._context, parts.codec, settings.front, protection)
        self._pages = PagesTask(
            self._front,
            self._context,
            settings.ready,
            settings.metrics,
            parts.ready_path,
            STATUS_TASKS,
        )
        own_member = Member(
            instance_id=settings.instance_id,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            zone=settings.zone,
            host=settings.peer.host,
            port=peers.port,
            listen_host=settings.front.host,
            listen_port=self._front.port,
            relay_port=self._relay.port,
        )
        sources = (
            *parts.sources,
            FeedSource(SHARED_PREFIX, parts.store, (MEMBERS_TASK, LEADERSHIP_TASK)),
        )
        self._tasks: list[Task] = [
            peers,
            *self._build_decisions(own_member, sources),
            WatchTask(self._dispatcher, clock, sources),
            OrdersTask(
                self._dispatcher, clock, parts.server_control, self._context.link
            ),
            self._front,
            self._relay,
            self._pages,
            self._build_store_task(parts.store, own_member),
            parts.make_feed(self._dispatcher, clock, FEED_LISTENERS),
        ]
        if settings.duties is not None:
            self._tasks += build_duty_tasks(
                self._dispatcher,
                clock,
                own_member,
                settings.duties,
                parts.make_duty_calls(settings.duties),
                parts.usage_encoding,
            )

    @property
    def ports(self) -> dict[str, int]:
        """The ports of the front, readiness and metrics."""
        return {
            "front": self._front.port,
            "ready": self._pages.ready_port,
            "metrics": self._pages.metrics_port,
        }

    def start(self, on_crash: Callable[[BaseException], None]) -> None:
        """Start all tasks; ``on_crash`` gets the exception that ended a task."""
        for task in self._tasks:
            task.start()
            task.on_crash(on_crash)

    def drain(self) -> None:
        """Stop gracefully; return when no request runs or the grace period ends.

        Connections that arrive until the platform has noticed are still served.
        """
        stop_at = self._clock.now() + self._settings.bounds.grace_s - STOP_MARGIN_S
        self._front.drain()
        leadership = self._dispatcher.address(LEADERSHIP_TASK)
        self._dispatcher.send(leadership, Outgoing(leadership, StopLeading()))
        feed = self._dispatcher.address(CHANGE_FEED_TASK)
        self._dispatcher.send(feed, Outgoing(feed, StopFeeding()))
        self._relay.refuse_new()
        gevent.sleep(DRAIN_NOTICE_S)
        self._front.refuse_new()
        if not self._front.wait_idle(stop_at - self._clock.now()):
            self._front.end_requests()
            self._front.wait_idle(STOP_MARGIN_S / 2)
        self._relay.wait_idle(stop_at - self._clock.now())
        counts = self._dispatcher.address(USAGE_COUNTS_TASK)
        self._dispatcher.send(counts, Outgoing(counts, FinishCounting()))
        self._dispatcher.ask(
            self._dispatcher.address(KV_TASK), EndSession(), SESSION_END_TIMEOUT_S
        )

    def stop(self) -> None:
        """End all tasks."""
        for task in reversed(self._tasks):
            task.stop(0.1)

    def _build_decisions(
        self, own_member: Member, sources: tuple[FeedSource, ...]
    ) -> list[Task]:
        settings, bounds = self._settings, self._settings.bounds
        now = self._clock.now()
        decision_by_name: dict[str, Decision] = {
            MEMBERS_TASK: MembershipTracker(
                own_member,
                (
                    PEERS_TASK,
                    ROUTING_TASK,
                    CAPS_TASK,
                    LEADERSHIP_TASK,
                    ISOLATION_TASK,
                    QUARANTINE_TASK,
                    STREAMS_TASK,
                    CHANGE_FEED_TASK,
                    RELAY_TASK,
                    *DUTY_TASKS,
                ),
            ),
            CHANGE_FEED_TASK: ChangeFeed(
                own_member,
                {source.prefix: source.listeners for source in sources},
                bounds.feed_times,
                random.Random(),
            ),
            ISOLATION_TASK: IsolationDetector(settings.instance_id),
            LEADERSHIP_TASK: Leadership(
                own_member,
                bounds,
                (ROUTING_TASK, PLACEMENT_TASK, ORDERS_TASK, *DUTY_TASKS),
                now,
                session_silence_s=SESSION_TTL_S - RENEW_INTERVAL_S,
                session_ttl_s=max(SESSION_TTL_S, settings.least_lease_s),
                first_start=settings.first_start,
            ),
            ROUTING_TASK: Routing(
                settings.instance_id,
                settings.zone,
                bounds,
                settings.scheduling,
                random.Random(),
            ),
            CAPS_TASK: CapEnforcer(settings.instance_id, bounds.cap),
            QUARANTINE_TASK: Quarantine(settings.instance_id, random.Random()),
            STREAMS_TASK: StreamOrigins(
                settings.instance_id, settings.first_start, now
            ),
            PLACEMENT_TASK: Placement(
                settings.instance_id, settings.first_start, settings.scheduling
            ),
        }
        return [
            DecisionTask(name, self._dispatcher, self._clock, decision)
            for name, decision in decision_by_name.items()
        ]

    def _build_store_task(self, store: KeyValueService, own_member: Member) -> Task:
        return KvTask(
            self._dispatcher,
            self._clock,
            store,
            own_member,
            # The change feed watches the shared prefix.
            watchers=(),
            health_watchers=(
                LEADERSHIP_TASK,
                CAPS_TASK,
                ISOLATION_TASK,
                CHANGE_FEED_TASK,
            ),
            workers=2,
            session_ttl_s=max(SESSION_TTL_S, self._settings.least_lease_s),
            renew_interval_s=RENEW_INTERVAL_S,
            # A machine runs one gateway process, and no two machines share a name.
            takes_over=True,
        )
