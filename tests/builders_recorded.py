"""Recorded data of an earlier build, for tests of compatibility."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Final

from siskinspool.core.message import Address, Message
from siskinspool.links.codec import wire_classes

FOLDER: Final = Path(__file__).parent / "data" / "recorded"
# Where the recorded messages went.
RECIPIENT: Final = Address("i2", "recipient")
# The lease in the recorded session.
RECORDED_LEASE_ID: Final = 7


def recorded_by_name(file: str) -> dict[str, bytes]:
    """Return the recorded bytes of a file by the name at the start of the line."""
    lines = (FOLDER / f"{file}.txt").read_text(encoding="ascii").splitlines()
    pairs = (line.split(" ") for line in lines)
    return {name: bytes.fromhex(data) for name, data in pairs}


def all_wire_classes() -> dict[str, type[Message]]:
    """Return the message classes by name on the wire.

    Classes are registered as their modules are imported, which both programs do.
    """
    for program in ("siskinspool.entry", "siskinspool.gateway.instance"):
        importlib.import_module(program)
    return wire_classes()
