"""UNASKED: a request inside the body of another request is run by a server.

A requester sends one POST at a time, each on a channel of its own. Its body, whose
length is given by Content-Length, contains the text of a second request. With trouble,
the head of the POST also has one of these:

- `Transfer-Encoding: chunked` beside the Content-Length, and the body begins with an
  empty last chunk;
- a line with a space before its colon, before the Content-Length.

A server may run the POST with its whole body, or the gateway may refuse it. It must not
run what stands in the body.
"""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import HOST, KEY, Site, desired_state, route, run_case

ROUNDS = 4
COMMON = f"Host: {HOST}\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer {KEY}\r\n"
LAST_CHUNK = "0\r\n\r\n"


def inner_request(request_id: str) -> str:
    return f"GET /status/inner HTTP/1.1\r\n{COMMON}Request-Id: {request_id}\r\n\r\n"


def length_and_chunked(body: str) -> tuple[str, str]:
    body = LAST_CHUNK + body
    return f"Content-Length: {len(body)}\r\nTransfer-Encoding: chunked\r\n", body


def space_before_colon(body: str) -> tuple[str, str]:
    return f"X-Note : a\r\nContent-Length: {len(body)}\r\n", body


def plain(body: str) -> tuple[str, str]:
    return f"Content-Length: {len(body)}\r\n", body


def exchange(port: int, data: bytes) -> bytes:
    """Send the bytes of one request; return all that comes within a second."""
    answer = b""
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as channel:
        channel.sendall(data)
        try:
            while part := channel.recv(65536):
                answer += part
        except OSError:
            pass
    return answer


def play(site: Site, has_trouble: bool) -> bool:
    services = [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 110,
            "cold_s": 0,
            "cold_per_s": 0,
        }
    ]
    routes = [route("status", "safe", "desk"), route("deposit", "unsafe", "desk")]
    site.put("op/config", desired_state(1, routes, services))
    server = site.start_server("i-one", "desk", "zone-a")
    gateways = [site.start_gateway(f"front-{n}", "zone-a") for n in range(2)]
    site.wait_ready({"i-one"})
    forms = [length_and_chunked, space_before_colon] if has_trouble else [plain]
    sent = {}
    for number in range(ROUNDS * len(forms)):
        form = forms[number % len(forms)]
        outer_id, inner_id = f"outer{number}", f"inner{number}"
        head, body = form(inner_request(inner_id))
        data = (
            f"POST /deposit/{number} HTTP/1.1\r\n{COMMON}Request-Id: {outer_id}\r\n"
            f"{head}\r\n{body}"
        ).encode()
        sent[outer_id] = body
        site.record(event="sent", id=outer_id, form=form.__name__, bytes=data.decode())
        answer = exchange(gateways[number % 2]["front"], data)
        site.record(event="received", id=outer_id, bytes=answer.decode("latin-1"))
    time.sleep(0.5)
    runs = server.runs()
    for run in runs:
        site.record(event="run", id=run["id"], path=run["path"])
    unasked = [run["id"] for run in runs if run["id"] not in sent]
    ran = [run["id"] for run in runs if run["id"] in sent]
    print(
        f"sent {len(sent)}; run as sent {len(ran)}; run though nobody sent it {unasked}"
    )
    return bool(unasked)


run_case(Path(__file__).resolve().parent, play)
