"""Stand-in for the weight store.

``GET /v1/checkpoints/<model>?load_s=<seconds>`` responds once a real store would have
sent the checkpoint. At most ``rate`` loads start per second. A load takes ``load_s``
while at most ``parallel`` loads run; with more it takes proportionally longer. Adapters
are read the same way under ``/v1/adapters/<adapter>``, with a parallelism of their own
and no limit on the rate. ``POST /admin/slow`` with ``{"factor": x}`` multiplies the
time of every load.
"""

from __future__ import annotations

import time
from collections import Counter
from urllib.parse import parse_qs

import click
import gevent

from .wsgi import App, Request, Response, serve


class WeightStore(App):
    """WSGI application of the weight store stand-in."""

    def __init__(self, rate: float, parallel: int, adapter_parallel: int) -> None:
        self._interval_s = 1.0 / rate
        self._parallel_by_kind = {
            "checkpoints": parallel,
            "adapters": adapter_parallel,
        }
        self._running_by_kind: Counter[str] = Counter()
        self._load_count_by_name: Counter[str] = Counter()
        self._next_start = 0.0
        self._slow_factor = 1.0

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == "/admin/slow":
            self._slow_factor = float(request.json()["factor"])
            return Response.from_json({})
        if request.path == "/admin/counts":
            return Response.from_json(dict(self._load_count_by_name))
        _, _, kind, name = request.path.split("/", 3)
        load_s = float(parse_qs(request.query)["load_s"][0])
        self._load(kind, name, load_s)
        return Response.from_json({"name": name})

    def _load(self, kind: str, name: str, load_s: float) -> None:
        self._load_count_by_name[name] += 1
        if kind == "checkpoints":
            now = time.monotonic()
            start = max(now, self._next_start)
            self._next_start = start + self._interval_s
            gevent.sleep(start - now)
        self._running_by_kind[kind] += 1
        try:
            load_ratio = self._running_by_kind[kind] / self._parallel_by_kind[kind]
            gevent.sleep(load_s * max(1.0, load_ratio) * self._slow_factor)
        finally:
            self._running_by_kind[kind] -= 1


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--rate", default=1.5, help="Model loads that start per second.")
@click.option("--parallel", default=4, help="Concurrent model loads at full speed.")
@click.option(
    "--adapter-parallel", default=30, help="Concurrent adapter loads at full speed."
)
def main(port: int, rate: float, parallel: int, adapter_parallel: int) -> None:
    """Run the weight store stand-in."""
    serve(WeightStore(rate, parallel, adapter_parallel), port)


if __name__ == "__main__":
    main()
