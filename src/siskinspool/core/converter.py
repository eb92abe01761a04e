"""Strict conversion of JSON documents to attrs classes.

Unknown fields and wrong types are errors. `describe_faults` lists all errors in a
document at once, each with its path.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import cattrs


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown fields and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _strict_hook(kind))
    # Without this hook, the hook for `str` would also handle string enums.
    converter.register_structure_hook(StrEnum, _structure_enum)
    return converter


def describe_faults(error: Exception, root: str) -> list[str]:
    """Return one line for each error in a document that failed to convert."""
    return [
        line.replace("invalid value for type, expected", "wrong type, expected")
        for line in cattrs.transform_error(error, path=root, format_exception=_describe)
    ]


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"the field {error.args[0]} is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return "unknown fields: " + ", ".join(sorted(error.extra_fields))
    if isinstance(error, (TypeError, ValueError)) and error.args:
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _structure_enum(value: object, kind: type[StrEnum]) -> StrEnum:
    names = [member.value for member in kind]
    if value not in names:
        raise ValueError(f"{value!r} is not one of {', '.join(names)}")
    return kind(value)


def _strict_hook(kind: type) -> Any:
    description_by_type = {str: "a string", int: "a whole number", float: "a number"}
    expected = description_by_type.get(kind, "true or false")

    def structure(value: object, _: object) -> object:
        accepted = (int, float) if kind is float else (kind,)
        is_bool = isinstance(value, bool)
        if not isinstance(value, accepted) or (is_bool and kind is not bool):
            raise TypeError(f"{value!r} is not {expected}")
        return kind(value)

    return structure
