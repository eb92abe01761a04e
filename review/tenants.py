"""Stand-in for the requesters of two teams, `calm` and `hot`.

Requesters of `calm` send one request after the other on a channel that they keep. Those
of `hot` open a new channel for each request and ask for its end after the answer. They
come at a steady rate, which is multiplied for a while.

Writes a JSON line for each request of `calm` that got no complete answer, and a last one
with counts.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import time

HOST = "site.example"
DEADLINE_MS = 4000
# A requester waits this long before it sends again.
PAUSE_S = 0.1


def encode(method: str, request_id: str, key: str, extra: str = "") -> bytes:
    """Return the bytes of a request without a body."""
    path = "status" if method == "GET" else "deposit"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    return (
        f"{method} /{path}/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n{length}{extra}"
        f"Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        f"Authorization: Bearer {key}\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bool]:
    """Return the status of an answer, and whether the channel closes after it."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0].split()[1], headers.get("connection") == "close"


async def calm(number: int, port: int, counts: collections.Counter[str]) -> None:
    """Send requests on a kept channel."""
    channel = None
    method = "POST" if number % 2 else "GET"
    for count in range(1_000_000):
        request_id = f"calm{number}-{count}"
        sent_at, kind = time.time(), "kept"
        try:
            if channel is None:
                kind = "new"
                channel = await asyncio.open_connection("127.0.0.1", port)
            sent_at = time.time()
            channel[1].write(encode(method, request_id, "key-calm"))
            result, closes = await read_answer(channel[0])
            if closes:
                channel[1].close()
                channel = None
        except (OSError, asyncio.IncompleteReadError):
            result = "unconnected" if channel is None else "closed"
            if channel is not None:
                line = {
                    "id": request_id,
                    "channel": kind,
                    "method": method,
                    "result": result,
                    "sent_at": sent_at,
                    "ended_at": time.time(),
                }
                print(json.dumps(line), flush=True)
                channel[1].close()
            channel = None
        counts[f"calm {result}"] += 1
        await asyncio.sleep(PAUSE_S)


async def hot(request_id: str, port: int, counts: collections.Counter[str]) -> None:
    """Send one request on a channel of its own."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(encode("GET", request_id, "key-hot", "Connection: close\r\n"))
        result, _ = await read_answer(reader)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        result = "unanswered"
    counts[f"hot {result}"] += 1


async def main() -> None:
    """Send requests for some time."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True)
    parser.add_argument("--calm", type=int, required=True)
    for name in (
        "--hot-per-s",
        "--hot-x",
        "--hot-at-s",
        "--hot-s",
        "--clump-s",
        "--length-s",
    ):
        parser.add_argument(name, type=float, required=True)
    options = parser.parse_args()
    ports = json.loads(options.ports)
    counts: collections.Counter[str] = collections.Counter()
    tasks = {
        asyncio.create_task(calm(number, ports[number % len(ports)], counts))
        for number in range(options.calm)
    }
    started_at = next_at = time.time()
    number = 0
    while time.time() < started_at + options.length_s:
        elapsed_s = time.time() - started_at
        is_hot = options.hot_at_s <= elapsed_s < options.hot_at_s + options.hot_s
        rate = options.hot_per_s * (options.hot_x if is_hot else 1.0)
        while next_at <= time.time():
            port = ports[number % len(ports)]
            tasks.add(asyncio.create_task(hot(f"hot{number}", port, counts)))
            number += 1
            next_at += 1 / rate
        # They come in clumps, at all times.
        await asyncio.sleep(options.clump_s)
    print(json.dumps({"counts": counts}), flush=True)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


asyncio.run(main())
