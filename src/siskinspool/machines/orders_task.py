"""The task ``orders``: sends orders to servers.

Each order uses its own connection and is sent at most once. It is not retried, because
a second copy could be executed after the first was settled. Orders to one server are
sent sequentially, so that a server that checks fencing does not receive a higher fence
before a lower one. A bounded pool of greenlets serves all servers.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs
import gevent
import msgspec
from gevent.pool import Pool

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Address, Incoming, Outgoing
from ..core.task import Task
from ..links.server_link import Lost, NotSent, ServerLink, ServerRequest
from .messages import CatalogChanged, OrderResult, OrderSettled, SendOrder

TASK_NAME: Final = "orders"
POOL_GREENLETS: Final = 64
# A server answers when it has recorded the order, before executing it.
ANSWER_TIMEOUT_S: Final = 5.0
# One deadline for connecting, sending and the answer; slow bytes cannot extend it.
EXCHANGE_TIMEOUT_S: Final = ANSWER_TIMEOUT_S + 1.0


@attrs.frozen
class _Endpoint:
    """The address at which a server accepts orders."""

    host: str
    port: int


@attrs.frozen
class OrderBody:
    """The body of ``POST /v1/orders``."""

    order_id: str
    fence: int
    kind: str
    model: str
    adapter: str
    sender: str
    replica_id: str


class OrdersTask(Task):
    """Sends orders and reports their results to the requesting tasks."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, link: ServerLink) -> None:
        super().__init__(TASK_NAME, dispatcher, clock)
        self._link = link
        self._endpoint_by_server: dict[str, _Endpoint] = {}
        # Queued orders of each server that has a greenlet or waits for one.
        self._waiting_by_server: dict[str, deque[tuple[Address, SendOrder]]] = {}
        self._ready_servers: deque[str] = deque()
        self._pool = Pool(POOL_GREENLETS)

    def handle(self, incoming: Incoming) -> None:
        """Queue an order, or update the addresses of the servers."""
        message = incoming.message
        if isinstance(message, CatalogChanged):
            self._endpoint_by_server = {
                server.id: _Endpoint(server.host, server.port)
                for server in message.catalog.server_by_id.values()
            }
        elif isinstance(message, SendOrder):
            self._queue_order(incoming.sender, message)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Wait up to the timeout for the orders that are being sent."""
        super().stop(timeout_s)
        self._pool.join(timeout_s)
        self._pool.kill()

    def _queue_order(self, reply_to: Address, order: SendOrder) -> None:
        waiting = self._waiting_by_server.get(order.server_id)
        if waiting is not None:
            waiting.append((reply_to, order))
            return
        self._waiting_by_server[order.server_id] = deque([(reply_to, order)])
        self._ready_servers.append(order.server_id)
        self._start_greenlets()

    def _start_greenlets(self) -> None:
        while self._ready_servers and self._pool.free_count() > 0:
            self._pool.spawn(self._send_queued, self._ready_servers.popleft())

    def _send_queued(self, server_id: str) -> None:
        """Send the queued orders of one server sequentially."""
        waiting = self._waiting_by_server[server_id]
        while waiting:
            reply_to, order = waiting.popleft()
            result = self._send(order)
            settled = OrderSettled(
                order.order_id, order.server_id, order.replica_id, result
            )
            self.dispatcher.send(self.address, Outgoing(reply_to, settled))
        del self._waiting_by_server[server_id]
        # This greenlet leaves the pool only after it returns.
        gevent.spawn(self._start_greenlets)

    def _send(self, order: SendOrder) -> OrderResult:
        endpoint = self._endpoint_by_server.get(order.server_id)
        if endpoint is None:
            return OrderResult.NOT_SENT
        try:
            with gevent.Timeout(EXCHANGE_TIMEOUT_S):
                answer = self._link.open_call(
                    self._request(endpoint, order), ANSWER_TIMEOUT_S
                )
        except (Exception, gevent.Timeout):
            # After any error the server may have accepted the order.
            return OrderResult.LOST
        if isinstance(answer, NotSent):
            return OrderResult.NOT_SENT
        if isinstance(answer, Lost):
            return OrderResult.LOST
        answer.close()
        return result_from_status(answer.status)

    def _request(self, endpoint: _Endpoint, order: SendOrder) -> ServerRequest:
        body = OrderBody(
            order.order_id,
            order.fence,
            order.kind,
            order.model,
            order.adapter,
            self.dispatcher.instance_id,
            order.replica_id,
        )
        return ServerRequest(
            host=endpoint.host,
            port=endpoint.port,
            method="POST",
            uri="/v1/orders",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(body),
        )


def result_from_status(status: int) -> OrderResult:
    """Return the order result for an HTTP status of ``POST /v1/orders``.

    After a server error it is unknown whether the order was accepted.
    """
    if 200 <= status < 300:
        return OrderResult.ACCEPTED
    if status == 409:
        return OrderResult.STALE_FENCE
    if status == 507:
        return OrderResult.NO_MEMORY
    return OrderResult.REFUSED if 400 <= status < 500 else OrderResult.LOST
