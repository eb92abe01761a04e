"""The members of a site: the instances with a live session."""

from __future__ import annotations

import attrs

from .message import Message


@attrs.frozen
class Member:
    """An instance with a live session."""

    instance_id: str
    # Changes with every start of the process.
    incarnation: str
    zone: str
    # Address on which the peer link listens.
    host: str
    port: int
    draining: bool = False
    # Address to which callers and operators connect.
    listen_host: str = ""
    listen_port: int = 0
    # For calls that this instance relays to servers; 0 if it relays none.
    relay_port: int = 0


@attrs.frozen
class MembershipChanged(Message):
    """The instances with a live session, this one included."""

    member_by_id: dict[str, Member]
