"""Log lines of the placement's decisions."""

from __future__ import annotations

import logging
from typing import Any

from ..telemetry.logs import log_event
from .managed_server import ManagedServer
from .messages import OrderEnded, OrderKind, ServerOrder

logger = logging.getLogger(__name__)


def log_plan(
    model: str, server: ManagedServer, victims: tuple[str, ...], why: str
) -> None:
    """Log that a model is to be loaded."""
    log_event(
        logger,
        logging.INFO,
        "load_planned",
        model=model,
        server=server.record.server_id,
        victims=",".join(victims),
        why=why,
    )


def log_order(order: ServerOrder, server: ManagedServer) -> None:
    """Log an order as it is given, with the copy that a load uses."""
    source = None
    if order.kind is OrderKind.LOAD and not order.adapter:
        source = server.copy_of(order.model)
    log_event(
        logger,
        logging.INFO,
        "order_given",
        **_order_fields(order),
        source=source,
    )


def log_result(ended: OrderEnded) -> None:
    """Log what became of an order."""
    log_event(
        logger,
        logging.INFO,
        "order_ended",
        **_order_fields(ended.order),
        result=ended.result,
    )


def _order_fields(order: ServerOrder) -> dict[str, Any]:
    return {
        "server": order.server_id,
        "kind": order.kind,
        "model": order.model,
        "adapter": order.adapter,
        "expected": order.expected_count,
        "epoch": order.epoch,
    }
