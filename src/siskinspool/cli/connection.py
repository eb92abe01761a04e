"""Access of the client to the key-value service and the instances."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

import attrs
import click
from gevent.pool import Pool

from ..core.member import Member
from ..manifest.publisher import (
    ActiveConfiguration,
    ConfigurationUnreadable,
    NoConfiguration,
    Publisher,
)
from ..store.bounded_client import BoundedClient
from ..store.etcd import EtcdKeyValueService
from ..store.keys import SESSION_PREFIX
from ..store.kv import LostAnswerError, UnavailableError
from ..store.session_keeper import decode_session
from .output import ExitStatus, fail

INSTANCE_TIMEOUT_S: Final = 3.0
MAX_STATUS_BYTES: Final = 16 * 1024 * 1024
# Bounds the duration of a command when many instances do not answer.
MAX_PARALLEL_REQUESTS: Final = 50
Json = dict[str, Any]


@dataclass(frozen=True)
class NoAnswer:
    """The reason why an instance gave no usable answer."""

    reason: str
    # HTTP status, or 0 if no response arrived.
    status: int = 0


@attrs.frozen
class HostPort(click.ParamType[tuple[str, int]]):
    """A click parameter type for ``host:port``."""

    name = "host:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Return the host and the port."""
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            self.fail(f"'{value}' is not host:port, such as 10.0.1.5:2379", param, ctx)
        return host, int(port)


@attrs.frozen
class Connection:
    """The endpoint and the token with which commands reach the system."""

    kv: tuple[str, int]
    operator_token: str

    def gateway(self) -> EtcdKeyValueService:
        """Return a client of the key-value service."""
        return EtcdKeyValueService(*self.kv)

    def publisher(self) -> Publisher:
        """Return a publisher of manifests."""
        return Publisher(self.gateway())

    def read_configuration(self) -> ActiveConfiguration:
        """Return the configuration in force; exit if there is none."""
        current = self.publisher().read()
        if isinstance(current, ConfigurationUnreadable):
            fail(ExitStatus.UNREACHABLE, "service_unreachable", current.reason)
        if isinstance(current, NoConfiguration):
            fail(ExitStatus.REFUSED, "nothing_in_force", "apply a manifest first")
        return current

    def members(self) -> dict[str, Member]:
        """Return the instances with a session by id; exit if they cannot be read."""
        try:
            return self.find_members()
        except (LostAnswerError, UnavailableError) as error:
            fail(ExitStatus.UNREACHABLE, "service_unreachable", str(error))

    def find_members(self) -> dict[str, Member]:
        """Return the instances with a session by id.

        Raise LostAnswerError or UnavailableError if the service cannot be read.
        """
        items = self.gateway().list(SESSION_PREFIX)
        members: dict[str, Member] = {}
        for item in items:
            instance_id = item.key[len(SESSION_PREFIX) :]
            member = decode_session(instance_id, item.value)
            if member is not None:
                members[instance_id] = member
        return members

    def fetch(self, member: Member, path: str) -> Json | NoAnswer:
        """Return the JSON object that an instance answers at a path."""
        client = BoundedClient(
            member.listen_host,
            member.listen_port,
            connect_timeout_s=INSTANCE_TIMEOUT_S,
            timeout_s=INSTANCE_TIMEOUT_S,
            connections=1,
            max_answer_bytes=MAX_STATUS_BYTES,
        )
        headers = {}
        if self.operator_token:
            headers["Authorization"] = f"Bearer {self.operator_token}"
        try:
            response = client.get(path, headers=headers)
            data = bytes(response.read())
            if response.status_code != 200:
                code = int(response.status_code)
                return NoAnswer(f"status {code}", code)
            answer = json.loads(data)
        except (OSError, ValueError) as error:
            return NoAnswer(str(error) or type(error).__name__)
        finally:
            client.close()
        if not isinstance(answer, dict):
            return NoAnswer("the answer is no JSON object")
        return answer

    def fetch_all(self, path: str) -> dict[str, Json | NoAnswer]:
        """Return the answer of each instance with a session, by id."""
        return self.fetch_from(self.members(), path)

    def fetch_from(
        self, member_by_id: dict[str, Member], path: str
    ) -> dict[str, Json | NoAnswer]:
        """Return the answer of each of the given instances, by id."""
        members = sorted(member_by_id.items())
        pool = Pool(MAX_PARALLEL_REQUESTS)
        answers = pool.map(lambda item: self.fetch(item[1], path), members)
        instance_ids = [instance_id for instance_id, _ in members]
        return dict(zip(instance_ids, answers, strict=True))


pass_connection = click.make_pass_decorator(Connection)
