"""Stand-in for the platform's calls for duties: usage reports and numbers of servers.

``GET /admin/seen`` returns the executed calls in their order, with monotonic times.
``POST /admin/faults`` sets ``down`` (status 503), ``delay_s`` (each call is executed
and answered so much later), ``lose_answers`` (this many calls are executed but get no
response), ``late_calls`` (this many calls get no response and are executed after
``late_s``) and ``too_many`` (this many calls get status 429).
"""

from __future__ import annotations

import time
from typing import Any, Final

import attrs
import click
import gevent

from .wsgi import App, CloseConnection, Json, Request, Response, serve

PATHS: Final = frozenset({"/usage", "/scale"})


@attrs.define
class _Faults:
    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_calls: int = 0
    late_s: float = 0.0
    too_many: int = 0


@attrs.frozen(kw_only=True)
class ExecutedCall:
    """A call in the order of execution, with its status."""

    path: str
    holder: str
    epoch: int
    body: str
    arrived_at: float
    executed_at: float
    status: int


class PlatformCloudApp(App):
    """HTTP interface of the platform and of its administration by tests."""

    def __init__(self, *, requires_epoch: bool) -> None:
        self._requires_epoch = requires_epoch
        self._faults = _Faults()
        self._calls: list[ExecutedCall] = []
        self._highest_epoch_by_subject: dict[str, int] = {}

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        match request.path:
            case "/admin/seen":
                calls = [attrs.asdict(call) for call in self._calls]
                return Response.from_json({"seen": calls})
            case "/admin/faults":
                for name, value in request.json().items():
                    setattr(self._faults, name, value)
                return Response.from_json({})
        if request.path not in PATHS or request.method != "POST":
            return Response.from_json({}, 404)
        return self._handle_call(request)

    def _handle_call(self, request: Request) -> Response:
        arrived_at = time.monotonic()
        faults = self._faults
        if faults.down:
            return Response.from_json({}, 503)
        if faults.too_many:
            faults.too_many -= 1
            return Response.from_json({}, 429)
        if faults.late_calls:
            faults.late_calls -= 1
            gevent.spawn_later(faults.late_s, self._execute, request, arrived_at)
            raise CloseConnection
        gevent.sleep(faults.delay_s)
        status = self._execute(request, arrived_at)
        if faults.lose_answers:
            faults.lose_answers -= 1
            raise CloseConnection
        return Response.from_json({}, status)

    def _execute(self, request: Request, arrived_at: float) -> int:
        epoch = int(request.headers["fence-token"])
        subject = _subject(request.path, request.json())
        highest = self._highest_epoch_by_subject.get(subject, 0)
        status = 409 if self._requires_epoch and epoch < highest else 200
        self._highest_epoch_by_subject[subject] = max(epoch, highest)
        call = ExecutedCall(
            path=request.path,
            holder=request.headers["duty-holder"],
            epoch=epoch,
            body=request.body.decode(),
            arrived_at=arrived_at,
            executed_at=time.monotonic(),
            status=status,
        )
        self._calls.append(call)
        return status


def _subject(path: str, body: Json) -> str:
    parts: list[Any] = [path, body.get("service", ""), body.get("zone", "")]
    return "/".join(parts)


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--require-fence", is_flag=True, help="Refuse lower epoch numbers.")
def main(port: int, require_fence: bool) -> None:
    """Run the stand-in for the platform's calls for duties."""
    serve(PlatformCloudApp(requires_epoch=require_fence), port)


if __name__ == "__main__":
    main()
