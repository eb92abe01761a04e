"""Status pages of this instance, for operators and callers.

``/v1/status`` shows everyone the instance, its revision and whether it is ready, and
adds the status of the tasks for requests with the operators' token. The tasks are
queried by message, so that no other greenlet accesses their state.
"""

from __future__ import annotations

import hmac
import json
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..contracts.call import HttpRequest
from ..core.dispatcher import Dispatcher
from ..core.errors import ErrorCode
from ..core.outcome import Refusal
from ..core.status import GetStatus, StatusReply
from ..telemetry.messages import GetHistograms, Histograms
from .caller import WholeAnswer, refusal_item

ASK_TIMEOUT_S: Final = 0.5
Json = dict[str, Any]


@attrs.frozen(kw_only=True)
class InstanceState:
    """The state of the instance as the front end knows it."""

    revision: int
    # None if ready, otherwise the code of the reason.
    not_ready: str | None
    running_calls: int


class StatusPages:
    """Builds the status pages."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        incarnation: str,
        operator_token: str,
        tasks: tuple[str, ...],
    ) -> None:
        self._dispatcher = dispatcher
        self._incarnation = incarnation
        self._operator_token = operator_token
        self._tasks = tasks

    def status(
        self,
        request: HttpRequest,
        state: InstanceState,
        protection: Mapping[str, float],
    ) -> WholeAnswer:
        """Return the status page; operators also see the counters of the protection."""
        page: Json = {
            "instance": self._dispatcher.instance_id,
            "incarnation": self._incarnation,
            **attrs.asdict(state),
        }
        if self._is_operator(request):
            page["protection"] = dict(protection)
            page["tasks"] = {task: self._ask(task) for task in self._tasks}
        return json_page(page)

    def histograms(self, request: HttpRequest) -> WholeAnswer:
        """Return the encoded histograms; for operators only, since they name teams."""
        if not self._is_operator(request):
            return refusal_item(
                Refusal(401, ErrorCode.KEY_REJECTED, "the operators' token is needed")
            )
        address = self._dispatcher.address("telemetry")
        answer = self._dispatcher.ask(address, GetHistograms(), ASK_TIMEOUT_S)
        encoded = answer.encoded_by_name if isinstance(answer, Histograms) else {}
        return json_page(encoded)

    def _ask(self, task: str) -> Json:
        address = self._dispatcher.address(task)
        answer = self._dispatcher.ask(address, GetStatus(), ASK_TIMEOUT_S)
        return answer.fields if isinstance(answer, StatusReply) else {}

    def _is_operator(self, request: HttpRequest) -> bool:
        header = request.headers.get("authorization", "")
        text = header.removeprefix("Bearer ").encode("utf-8", "surrogateescape")
        expected = self._operator_token.encode()
        return bool(expected) and hmac.compare_digest(text, expected)


def model_list(names: list[str]) -> WholeAnswer:
    """Return the list of models in the format that callers expect."""
    data = [{"id": name, "object": "model"} for name in sorted(names)]
    return json_page({"object": "list", "data": data})


def json_page(value: object, status: int = 200) -> WholeAnswer:
    """Return a JSON document as a whole answer."""
    body = json.dumps(value, default=str).encode() + b"\n"
    return WholeAnswer(status, {"content-type": "application/json"}, body)
