"""Gateways that exchange the usage of their teams, without a network."""

from __future__ import annotations

import random

import attrs

from siskinspool.core.message import Address, Outgoing
from siskinspool.fairness.usage_exchange import REPORT_INTERVAL_S, UsageExchange
from siskinspool.links.codec import MsgpackCodec

from .builders_fairness import waiting_entry

# Length and headers of a message on a connection between gateways, in bytes.
FRAME_BYTES = 60
_CODEC = MsgpackCodec()


@attrs.define
class ExchangeSite:
    """Gateways of one site; each serves requests of some teams ten times a second."""

    cost_by_team_by_gateway: dict[str, dict[str, float]]
    loss: float = 0.0
    now: float = 100.0
    bytes_by_gateway: dict[str, int] = attrs.field(factory=dict)
    _exchange_by_id: dict[str, UsageExchange] = attrs.field(init=False)
    _random: random.Random = attrs.field(factory=lambda: random.Random(1))

    @_exchange_by_id.default
    def _build(self) -> dict[str, UsageExchange]:
        return {name: UsageExchange(name) for name in self.cost_by_team_by_gateway}

    def run(self, seconds: float) -> None:
        """Serve and exchange for a time."""
        member_ids = tuple(sorted(self._exchange_by_id))
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            self.now += REPORT_INTERVAL_S
            for name, exchange in self._exchange_by_id.items():
                for team, cost in self.cost_by_team_by_gateway[name].items():
                    entry = waiting_entry(team, cost=cost * REPORT_INTERVAL_S)
                    exchange.record_served(entry, self.now)
            for name, exchange in self._exchange_by_id.items():
                self._send(name, exchange, member_ids)

    def _send(
        self, name: str, exchange: UsageExchange, member_ids: tuple[str, ...]
    ) -> None:
        sent = exchange.next_report(member_ids, self.now)
        if sent is None:
            return
        outgoing = Outgoing(Address(sent.recipient_id, "routing"), sent.report)
        size = len(_CODEC.encode(Address(name, "routing"), outgoing)) + FRAME_BYTES
        self.bytes_by_gateway[name] = self.bytes_by_gateway.get(name, 0) + size
        if self._random.random() >= self.loss:
            self._exchange_by_id[sent.recipient_id].record_report(sent.report, self.now)

    def elsewhere(self, name: str) -> dict[str, float]:
        """Return the cost per second by team that a gateway assumes at the others."""
        count = len(self._exchange_by_id)
        rates = self._exchange_by_id[name].used_elsewhere(count, self.now)
        return {team: rate for _, team, rate in rates}
