"""Stand-in for a server of the platform; a plain one or one with models."""

from __future__ import annotations

import json
import socket as std_socket
import struct
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

HEARTBEAT_S = 1.2


class Server:
    """One server; ``answer`` may be replaced by a case."""

    def __init__(
        self,
        store,
        server_id,
        service,
        zone="zone-a",
        models=None,
        slots=16,
        version="v1",
    ):
        self.store, self.server_id, self.service = store, server_id, service
        self.zone, self.models, self.slots = zone, models, slots
        self.version = version
        # (time, request) of all requests that have arrived and were not rejected.
        self.ran = []
        # The same of all that have arrived, orders and reports too.
        self.arrived = []
        self.orders = []
        self.order_count = 0
        self.state = "ready"
        self.crashing_part = ""
        # The crash comes before a byte of the answer has left.
        self.crashes_silently = False
        self.crash_times = []
        self.pause = None
        self.work_s = 0.01
        # A plain server may answer with streams, too.
        self.streams = False
        self.events = 4
        self.event_s = 0.02
        # From the server's own disk.
        self.load_s = 1.2
        self.is_busy = False
        self._connections = set()
        self._listener = None
        self._port = 0
        self._heart = None
        self.held = list(models or [])
        self.start()

    @property
    def is_up(self):
        return self._listener is not None

    def start(self):
        """Begin a boot: listen and register."""
        self.born_ms = int(time.time() * 1000)
        self._listener = StreamServer(("127.0.0.1", self._port), self._serve)
        self._listener.reuse_addr = 1
        self._listener.start()
        self._port = self._listener.server_port
        self._heart = gevent.spawn(self._beat)

    @property
    def port(self):
        return self._port

    def crash(self, down_s):
        """Close all channels at once; start again under its id after a time."""
        if self._listener is None:
            return
        self.crash_times.append(time.monotonic())
        listener, self._listener = self._listener, None
        listener.close()
        self._heart.kill(block=False)
        for sock in list(self._connections):
            linger = struct.pack("ii", 1, 0)
            try:
                sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)
                sock.close()
            except OSError:
                pass
        self._connections.clear()
        # Servers restart empty, and their counts start anew.
        self.held, self.order_count, self.is_busy = [], 0, False
        gevent.spawn_later(down_s, self.start)

    def _beat(self):
        count = 0
        while True:
            count += 1
            self.register(count)
            gevent.sleep(HEARTBEAT_S)

    def register(self, count=0):
        """Write the registry entry."""
        if self.store.is_away:
            # It does not reach the store; the next report will.
            return
        self.store.put(
            f"servers/{self.server_id}",
            self._description()
            | {
                "service": self.service,
                "addr": f"127.0.0.1:{self._port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_ms": 0,
                "seq": count,
            },
        )

    def _description(self):
        document = {"born": self.born_ms}
        if self.models is not None:
            document |= {
                "stage": "colocated",
                "models": [
                    {"name": name, "version": 1, "adapters": []} for name in self.held
                ],
            }
        return document

    # One request a channel: the gateway asks for that with ``Connection: close``.

    def _serve(self, sock, _):
        self._connections.add(sock)
        try:
            sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
            request = read_request(sock)
            if request is not None:
                self.arrived.append((time.monotonic(), request))
                self._answer(sock, request)
        except OSError:
            pass
        finally:
            self._connections.discard(sock)
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            sock.close()

    def _answer(self, sock, request):
        headers = request["headers"]
        echo = {"Request-Id": headers.get("request-id", "")}
        if headers.get("expect-instance", self.server_id) != self.server_id:
            send(sock, 421, echo | {"Instance-Id": self.server_id})
        elif request["path"] == "/-/report":
            report = self._description() | {"seq": self.order_count}
            report |= {"busy": self.is_busy}
            report |= {"queued": 0, "running": 0, "kv_used": 0, "kv_total": 250000}
            send(sock, 200, {}, json.dumps(report | {"handles": 0}).encode())
        elif request["path"] == "/-/order":
            send(sock, self._order(json.loads(request["body"])), {})
        elif headers.get("model") and headers["model"] not in self.held:
            send(sock, 421, echo | {"Instance-Id": self.server_id})
        elif self.pause is not None and (stated := self.pause(request)):
            send(sock, 503, echo | {"Not-Run": "1"} | stated)
        else:
            self._run(sock, request, echo | {"Server-Stamp": f"{self.server_id}.1"})

    def _order(self, order):
        """Carry out an order as the pages say; epoch numbers are not checked."""
        self.orders.append((time.monotonic(), order))
        if self.is_busy or order.get("expect", self.order_count) != self.order_count:
            return 409
        model, loads = order["model"], order["op"] == "load"
        if loads == (model in self.held):
            return 200
        self.order_count += 1
        if loads:
            self.is_busy = True
            gevent.spawn_later(self.load_s, self._end_load, model, self.born_ms)
        else:
            self.held.remove(model)
            self.register()
        return 202

    def _end_load(self, model, born_ms):
        if born_ms != self.born_ms or not self.is_up:
            # It has crashed meanwhile.
            return
        self.is_busy = False
        self.held.append(model)
        self.register()

    def _run(self, sock, request, head):
        self.ran.append((time.monotonic(), request))
        parts = part_ids(request)
        head = head | {"Server-Load": f"1,0,{self.slots}"}
        if self.models is None and not self.streams:
            gevent.sleep(self.work_s)
            send(sock, 200, head, b"answer")
            return
        gevent.sleep(self.work_s)
        is_crashing = self.crashing_part and self.crashing_part in parts[:-1]
        if is_crashing and self.crashes_silently:
            self.crash(2.0)
            return
        sock.sendall(
            encode_head(
                200,
                head
                | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
            )
        )
        if is_crashing:
            sock.sendall(b"4\r\nid: \r\n")
            gevent.sleep(0.005)
            self.crash(2.0)
            return
        first = int(request["headers"].get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            data = f"piece {number} of {self.server_id} {self.version}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            gevent.sleep(self.event_s)
        sock.sendall(b"0\r\n\r\n")


def part_ids(request):
    text = request["headers"].get("prompt-prefix", "")
    return [item.partition(":")[0] for item in text.split(",") if item]


def read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(65536)
        if not block:
            return None
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        block = sock.recv(65536)
        if not block:
            return None
        body += block
    return {"method": method, "path": path, "headers": headers, "body": body}


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} Status", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(sock, status, headers, body=b""):
    sock.sendall(encode_head(status, headers | {"Content-Length": len(body)}) + body)
