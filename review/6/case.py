"""A faulty server whose trailers never end lets gateways exceed their memory."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site2 import (  # noqa: E402
    Gateway,
    Message,
    Record,
    Server,
    Site,
    call,
    chunk,
    config_document,
    encode_answer,
    encode_request,
    read_message,
    run_case,
)

# The smallest machine of bennani-ordres-grown.
LIMITS = {
    "cpu_share": 0.387,
    "cores": 1,
    "memory_mb": 160,
    "max_fds": 1638,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
GATEWAYS = 2
# Clients at one gateway; each sends one request after the other.
CLIENTS = 4
PAUSE_S = 0.5
# What the faulty server sends of its trailers, in lines of six bytes or so.
BYTES_PER_S = 2_000_000
STEP_S = 0.05
WATCHED_S = 15.0
RESTART_S = 1.0
# Ordinary callers at one gateway: each sends one unsafe request after the other on a
# kept channel. `work ms` of the sheet is 22.5.
ORDINARY = 16
WORK_S = 0.0225
# `contact_ms` of the site is 4,000.
CONTACT_S = 4.0
# LOST allows three.
ALLOWED_LOST = 3


class Catalog(Server):
    """A plain server; a faulty one sends trailers that never end."""

    is_faulty = False

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if not self.is_faulty:
            await super().run(request, writer)
            return
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        head += [f"{name}: {text}" for name, text in self.stamp(request).items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        writer.write(chunk(b"done") + b"0\r\n")
        number = 0
        # Until the caller closes.
        while not writer.is_closing():
            lines = bytearray()
            while len(lines) < BYTES_PER_S * STEP_S:
                lines += b"%x:\r\n" % number
                number += 1
            writer.write(lines)
            await writer.drain()
            await asyncio.sleep(STEP_S)


class Desk(Server):
    """A sound plain server."""

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(encode_answer(200, b"recorded", self.stamp(request)))


class KeptChannels:
    """Ordinary callers, and their requests that ended without an answer."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.answered = 0
        # Ids of requests on a channel that had brought an answer before.
        self.unanswered: list[str] = []

    async def run(self, gateway: Gateway) -> None:
        """Send requests on a channel until it ends, then on the next one."""
        while True:
            try:
                await self._use(gateway)
            except OSError:
                pass
            await asyncio.sleep(0.2)

    async def _use(self, gateway: Gateway) -> None:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        is_kept = False
        try:
            while True:
                headers = self.site.request_headers()
                writer.write(encode_request("POST", "/deposit/1", headers, b"deposit"))
                try:
                    answer = await read_message(reader)
                except (OSError, asyncio.IncompleteReadError):
                    if is_kept:
                        self.unanswered.append(headers["Request-Id"])
                    return
                self.answered += answer.status == 200
                is_kept = True
                if answer.headers.get("connection") == "close":
                    return
        finally:
            writer.close()


def memory_mb(gateway: Gateway) -> float:
    """Return the memory that the process has now."""
    try:
        text = Path(f"/proc/{gateway.process.pid}/status").read_text()
    except OSError:
        return 0.0
    found = [line for line in text.splitlines() if line.startswith("VmRSS")]
    return int(found[0].split()[1]) / 1000 if found else 0.0


async def watch_memory(gateway: Gateway, ends: list[str], record: Record) -> None:
    """Do as the platform: end a process above its memory, and start it again."""
    while True:
        await asyncio.sleep(0.05)
        used_mb = memory_mb(gateway)
        if used_mb > LIMITS["memory_mb"]:
            record.note(f"{gateway.name} has {used_mb:.0f} MB and is ended")
            ends.append(gateway.name)
            await gateway.stop(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            gateway.start()


async def case(site: Site, record: Record, trouble: bool) -> int:
    catalogs = [Catalog(site, f"catalog-{n}", "catalog") for n in range(2)]
    desks = [Desk(site, f"desk-{n}", "desk") for n in range(3)]
    config = config_document()
    config["services"].append({"name": "catalog", "health_path": "/health"})
    next(one for one in config["routes"] if one["name"] == "r-status")["service"] = (
        "catalog"
    )
    await site.start(config, catalogs + desks)
    await site.start_gateways(GATEWAYS, limits=LIMITS)
    ends: list[str] = []
    callers = KeptChannels(site)
    watches = []
    for gateway in site.gateways:
        watches.append(asyncio.create_task(watch_memory(gateway, ends, record)))
        for _ in range(ORDINARY):
            watches.append(asyncio.create_task(callers.run(gateway)))
    # All machines are in touch from now on.
    await asyncio.sleep(CONTACT_S + 1.0)
    if trouble:
        catalogs[0].is_faulty = True
        record.note("catalog-0, one of two servers of its service, turns faulty")
    counts: dict[str, int] = {}

    async def send(gateway: Gateway) -> None:
        while True:
            address = (gateway.ip, gateway.front)
            answer = await call(
                address, "GET", "/status/1", site.request_headers(), timeout_s=4.0
            )
            text = answer if isinstance(answer, str) else str(answer.status)
            counts[text] = counts.get(text, 0) + 1
            await asyncio.sleep(PAUSE_S)

    async def note() -> None:
        while True:
            used = {one.name: round(memory_mb(one)) for one in site.gateways}
            running = [len(one.runs) for one in catalogs]
            record.note(
                f"memory in MB {used}, begun at catalogs {running}, ended {counts}"
            )
            await asyncio.sleep(1.0)

    notes = asyncio.create_task(note())
    clients = [
        asyncio.create_task(send(gateway))
        for gateway in site.gateways
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(WATCHED_S)
    for task in (notes, *watches, *clients):
        task.cancel()
    record.note(f"requests {counts}; processes ended for their memory: {ends}")
    run_ids = [run.headers["request-id"] for desk in desks for _, run in desk.runs]
    lost = [one for one in callers.unanswered if one in run_ids]
    record.note(f"deposits of ordinary callers: {callers.answered} answered")
    for one in callers.unanswered:
        how = "run by a server" if one in run_ids else "not run"
        record.note(f"deposit {one} on a kept channel: {how}, never answered")
    return 1 if ends and len(lost) > ALLOWED_LOST else 0


if __name__ == "__main__":
    os.chdir(FOLDER)
    run_case(FOLDER, case)
