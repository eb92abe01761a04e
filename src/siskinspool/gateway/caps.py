"""The ``caps`` decision: enforces each team's token cap across all gateways.

Each team's cap is managed by one gateway, its owner, chosen by rendezvous hashing among
the members. The owner holds a token bucket with the team's rate and burst; the other
gateways request tokens from it, which costs one round trip inside the site.

A gateway that gets no answer in time falls back to a small local bucket. All local
buckets together stay within the slack that the platform's bounds allow beyond rate and
burst, so the cap holds however many gateways are partitioned. An owner whose session is
not known to be valid may have been replaced; it grants only the share of rate and burst
of the gateways that still send it requests. Its successor does not use that share: it
grants only the share of the gateways in its membership, since those that have left the
membership may be partitioned and still granting.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Collection
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.rendezvous import winner
from ..machines.session_validity import SessionValidity
from ..store.kv_events import SessionGone, SessionRenewed
from ..telemetry.logs import log_event
from .bounds import CapBounds
from .desired_state import DesiredState, Team
from .messages import (
    CAPS_TASK,
    SpendAtOwnerAnswer,
    SpendAtOwnerRequest,
    SpendTokens,
    TokensGranted,
    TokensRefused,
)
from .token_bucket import TokenBucket

logger = logging.getLogger(__name__)

# A reachable owner answers in a few milliseconds; a request's latency target is some
# hundred milliseconds.
OWNER_TIMEOUT_S: Final = 0.06
# An owner that did not answer gets no request for this time.
OWNER_RETRY_AFTER_S: Final = 1.0
# Shares of the slack beyond rate and burst: the initial level of a new owner's bucket,
# the debt that a large request may leave at the owner, and the local buckets of
# gateways that cannot reach the owner. The rest covers requests that are delayed
# between the grant and their arrival at a server.
START_SLACK_SHARE: Final = 0.2
DEBT_SLACK_SHARE: Final = 0.25
LOCAL_SLACK_SHARE: Final = 0.45
# Share of a local bucket that is available at once; the rest refills over the window.
LOCAL_BURST_SHARE: Final = 0.8
# A gateway counts as active at an owner for this long after its last request.
ACTIVE_GATEWAY_TTL_S: Final = 3.0
# A gateway that has left the membership may be partitioned, and still grant, for this
# long; partitions last some ten seconds.
ABSENCE_TTL_S: Final = 30.0


@attrs.define
class _PendingSpend:
    """A request that waits for the owner's answer."""

    sender: Address
    spend: SpendTokens
    owner_id: str
    answer_by: float


@attrs.define
class _OwnedCap:
    """The bucket of a team that this gateway owns."""

    bucket: TokenBucket
    # When each gateway last requested tokens.
    requested_at_by_gateway: dict[str, float] = attrs.field(factory=dict)


class CapEnforcer(Decision):
    """Grants or refuses tokens of the teams' caps."""

    def __init__(self, instance_id: str, bounds: CapBounds | None) -> None:
        """Initialize with this gateway's id and the bounds of the site."""
        self._id = instance_id
        self._bounds = bounds
        self._session = SessionValidity()
        self._team_by_name: dict[str, Team] = {}
        self._member_ids: tuple[str, ...] = (instance_id,)
        # Until when each gateway that has left the membership counts as partitioned.
        self._absent_until_by_id: dict[str, float] = {}
        self._owned_by_team: dict[str, _OwnedCap] = {}
        self._local_by_team: dict[str, TokenBucket] = {}
        self._pending_by_number: OrderedDict[int, _PendingSpend] = OrderedDict()
        # Owners that did not answer get no request before this time.
        self._silent_until_by_id: dict[str, float] = {}
        self._next_number = 1

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a request for tokens, an owner's answer or a change of state."""
        match incoming.message:
            case SpendTokens() as spend:
                return self._spend(incoming.sender, spend, now)
            case SpendAtOwnerRequest() as request:
                return self._spend_as_owner(incoming.sender, request, now)
            case SpendAtOwnerAnswer() as answer:
                return self._on_owner_answer(answer)
            case DesiredState() as desired:
                self._update_teams(desired, now)
            case MembershipChanged(member_by_id):
                self._record_absent(member_by_id.keys(), now)
                self._member_ids = tuple(sorted(member_by_id))
                self._create_owned_caps(now)
                self._resize_local(now)
            case SessionRenewed() as renewed:
                self._session.record_renewal(renewed)
            case SessionGone():
                self._session.record_end()
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Decide locally for the requests whose owner has not answered in time."""
        batch: list[Outgoing] = []
        while self._pending_by_number:
            number, pending = next(iter(self._pending_by_number.items()))
            if pending.answer_by > now:
                break
            del self._pending_by_number[number]
            self._record_silence(pending.owner_id, now)
            batch.append(self._decide_locally(pending.sender, pending.spend, now))
        return batch

    def wake_at(self) -> float | None:
        """Return when the oldest pending request to an owner times out."""
        for pending in self._pending_by_number.values():
            return pending.answer_by
        return None

    def status(self, now: float) -> Status:
        """Return the owned caps and the number of pending requests to owners."""
        return {
            "owned": {
                team: round(owned.bucket.level)
                for team, owned in self._owned_by_team.items()
            },
            "asking": len(self._pending_by_number),
        }

    def gauges(self) -> dict[str, float]:
        """Return the number of caps that this gateway owns."""
        return {"caps.owned": float(len(self._owned_by_team))}

    def _spend(self, sender: Address, spend: SpendTokens, now: float) -> list[Outgoing]:
        team = self._team_by_name.get(spend.team)
        if team is None or not team.has_cap:
            return [Outgoing(sender, TokensGranted("uncapped"))]
        owner = winner(spend.team, self._member_ids) or self._id
        if owner == self._id:
            owned = self._owned(team, now)
            answer = self._spend_owned(owned, self._id, team, spend.tokens, now)
            return [Outgoing(sender, answer)]
        if now < self._silent_until_by_id.get(owner, now):
            return [self._decide_locally(sender, spend, now)]
        number = self._next_number
        self._next_number += 1
        self._pending_by_number[number] = _PendingSpend(
            sender, spend, owner, now + OWNER_TIMEOUT_S
        )
        request = SpendAtOwnerRequest(number, spend.team, spend.tokens)
        return [Outgoing(Address(owner, CAPS_TASK), request)]

    def _spend_as_owner(
        self, sender: Address, request: SpendAtOwnerRequest, now: float
    ) -> list[Outgoing]:
        team = self._team_by_name.get(request.team)
        if team is None:
            # The other gateway may have a newer desired state; it decides locally.
            return []
        answer: Message
        if not team.has_cap:
            answer = SpendAtOwnerAnswer(request.number, True, 0.0)
        else:
            owned = self._owned(team, now)
            result = self._spend_owned(
                owned, sender.instance_id, team, request.tokens, now
            )
            wait_s = result.retry_after_s if isinstance(result, TokensRefused) else 0.0
            granted = isinstance(result, TokensGranted)
            answer = SpendAtOwnerAnswer(request.number, granted, wait_s)
        return [Outgoing(sender, answer)]

    def _on_owner_answer(self, answer: SpendAtOwnerAnswer) -> list[Outgoing]:
        pending = self._pending_by_number.pop(answer.number, None)
        if pending is None:
            # The request was already decided locally; the owner's grant is not used.
            return []
        self._silent_until_by_id.pop(pending.owner_id, None)
        if answer.granted:
            return [Outgoing(pending.sender, TokensGranted("owner"))]
        return [Outgoing(pending.sender, TokensRefused("owner", answer.retry_after_s))]

    def _decide_locally(
        self, sender: Address, spend: SpendTokens, now: float
    ) -> Outgoing:
        team = self._team_by_name.get(spend.team)
        if team is None or not team.has_cap:
            return Outgoing(sender, TokensGranted("uncapped"))
        bucket = self._local_by_team.get(spend.team)
        if bucket is None:
            per_s, capacity = self._local_size(team)
            bucket = TokenBucket.full(per_s, capacity, now)
            self._local_by_team[spend.team] = bucket
        if bucket.try_take(spend.tokens, now):
            return Outgoing(sender, TokensGranted("local"))
        return Outgoing(
            sender, TokensRefused("local", bucket.wait_s(spend.tokens, now))
        )

    def _spend_owned(
        self, owned: _OwnedCap, gateway: str, team: Team, tokens: int, now: float
    ) -> TokensGranted | TokensRefused:
        owned.requested_at_by_gateway[gateway] = now
        share = self._owner_share(owned, now)
        per_s, burst = team.tokens_per_s * share, team.burst_tokens * share
        if (per_s, burst) != (owned.bucket.per_s, owned.bucket.capacity):
            owned.bucket.resize(per_s, burst, now)
        debt = DEBT_SLACK_SHARE * self._slack(team) * share
        if owned.bucket.try_take(tokens, now, debt):
            return TokensGranted("owner")
        return TokensRefused("owner", owned.bucket.wait_s(tokens, now, debt))

    def _owner_share(self, owned: _OwnedCap, now: float) -> float:
        """Return the share of rate and burst that this owner may grant."""
        if self._session.valid_lease_id(now) is not None:
            absent_count = sum(
                1 for until in self._absent_until_by_id.values() if now < until
            )
            return len(self._member_ids) / (len(self._member_ids) + absent_count)
        active_gateways = sum(
            1
            for at in owned.requested_at_by_gateway.values()
            if now - at < ACTIVE_GATEWAY_TTL_S
        )
        return min(active_gateways / len(self._member_ids), 1.0)

    def _owned(self, team: Team, now: float) -> _OwnedCap:
        owned = self._owned_by_team.get(team.name)
        if owned is None:
            # The previous owner may have granted the whole burst just now.
            initial_level = min(
                team.burst_tokens, START_SLACK_SHARE * self._slack(team)
            )
            bucket = TokenBucket(
                team.tokens_per_s, team.burst_tokens, initial_level, now
            )
            owned = _OwnedCap(bucket)
            self._owned_by_team[team.name] = owned
            log_event(logger, logging.INFO, "cap_owned", team=team.name)
        return owned

    def _slack(self, team: Team) -> float:
        bounds = self._bounds
        if bounds is None:
            return 0.0
        window = team.tokens_per_s * bounds.window_s + team.burst_tokens
        return window * bounds.overage + bounds.slack_tokens

    def _local_size(self, team: Team) -> tuple[float, float]:
        """Return rate and capacity of a local bucket, used without the owner."""
        if self._bounds is None:
            return 0.0, 0.0
        slack_share = self._slack(team) * LOCAL_SLACK_SHARE / len(self._member_ids)
        per_s = slack_share * (1 - LOCAL_BURST_SHARE) / self._bounds.window_s
        return per_s, slack_share * LOCAL_BURST_SHARE

    def _record_absent(self, present_ids: Collection[str], now: float) -> None:
        absent_ids = set(self._member_ids) - set(present_ids)
        self._absent_until_by_id = {
            name: until
            for name, until in self._absent_until_by_id.items()
            if now < until and name not in present_ids
        } | dict.fromkeys(absent_ids, now + ABSENCE_TTL_S)

    def _record_silence(self, owner: str, now: float) -> None:
        if now >= self._silent_until_by_id.get(owner, now):
            log_event(logger, logging.WARNING, "cap_owner_silent", owner=owner)
        self._silent_until_by_id[owner] = now + OWNER_RETRY_AFTER_S

    def _update_teams(self, desired: DesiredState, now: float) -> None:
        for name, team in desired.team_by_name.items():
            if team != self._team_by_name.get(name):
                log_event(
                    logger,
                    logging.INFO,
                    "cap_set",
                    team=name,
                    version=desired.version,
                    tokens_per_s=team.tokens_per_s,
                    burst=team.burst_tokens,
                )
        self._team_by_name = desired.team_by_name
        for name, owned in list(self._owned_by_team.items()):
            changed = desired.team_by_name.get(name)
            if changed is None or not changed.has_cap:
                del self._owned_by_team[name]
            else:
                owned.bucket.resize(changed.tokens_per_s, changed.burst_tokens, now)
        self._create_owned_caps(now)
        self._resize_local(now)

    def _create_owned_caps(self, now: float) -> None:
        """Create the buckets of owned caps, so that they fill before they are used."""
        for name, team in self._team_by_name.items():
            if team.has_cap and winner(name, self._member_ids) == self._id:
                self._owned(team, now)

    def _resize_local(self, now: float) -> None:
        for name, bucket in list(self._local_by_team.items()):
            team = self._team_by_name.get(name)
            if team is None or not team.has_cap:
                del self._local_by_team[name]
            else:
                bucket.resize(*self._local_size(team), now)
