"""The ``caps`` decision: tokens that each team may use, over all gateways.

Each team's cap is kept by one gateway, its owner, chosen by rendezvous hashing among
the members. The owner holds a token bucket with the team's rate and burst; the other
gateways ask it for each request, which costs one round trip inside the site.

A gateway that gets no answer in time decides by a small bucket of its own. All these
buckets together stay within the slack that the platform's bounds leave beyond rate and
burst, so the sum holds however many gateways are cut off. An owner whose session is
not known to be valid may have been replaced; it grants only the part of rate and burst
that belongs to the gateways which still ask it. Its successor leaves that part to it:
it grants the part of the gateways in its membership, as those that have gone from it
may only be cut off.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Collection
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.messages import MembershipChanged
from ..machines.rendezvous import winner
from ..machines.session_validity import SessionValidity
from ..store.kv_events import SessionGone, SessionRenewed
from ..telemetry.logs import log_event
from .bounds import Bounds
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

# An owner in reach answers in a few milliseconds; a request's target is some hundred.
OWNER_TIMEOUT_S: Final = 0.06
# After a silence, the owner is asked again only after this time.
OWNER_RETRY_AFTER_S: Final = 1.0
# Parts of the slack beyond rate and burst: what a new owner starts with, the debt that
# a large request may leave at the owner, and the buckets of gateways without an owner.
# The rest covers requests that wait between the grant and their arrival at a server.
START_SLACK_SHARE: Final = 0.2
DEBT_SLACK_SHARE: Final = 0.25
LOCAL_SLACK_SHARE: Final = 0.45
# Part of a local bucket that is there at once; the rest comes over the window.
LOCAL_BURST_SHARE: Final = 0.8
# A gateway counts as asking for this long after its last request.
ASKER_TTL_S: Final = 3.0
# A gateway that has gone from the membership may be cut off, and grant, for this long;
# cuts last some ten seconds.
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
    # When each gateway asked last.
    asked_at_by_id: dict[str, float] = attrs.field(factory=dict)


class CapEnforcer(Decision):
    """Grants and refuses tokens."""

    def __init__(self, instance_id: str, bounds: Bounds) -> None:
        """Take the own id and the bounds of the site."""
        self._id = instance_id
        self._bounds = bounds
        self._session = SessionValidity()
        self._team_by_name: dict[str, Team] = {}
        self._member_ids: tuple[str, ...] = (instance_id,)
        # Until when each gateway that has gone from the membership counts as cut off.
        self._absent_until_by_id: dict[str, float] = {}
        self._owned_by_team: dict[str, _OwnedCap] = {}
        self._local_by_team: dict[str, TokenBucket] = {}
        self._pending_by_number: OrderedDict[int, _PendingSpend] = OrderedDict()
        # An owner that did not answer is left alone until this time.
        self._silent_until_by_id: dict[str, float] = {}
        self._next_number = 1

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in a request for tokens, an owner's answer or a change."""
        match incoming.message:
            case SpendTokens() as spend:
                return self._spend(incoming.sender, spend, now)
            case SpendAtOwnerRequest() as asked:
                return self._spend_as_owner(incoming.sender, asked, now)
            case SpendAtOwnerAnswer() as spent:
                return self._on_owner_answer(spent)
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
        """Decide alone where the owner has not answered."""
        batch: list[Outgoing] = []
        while self._pending_by_number:
            number, waiting = next(iter(self._pending_by_number.items()))
            if waiting.answer_by > now:
                break
            del self._pending_by_number[number]
            self._record_silence(waiting.owner_id, now)
            batch.append(self._decide_locally(waiting.sender, waiting.spend, now))
        return batch

    def wake_at(self) -> float | None:
        """Return when the oldest question to an owner expires."""
        for waiting in self._pending_by_number.values():
            return waiting.answer_by
        return None

    def status(self, now: float) -> Status:
        """Return the caps that this gateway keeps."""
        return {
            "owned": {
                team: round(owned.bucket.level)
                for team, owned in self._owned_by_team.items()
            },
            "asking": len(self._pending_by_number),
        }

    def gauges(self) -> dict[str, float]:
        """Return the number of caps kept here."""
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
        question = SpendAtOwnerRequest(number, spend.team, spend.tokens)
        return [Outgoing(Address(owner, CAPS_TASK), question)]

    def _spend_as_owner(
        self, sender: Address, asked: SpendAtOwnerRequest, now: float
    ) -> list[Outgoing]:
        team = self._team_by_name.get(asked.team)
        if team is None:
            # The asker may know a newer desired state; it decides alone.
            return []
        answer: Message
        if not team.has_cap:
            answer = SpendAtOwnerAnswer(asked.number, True, 0.0)
        else:
            owned = self._owned(team, now)
            taken = self._spend_owned(
                owned, sender.instance_id, team, asked.tokens, now
            )
            wait_s = taken.retry_after_s if isinstance(taken, TokensRefused) else 0.0
            granted = isinstance(taken, TokensGranted)
            answer = SpendAtOwnerAnswer(asked.number, granted, wait_s)
        return [Outgoing(sender, answer)]

    def _on_owner_answer(self, spent: SpendAtOwnerAnswer) -> list[Outgoing]:
        waiting = self._pending_by_number.pop(spent.number, None)
        if waiting is None:
            # The request was decided alone; what the owner granted is not used.
            return []
        self._silent_until_by_id.pop(waiting.owner_id, None)
        if spent.granted:
            return [Outgoing(waiting.sender, TokensGranted("owner"))]
        return [Outgoing(waiting.sender, TokensRefused("owner", spent.retry_after_s))]

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
        self, owned: _OwnedCap, asker: str, team: Team, tokens: int, now: float
    ) -> TokensGranted | TokensRefused:
        owned.asked_at_by_id[asker] = now
        share = self._owner_share(owned, now)
        per_s, burst = team.tokens_per_s * share, team.burst_tokens * share
        if (per_s, burst) != (owned.bucket.per_s, owned.bucket.capacity):
            owned.bucket.resize(per_s, burst, now)
        debt = DEBT_SLACK_SHARE * self._slack(team) * share
        if owned.bucket.try_take(tokens, now, debt):
            return TokensGranted("owner")
        return TokensRefused("owner", owned.bucket.wait_s(tokens, now, debt))

    def _owner_share(self, owned: _OwnedCap, now: float) -> float:
        """Return the part of rate and burst that this owner may grant."""
        if self._session.valid_lease_id(now) is not None:
            absent = sum(
                1 for until in self._absent_until_by_id.values() if now < until
            )
            return len(self._member_ids) / (len(self._member_ids) + absent)
        recent = sum(
            1 for at in owned.asked_at_by_id.values() if now - at < ASKER_TTL_S
        )
        return min(recent / len(self._member_ids), 1.0)

    def _owned(self, team: Team, now: float) -> _OwnedCap:
        owned = self._owned_by_team.get(team.name)
        if owned is None:
            # Whoever kept the cap before may have granted the whole burst just now.
            start = min(team.burst_tokens, START_SLACK_SHARE * self._slack(team))
            bucket = TokenBucket(team.tokens_per_s, team.burst_tokens, start, now)
            owned = _OwnedCap(bucket)
            self._owned_by_team[team.name] = owned
            log_event(logger, logging.INFO, "cap_owned", team=team.name)
        return owned

    def _slack(self, team: Team) -> float:
        bounds = self._bounds
        window = team.tokens_per_s * bounds.cap_window_s + team.burst_tokens
        return window * bounds.cap_overage + bounds.cap_slack_tokens

    def _local_size(self, team: Team) -> tuple[float, float]:
        """Return rate and capacity of a bucket that needs no owner."""
        part = self._slack(team) * LOCAL_SLACK_SHARE / len(self._member_ids)
        per_s = part * (1 - LOCAL_BURST_SHARE) / self._bounds.cap_window_s
        return per_s, part * LOCAL_BURST_SHARE

    def _record_absent(self, present: Collection[str], now: float) -> None:
        gone = set(self._member_ids) - set(present)
        self._absent_until_by_id = {
            name: until
            for name, until in self._absent_until_by_id.items()
            if now < until and name not in present
        } | dict.fromkeys(gone, now + ABSENCE_TTL_S)

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
        """Begin the caps that are kept here, so that they fill before they are used."""
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
