"""Stand-in for requesters with kept channels, behind the platform's ingress.

Each requester sends a request every PERIOD seconds on its channel and keeps it open in
between. It respects `Connection: close`, and opens a new channel for its next request
when its channel is closed. The ingress asks each gateway once a second whether it is
ready; after two misses a gateway gets no new channels until it answers 200 again.

Reads the time at which to end from standard input (any line ends it), and writes one
JSON line for each request that got no complete answer, and a last one with counts.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import math
import os
import random
import sys
import time

HOST = "site.example"
KEY = "k1"


class Ingress:
    """The gateways that get new channels."""

    def __init__(self, gateways: list[dict[str, int]]) -> None:
        self.gateways = gateways
        self.misses = [0] * len(gateways)

    def choose(self, rng: random.Random) -> int:
        usable = [n for n, misses in enumerate(self.misses) if misses < 2]
        return rng.choice(usable or list(range(len(self.gateways))))

    async def watch(self, number: int) -> None:
        while True:
            ready = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(
                        "127.0.0.1", self.gateways[number]["ready"]
                    ),
                    1.0,
                )
                writer.write(
                    b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                line = await asyncio.wait_for(reader.readline(), 1.0)
                ready = b" 200 " in line
                writer.close()
            except (TimeoutError, OSError):
                pass
            self.misses[number] = 0 if ready else self.misses[number] + 1
            await asyncio.sleep(1.0)


async def requester(
    name: str,
    ingress: Ingress,
    options: argparse.Namespace,
    counts: collections.Counter,
) -> None:
    rng = random.Random(f"{options.seed}-{name}")
    # Requests come in clumps: at whole multiples of `clump_s`.
    begin_at = time.time() + rng.uniform(0, options.period_s)
    next_at = math.ceil(begin_at / options.clump_s) * options.clump_s
    await asyncio.sleep(next_at - time.time())
    channel = None
    for number in range(1_000_000):
        request_id = f"{name}-{number}"
        sent_at, result, gateway = time.time(), "", -1
        try:
            if channel is None or channel[1].is_closing() or channel[0].at_eof():
                gateway = ingress.choose(rng)
                port = ingress.gateways[gateway]["front"]
                channel = (*await asyncio.open_connection("127.0.0.1", port), gateway)
            reader, writer, gateway = channel
            sent_at = time.time()
            writer.write(
                f"GET /status/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {options.deadline_ms}\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
            await reader.readexactly(int(headers.get("content-length", "0")))
            result = lines[0].split()[1]
            if headers.get("connection") == "close":
                writer.close()
                channel = None
        except (OSError, asyncio.IncompleteReadError) as error:
            result = type(error).__name__
            print(
                json.dumps(
                    {
                        "id": request_id,
                        "gateway": gateway,
                        "sent_at": sent_at,
                        "ended_at": time.time(),
                        "result": result,
                    }
                ),
                flush=True,
            )
            if channel is not None:
                channel[1].close()
            channel = None
        counts[result] += 1
        while next_at < time.time():
            next_at += options.period_s
        await asyncio.sleep(next_at - time.time())


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateways", required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--period-s", type=float, required=True)
    parser.add_argument("--clump-s", type=float, required=True)
    parser.add_argument("--deadline-ms", type=int, required=True)
    parser.add_argument("--seed", required=True)
    options = parser.parse_args()
    ingress = Ingress(json.loads(options.gateways))
    counts: collections.Counter = collections.Counter()
    tasks = [
        asyncio.create_task(ingress.watch(n)) for n in range(len(ingress.gateways))
    ]
    tasks += [
        asyncio.create_task(requester(f"{options.seed}r{n}", ingress, options, counts))
        for n in range(options.count)
    ]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    print(json.dumps({"counts": counts}), flush=True)
    os._exit(0)


asyncio.run(main())
