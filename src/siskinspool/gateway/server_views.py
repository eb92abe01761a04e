"""A gateway's views of the servers in the registry, and the evacuated zones."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable
from typing import Final

from ..machines.rendezvous import score
from ..pace.server_estimate import FleetEstimate, ServerEstimate
from ..server_signals.brittle_servers import BrittleServers
from ..server_signals.server_signals import ServerSignals
from ..telemetry.logs import log_event
from .bounds import Bounds
from .cold_server_limit import RampMembers, full_bucket, ramp_share
from .desired_state import DesiredState, ServiceSpec
from .messages import AssignServer
from .server_view import ServerView
from .servers import ServerRecord, ServerState

logger = logging.getLogger(__name__)

# Entries that expired in an outage of the registry return within two seconds.
RETURN_GRACE_S: Final = 2.0
# The servers that a gateway sees in its first seconds may have run for long.
FIRST_SIGHT_S: Final = 2.0
MAX_SCORE: Final = 2**64
# A load on another server takes longer than this, except from a copy on its disk.
SHORT_PAUSE_S: Final = 1.0


class ServerViews:
    """The views of all known servers; times are in seconds."""

    def __init__(self, instance_id: str, bounds: Bounds) -> None:
        """Initialize with this gateway's id and the bounds of the site."""
        self._id = instance_id
        self._bounds = bounds
        self.by_id: dict[str, ServerView] = {}
        self.evacuated_zones: set[str] = set()
        # When the first server was seen.
        self._first_seen_at: float | None = None
        self._fleet_by_service: dict[str, FleetEstimate] = {}
        self._desired: DesiredState | None = None
        self.member_ids: tuple[str, ...] = (instance_id,)
        self._ramp_members = RampMembers(instance_id)
        # Seeded with the id, so that gateways try a server at different times.
        self.signals = ServerSignals(random.Random(instance_id))
        self.brittle = BrittleServers(instance_id)
        # Changes of the registry do not arrive at the moment.
        self.is_interrupted = False

    def set_desired(self, desired: DesiredState, now: float) -> None:
        """Set the desired state, which limits the rate of cold servers."""
        self._desired = desired
        self._resize_cold_buckets(now)

    def set_members(self, member_ids: Iterable[str], now: float) -> None:
        """Set the gateways, which share the rate of each cold server."""
        self.member_ids = tuple(sorted(member_ids))
        for fleet in self._fleet_by_service.values():
            fleet.senders = len(self.member_ids)
        self._ramp_members.update(self.member_ids, now)
        self._resize_cold_buckets(now)

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Stop or resume sending requests to the servers of a zone."""
        log_event(
            logger, logging.INFO, "zone_evacuated", zone=zone, evacuated=evacuated
        )
        if evacuated:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)

    def update_record(self, record: ServerRecord, now: float) -> None:
        """Add or update the view of a server from its registry entry."""
        view = self.by_id.get(record.server_id)
        restarted = view is not None and view.start != record.start
        if self._is_outdated(record, view):
            return
        if view is None or restarted:
            view = self._new_view(record, now)
            self.by_id[record.server_id] = view
            if restarted or self._has_just_started(record, now):
                view.begin_pace(now)
            log_event(
                logger,
                logging.INFO,
                "server_seen",
                server=record.server_id,
                service=record.service,
                zone=record.zone,
                software=record.software_version,
                state=record.state,
                cold_s=record.cold_s,
            )
        elif view.record.state is not record.state:
            log_event(
                logger,
                logging.INFO,
                "server_state",
                server=record.server_id,
                state=record.state,
            )
        if record.cold_s > 0 and not view.is_cold(now):
            # A server may become cold again while it runs.
            view.begin_pace(now)
            view.cold_bucket = full_bucket(self._ramp_share(record, now), now)
            log_event(
                logger,
                logging.INFO,
                "server_cold",
                server=record.server_id,
                cold_s=record.cold_s,
                share_per_s=view.cold_bucket.per_s,
            )
        view.update_record(record, now)

    def _is_outdated(self, record: ServerRecord, view: ServerView | None) -> bool:
        """Return whether an entry is older than the known one of the same start.

        A registry that returns from an older copy may call a server ready that has
        begun to leave; the server writes its entry again.
        """
        return (
            self.is_interrupted
            and view is not None
            and view.start == record.start
            and view.record.state is ServerState.DRAINING
            and record.state is ServerState.READY
        )

    def _new_view(self, record: ServerRecord, now: float) -> ServerView:
        bucket = full_bucket(self._ramp_share(record, now), now)
        return ServerView.from_record(
            record,
            self._service(record),
            bucket,
            self._new_estimate(record),
            self.signals,
            now,
        )

    def _new_estimate(self, record: ServerRecord) -> ServerEstimate:
        senders = len(self.member_ids)
        fleet = self._fleet_by_service.setdefault(
            record.service, FleetEstimate(senders=senders)
        )
        phase = score(self._id, record.server_id) / MAX_SCORE
        return ServerEstimate.of_fleet(fleet, phase)

    def _has_just_started(self, record: ServerRecord, now: float) -> bool:
        """Return whether a server that this gateway has not seen has just started.

        While the gateway starts, all servers are new to it.
        """
        if self._first_seen_at is None:
            self._first_seen_at = now
        return record.cold_s > 0 or now >= self._first_seen_at + FIRST_SIGHT_S

    def _service(self, record: ServerRecord) -> ServiceSpec | None:
        if self._desired is None:
            return None
        return self._desired.service_by_name.get(record.service)

    def _ramp_share(self, record: ServerRecord, now: float) -> float:
        service = self._service(record)
        return ramp_share(
            record.server_id,
            0.0 if service is None else service.cold_per_s,
            self._bounds.cold,
            self._id,
            self._ramp_members.sharing_ids(now),
        )

    def _resize_cold_buckets(self, now: float) -> None:
        for view in self.by_id.values():
            if view.is_cold(now):
                share = self._ramp_share(view.record, now)
                view.cold_bucket.resize(share, share, now)

    def paused_until(
        self, service: str, excluded: frozenset[str], now: float
    ) -> float | None:
        """Return when the first paused server of a service opens.

        None if a server has no pause, or if it is not known when one will be open.
        """
        if not self.signals.has_pauses:
            return None
        opens_at = min(
            (
                view.opens_at(now)
                for server_id, view in self.by_id.items()
                if view.record.service == service
                and server_id not in excluded
                and view.record.zone not in self.evacuated_zones
            ),
            default=math.inf,
        )
        return opens_at if now < opens_at < math.inf else None

    def brittle_allows_next(self, view: ServerView, now: float) -> bool:
        """Return whether a server bears another request of this gateway."""
        return self.brittle.allows_next(
            view.start,
            view.record.slots,
            len(view.in_flight_by_request),
            self.member_ids,
            now,
        )

    def has_holder_of_version(self, call: AssignServer, now: float) -> bool:
        """Return whether a stream may go on, now or after a pause of its servers.

        An adapter is loaded beside its model within a moment; a model is loaded without
        regard to the software version.
        """
        return any(
            view.record.service == call.service
            and view.record.software_version == call.software_version
            and view.record.state is ServerState.READY
            and view.record.zone not in self.evacuated_zones
            and (not call.model or view.holds(call.model, "", now))
            for view in self.by_id.values()
        )

    def is_holder_back_soon(self, model: str, adapter: str, now: float) -> bool:
        """Return whether a paused server with a model is back before a load ends."""
        return self.signals.has_pauses and any(
            now < view.opens_at(now) <= now + SHORT_PAUSE_S
            and view.holds(model, adapter, now)
            for view in self.by_id.values()
        )

    def forget_request(self, request_id: str) -> None:
        """Drop a request that was cancelled after its assignment: it was not sent."""
        for view in self.by_id.values():
            view.forget_request(request_id)

    def remove(self, server_id: str, now: float) -> None:
        """Remove a server whose registry entry was removed."""
        view = self.by_id.get(server_id)
        if view is None:
            return
        if self.is_interrupted and view.record.state is ServerState.READY:
            # The entry may have expired only because of the store's outage.
            view.drop_at = now + RETURN_GRACE_S
            return
        log_event(
            logger,
            logging.INFO,
            "server_gone",
            server=server_id,
            own=len(view.in_flight_by_request),
        )
        del self.by_id[server_id]

    def drop_removed(self, now: float) -> None:
        """Remove the servers whose entries did not return after an interruption."""
        for server_id, view in list(self.by_id.items()):
            if view.drop_at is not None and now >= view.drop_at:
                log_event(logger, logging.INFO, "server_gone", server=server_id)
                del self.by_id[server_id]
