"""Stand-in for a plain service with non-idempotent calls.

Every ``POST`` runs a business call. The field ``ref`` of the body identifies the call;
the response holds the number of its runs so far. ``GET /admin/runs`` returns the runs
by ``ref`` and how many requests carried a credential. ``POST /admin/faults`` sets
faults: ``{"reset_after_run": n}`` runs the next n calls but resets the connection
without a response, ``{"delay_s": x}`` waits before each response. ``GET /stock`` is an
idempotent call.
"""

from __future__ import annotations

import json
from collections import Counter

import attrs
import click
import gevent

from .wsgi import App, CloseConnection, Request, Response, has_credential, serve


@attrs.define
class ServiceFaults:
    """Faults that are currently injected."""

    reset_after_run: int = 0
    delay_s: float = 0.0


class PlainService(App):
    """WSGI application of the plain service stand-in."""

    def __init__(self) -> None:
        self._run_count_by_ref: Counter[str] = Counter()
        self._faults = ServiceFaults()
        self._credentials_seen = 0

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == "/admin/runs":
            return Response.from_json(
                {
                    "runs": self._run_count_by_ref,
                    "credentials_seen": self._credentials_seen,
                }
            )
        if request.path == "/admin/faults":
            for name, value in request.json().items():
                setattr(self._faults, name, value)
            return Response.from_json({})
        if has_credential(request):
            self._credentials_seen += 1
        if request.method == "GET":
            return Response.from_json({"in_stock": 7})
        return self._run(request)

    def _run(self, request: Request) -> Response:
        try:
            ref = str(request.json().get("ref", "-"))
        except json.JSONDecodeError:
            ref = "-"
        self._run_count_by_ref[ref] += 1
        run = self._run_count_by_ref[ref]
        if self._faults.reset_after_run > 0:
            self._faults.reset_after_run -= 1
            raise CloseConnection
        if self._faults.delay_s:
            gevent.sleep(self._faults.delay_s)
        return Response.from_json({"ref": ref, "run": run})


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
def main(port: int) -> None:
    """Run the plain service stand-in."""
    serve(PlainService(), port)


if __name__ == "__main__":
    main()
