"""Sites with faults, traffic and traces for tests of machines, zones and shares."""

from __future__ import annotations

import json
import re
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Final

import attrs
import gevent
from gevent.pool import Pool as Greenlets
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from siskinspool.contracts.limits_partition import limits_partition
from siskinspool.machines.ownership_records import decode_record
from siskinspool.machines.record_encoding import JsonRecordEncoding
from siskinspool.machines.reservations import ServerRecord
from siskinspool.manifest.model import Manifest
from siskinspool.standins.processes import Process, TrialProcesses, call, call_json
from siskinspool.standins.site import SitePlan, TrialSite, wait_until
from siskinspool.store.etcd import EtcdKeyValueService
from siskinspool.store.keys import OWNER_PREFIX, SERVERS_PREFIX, owner_key
from siskinspool.store.kv import LostAnswerError

from ..builders_shares import Charge

Json = dict[str, Any]
PLATFORM_PROXY: Final = "platform-proxy"


@contextmanager
def running_site(
    plan: SitePlan,
    folder: Path,
    change: Callable[[Manifest], Manifest] = lambda manifest: manifest,
    proxied: tuple[int, ...] = (),
) -> Iterator[TrialSite]:
    """Start a site; instances in ``proxied`` reach the platform through a proxy."""
    site = TrialSite(plan, TrialProcesses(folder))
    try:
        site.start_standins()
        site.publish(change(site.build_manifest()))
        direct = site.port_by_name["platform"]
        if proxied:
            proxy = site.processes.start(
                PLATFORM_PROXY,
                "siskinspool.standins.fault_proxy",
                "--target-port",
                str(direct),
            )
        for number in range(plan.instances):
            through = proxy.port if number in proxied else direct
            site.port_by_name["platform"] = through
            site.start_instance(number)
        site.port_by_name["platform"] = direct
        site.wait_ready()
        yield site
    finally:
        site.stop()


def set_proxy(site: TrialSite, **faults: Any) -> None:
    """Set faults of the proxy in front of the platform."""
    admin_port = int(
        site.processes.process_by_name[PLATFORM_PROXY].ready_message["admin_port"]
    )
    call_json(admin_port, "POST", "/admin/faults", faults)


def set_platform(site: TrialSite, **faults: Any) -> None:
    """Set faults of the platform."""
    call_json(site.platform.port, "POST", "/admin/faults", faults)


def set_engine(site: TrialSite, engine: str, **faults: Any) -> None:
    """Set faults of an engine."""
    call_json(site.engine_by_id[engine].port, "POST", "/admin/faults", faults)


def owner_of(site: TrialSite, partition: str) -> str:
    """Return the recorded owner of a partition; empty if there is none."""
    item = EtcdKeyValueService("127.0.0.1", site.platform.port).get(
        owner_key(partition)
    )
    return decode_record(item.value if item else None).instance


def owned_partitions(site: TrialSite, instance: str) -> set[str]:
    """Return the partitions that an instance is recorded to own."""
    items = EtcdKeyValueService("127.0.0.1", site.platform.port).list(OWNER_PREFIX)
    return {
        item.key.removeprefix(OWNER_PREFIX)
        for item in items
        if decode_record(item.value).instance == instance
    }


def quota_owner(site: TrialSite, team: str) -> str:
    """Return the instance whose quota allocator holds a team's contract."""
    wait_until(lambda: bool(owner_of(site, limits_partition(team))), "an allocator", 10)
    return owner_of(site, limits_partition(team))


def placement_owner(site: TrialSite) -> str:
    """Return the placement owner."""
    wait_until(lambda: bool(owner_of(site, "placement/trial")), "an owner", 10)
    return owner_of(site, "placement/trial")


def server_records(site: TrialSite) -> dict[str, ServerRecord]:
    """Return the reservations of all servers."""
    items = EtcdKeyValueService("127.0.0.1", site.platform.port).list(SERVERS_PREFIX)
    found = {}
    for item in items:
        record = JsonRecordEncoding().decode(item.value)
        if record is not None:
            found[item.key.removeprefix(SERVERS_PREFIX)] = record
    return found


@attrs.define
class DecidedLoads:
    """All replicas that a server's record has named, by server and target.

    The watch delivers each revision of a record, so none is missed.
    """

    site: TrialSite
    replica_ids: dict[tuple[str, str], set[str]] = attrs.field(factory=dict)
    highest_charge: dict[str, int] = attrs.field(factory=dict)

    def start(self) -> None:
        """Watch the records in a greenlet; call this before any load."""
        gevent.spawn(self._watch_records)

    def _watch_records(self) -> None:
        gateway = EtcdKeyValueService("127.0.0.1", self.site.platform.port)
        # The watch ends when the platform stops.
        with suppress(HTTPParseError, LostAnswerError):
            for event in gateway.watch(SERVERS_PREFIX, 1):
                if event.key is None or event.value is None:
                    continue
                record = JsonRecordEncoding().decode(event.value)
                if record is not None:
                    self._record(event.key.removeprefix(SERVERS_PREFIX), record)

    def _record(self, server: str, record: ServerRecord) -> None:
        highest = max(self.highest_charge.get(server, 0), record.reserved_mib)
        self.highest_charge[server] = highest
        for entry in record.reservations:
            key = (server, entry.target.adapter or entry.target.model)
            self.replica_ids.setdefault(key, set()).add(entry.replica_id)

    def undecided(self) -> dict[tuple[str, str], tuple[int, int]]:
        """Return the targets that an engine loaded more often than decided."""
        found = {}
        for server in self.site.engine_by_id:
            names: list[str] = self.site.engine_observations(server)["loads"]
            for name, loads in Counter(names).items():
                decided = len(self.replica_ids.get((server, name), ()))
                if loads > decided:
                    found[server, name] = (loads, decided)
        return found


@attrs.frozen
class Reply:
    """The answer to one request; times are monotonic seconds."""

    instance: str
    sent_at: float
    ended_at: float
    # 0 if the connection ended without a complete answer.
    status: int
    body: bytes

    @property
    def is_complete(self) -> bool:
        """Return whether the request was served and the answer is complete."""
        if self.status != 200:
            return False
        return b"data:" not in self.body or self.body.endswith(b"data: [DONE]\n\n")

    @property
    def problem(self) -> Json:
        """Return the problem document of a refusal; empty for other answers."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) and "code" in value else {}

    @property
    def outcome(self) -> str:
        """Return the kind of the outcome, for counting."""
        if self.is_complete:
            return "whole"
        if self.status == 0:
            return f"no answer: {self.body[:60]!r}"
        if self.status == 200:
            has_error_event = b"event: error" in self.body
            return "cut with an error event" if has_error_event else "cut"
        return f"{self.status} {self.problem.get('code')}"

    @property
    def is_explained(self) -> bool:
        """Return whether the caller got the answer or the reason for its absence."""
        has_reason = self.problem.get("run") in ("not_run", "run", "unknown")
        if self.status == 500 and not self.problem:
            # The engine answers this way if it becomes cold before the first token.
            return True
        return (
            self.is_complete or has_reason or self.outcome == "cut with an error event"
        )


@attrs.define
class RequestTraffic:
    """Sends requests in greenlets; replies are in the order in which they ended."""

    site: TrialSite
    replies: list[Reply] = attrs.field(factory=list)
    _callers: Greenlets = attrs.field(factory=lambda: Greenlets(400))
    _sources: list[gevent.Greenlet[..., None]] = attrs.field(factory=list)

    def send(
        self,
        instance: str,
        path: str,
        body: Json,
        team: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send one request without waiting for its answer."""
        self._callers.spawn(self._call, instance, path, body, team, headers or {})

    def send_model_request(
        self,
        instance: str,
        model: str,
        team: str = "guild",
        tokens: int = 4,
        deadline_ms: int = 20_000,
    ) -> None:
        """Send one streamed model request."""
        body = {"model": model, "max_tokens": tokens, "stream": True, "messages": []}
        headers = {"X-Siskin-Deadline-Ms": str(deadline_ms)}
        self.send(instance, "/v1/chat/completions", body, team, headers)

    def send_every(
        self, interval_s: float, send: Callable[[], None]
    ) -> gevent.Greenlet[..., None]:
        """Send at fixed intervals until `finish` or the end of the greenlet."""

        def run() -> None:
            next_at = time.monotonic()
            while True:
                send()
                next_at += interval_s
                gevent.sleep(max(0.0, next_at - time.monotonic()))

        source = gevent.spawn(run)
        self._sources.append(source)
        return source

    def stop_sending(self) -> None:
        """Stop all periodic senders."""
        gevent.killall(self._sources)
        self._sources.clear()

    def finish(self, timeout_s: float) -> None:
        """Stop sending and wait for all answers."""
        self.stop_sending()
        assert self._callers.join(timeout_s), "some callers got no answer"

    def outcomes(self) -> Counter[str]:
        """Return the number of replies by outcome."""
        return Counter(reply.outcome for reply in self.replies)

    def _call(
        self, instance: str, path: str, body: Json, team: str, headers: dict[str, str]
    ) -> None:
        sent_at = time.monotonic()
        status, data = 0, b""
        client = HTTPClient(
            "127.0.0.1",
            port=self.site.instance_by_id[instance].port,
            network_timeout=90,
            concurrency=1,
        )
        try:
            response = client.post(
                path,
                body=json.dumps(body).encode(),
                headers={**self.site.authorization_header(team), **headers},
            )
            status = int(response.status_code)
            if "event-stream" not in str(response.get("content-type")):
                data = bytes(response.read())
            else:
                # An interrupted stream ends without its last chunk, which is an error.
                while line := bytes(response.readline(b"\n")):
                    data += line
        except Exception as error:
            # The client raises many kinds of errors; all mean "no complete answer".
            data = data or repr(error).encode()
        finally:
            client.close()
        ended_at = time.monotonic()
        self.replies.append(Reply(instance, sent_at, ended_at, status, data))


_PAIR: Final = re.compile(r"(\w+)=(\S+)")


def log_events(site: TrialSite, event: str) -> list[tuple[str, dict[str, str]]]:
    """Return the events of one kind in the logs of all instances."""
    found = []
    for instance in site.instance_by_id:
        path = site.processes.folder / f"{instance}.log"
        for line in path.read_text(errors="replace").splitlines():
            if f"event={event} " in line:
                found.append((instance, dict(_PAIR.findall(line))))
    return found


def charges(site: TrialSite, team: str) -> list[Charge]:
    """Return the charges of a team at all instances, by the common monotonic clock."""
    charge_by_request = {
        pairs["request"]: Charge(int(pairs["at_us"]) / 1e6, float(pairs["tokens"]))
        for _, pairs in log_events(site, "tokens_spent")
        if pairs["team"] == team
    }
    for _, pairs in log_events(site, "tokens_settled"):
        charge = charge_by_request.get(pairs["request"])
        if charge is not None:
            charge.tokens = min(charge.tokens, float(pairs["tokens"]))
    return list(charge_by_request.values())


def wait_for_status(
    process: Process, path: str, status: int, timeout_s: float
) -> float:
    """Wait until a path of an instance answers with a status; return the time."""

    def answers() -> bool:
        try:
            return call(process.port, "GET", path, timeout_s=2)[0] == status
        except OSError:
            return False

    return wait_until(answers, f"{process.name}{path} answers {status}", timeout_s)
