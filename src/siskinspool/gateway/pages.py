"""Internal pages: readiness for the platform, metrics and status for operators."""

from __future__ import annotations

from typing import Any, Final
from urllib.parse import parse_qsl

import attrs
import msgspec

from ..core.message import Incoming, Message
from ..core.status import GaugesReply, GetGauges, GetStatus, StatusReply
from ..core.task import Task
from ..links.caller import StartResponse, status_line
from ..links.http_server import CallerHandler, CallerServer
from ..protection.connection_table import ConnectionTable
from ..protection.limit_counters import Limit
from ..settings import Endpoint
from .choice_explanation import ChoiceExplained, ExplainChoice
from .front_task import FrontTask
from .messages import ROUTING_TASK
from .request_context import RequestContext

STATUS_TIMEOUT_S: Final = 1.0


class PagesTask(Task):
    """Serves readiness, metrics and status; task name ``pages``."""

    def __init__(
        self,
        front: FrontTask,
        context: RequestContext,
        ready: Endpoint,
        metrics: Endpoint,
        ready_path: str,
        status_tasks: tuple[str, ...],
    ) -> None:
        """Bind the listeners."""
        super().__init__("pages", context.dispatcher, context.clock)
        self._front = front
        self._metrics = context.metrics
        self._ready_path = ready_path
        self._status_tasks = status_tasks
        settings = front.protection.settings
        self._servers = [
            CallerServer(
                (endpoint.host, endpoint.port),
                application,
                front.protection,
                handler_class=CallerHandler,
                connections=ConnectionTable(
                    settings.page_connections, settings.shed_lag_s
                ),
                eviction_limit=Limit.PAGE_CONNECTION,
            )
            for endpoint, application in (
                (ready, self._serve_readiness),
                (metrics, self._serve_internal),
            )
        ]
        for server in self._servers:
            server.init_socket()
        self.ready_port, self.metrics_port = (
            int(server.server_port or 0) for server in self._servers
        )

    def start(self) -> None:
        """Start the task and its listeners."""
        super().start()
        for server in self._servers:
            server.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.stop(timeout=0.1)
        super().stop(timeout_s)

    def handle(self, incoming: Incoming) -> None:
        """Ignore messages; the task has no state to update."""

    def _serve_readiness(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        is_ready_path = environ["PATH_INFO"] == self._ready_path
        status = 404 if not is_ready_path else 200 if self._front.is_ready else 503
        start_response(status_line(status), [("Content-Length", "0")])
        return []

    def _serve_internal(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        match environ["PATH_INFO"]:
            case "/metrics":
                self._collect_gauges()
                status, kind, body = 200, "text/plain", self._metrics.text()
            case "/status":
                status, kind, body = 200, "application/json", self._status()
            case "/explain":
                body = self._explain(environ.get("QUERY_STRING", ""))
                status, kind = 200 if body else 503, "application/json"
            case _:
                status, kind, body = 404, "text/plain", b""
        start_response(status_line(status), [("Content-Type", kind)])
        return [body]

    def _collect_gauges(self) -> None:
        for task in self._status_tasks:
            answer = self._ask(task, GetGauges())
            if isinstance(answer, GaugesReply):
                self._metrics.set_gauges(answer.value_by_name)
        self._metrics.set_gauges(self._front.protection.gauges())

    def _status(self) -> bytes:
        status = {}
        for task in self._status_tasks:
            answer = self._ask(task, GetStatus())
            if isinstance(answer, StatusReply):
                status[task] = answer.fields
        return msgspec.json.encode(status)

    def _explain(self, query: str) -> bytes:
        """Return where a request would go, empty if there is no answer in time."""
        value_by_name = dict(parse_qsl(query))
        question = ExplainChoice(
            service=value_by_name.get("service", ""),
            model=value_by_name.get("model", ""),
            adapter=value_by_name.get("adapter", ""),
        )
        answer = self._ask(ROUTING_TASK, question)
        if not isinstance(answer, ChoiceExplained):
            return b""
        return msgspec.json.encode(attrs.asdict(answer))

    def _ask(self, task: str, message: Message) -> Message | None:
        recipient = self.dispatcher.address(task)
        return self.dispatcher.ask(recipient, message, STATUS_TIMEOUT_S)
