"""Stand-in for a plain service with calls that must not be repeated.

Every ``POST`` is one run; the run's number is in the answer, and the body's field
``ref`` (if any) counts how often the same business call ran. ``GET /admin/runs``
returns the counts by ref, and ``POST /admin/faults`` sets how the next calls end:
``{"reset_after_run": n}`` runs the call and closes the connection without an answer,
``{"delay_s": x}`` waits before answering. ``GET /stock`` is an idempotent check. The
service remembers whether any request carried a credential.
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
    """Faults in force."""

    reset_after_run: int = 0
    delay_s: float = 0.0


class PlainService(App):
    """WSGI application of the plain service stand-in."""

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()
        self._faults = ServiceFaults()
        self._credentials_seen = 0

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == "/admin/runs":
            return Response.from_json(
                {"runs": self._runs, "credentials_seen": self._credentials_seen}
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
        self._runs[ref] += 1
        run = self._runs[ref]
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
