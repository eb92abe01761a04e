"""Transfers of quota between instances while no quota allocator answers.

In an outage no instance can take over a partition, so an allocator that died is not
replaced. An instance whose requests lack tokens then sends a transfer request to its
peers in turn. A transfer is subtracted from the sender's share before it is sent, is
accepted once and only for the request that it answers, and does not outlive the
sender's own share.
"""

from __future__ import annotations

from typing import Final

from ..core.message import Address, Outgoing
from .share_messages import OUTAGE_HOLD_S, QuotaTransfer, TransferRequest
from .team_state import ALLOCATOR_SILENT_S, IDLE_AFTER_S, TeamState

PEER_REQUEST_INTERVAL_S: Final = 0.05


class PeerTransfers:
    """Transfer requests and transfers of one instance."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self.peers: list[str] = []
        self._next_peer = 0
        self._next_request_no = 1

    def build_request(
        self, team_id: str, state: TeamState, is_outage: bool, now: float
    ) -> list[Outgoing]:
        """Return a request to the next peer if calls wait in outage mode."""
        if not self.peers or not is_outage or not state.waiting:
            state.peer_request_at = None
            return []
        state.peer_request_at = now + PEER_REQUEST_INTERVAL_S
        peer = self.peers[self._next_peer % len(self.peers)]
        self._next_peer += 1
        number = self._next_request_no
        self._next_request_no += 1
        state.peer_requested_at_by_no[number] = now
        for old_number, requested_at in list(state.peer_requested_at_by_no.items()):
            if now > requested_at + ALLOCATOR_SILENT_S:
                del state.peer_requested_at_by_no[old_number]
        epoch = state.share.share_id[0]
        request = TransferRequest(
            team_id, number, self._incarnation, epoch, state.wanted_level
        )
        return [Outgoing(Address(peer, "limits"), request)]

    def handle_request(
        self,
        sender: Address,
        request: TransferRequest,
        state: TeamState,
        is_outage: bool,
        now: float,
    ) -> list[Outgoing]:
        """Return a transfer of part of the share if this instance can spare it."""
        if not is_outage or state.waiting:
            return []
        peer = (sender.instance_id, request.incarnation)
        if request.ask_no <= state.answered_request_by_peer.get(peer, 0):
            return []
        share = state.share
        share.advance(now, is_outage)
        if not share.is_held or request.epoch not in (0, share.share_id[0]):
            return []
        hold_s = min(share.hold_until - now, OUTAGE_HOLD_S)
        is_idle = now > state.used_at + IDLE_AFTER_S
        amount = share.transfer_out(request.wanted, is_idle) if hold_s > 0 else None
        if amount is None:
            return []
        state.answered_request_by_peer[peer] = request.ask_no
        epoch = share.share_id[0]
        transfer = QuotaTransfer(
            request.team, request.ask_no, request.incarnation, epoch, amount, hold_s
        )
        return [Outgoing(sender, transfer)]

    def apply_transfer(
        self, transfer: QuotaTransfer, state: TeamState, is_outage: bool, now: float
    ) -> bool:
        """Add a peer's transfer to the share; return False if it is too late."""
        if transfer.incarnation != self._incarnation or not is_outage:
            return False
        requested_at = state.peer_requested_at_by_no.pop(transfer.ask_no, None)
        if requested_at is None or now >= requested_at + transfer.hold_s:
            return False
        state.share.advance(now, is_outage)
        return state.share.transfer_in(
            transfer.epoch, transfer.piece, requested_at, transfer.hold_s, now
        )
