"""The fields of a typed document as rows of a table, made from its types alone."""

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect


class Row(NamedTuple):
    """All as text."""

    field: str
    kind: str
    bounds: str
    default: str


def rows(kind: type, path: str = "") -> Iterator[Row]:
    """Depth first, in the order of the types."""
    for field in msgspec.structs.fields(kind):
        name = f"{path}{field.encode_name}"
        told = inspect.type_info(field.type)
        many = isinstance(told, inspect.ListType) and isinstance(told.item_type, inspect.StructType)
        struct = told.item_type if many else told
        if isinstance(struct, inspect.StructType):
            yield from rows(struct.cls, f"{name}[]." if many else f"{name}.")
        else:
            yield Row(name, word(told), bounds(told), default(field))


def word(told: Any) -> str:
    match told:
        case inspect.FloatType():
            return "number"
        case inspect.IntType():
            return "whole number"
        case inspect.StrType():
            return "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.VarTupleType() | inspect.ListType():
            return f"list of {word(told.item_type)}"
        case inspect.TupleType():
            return f"{len(told.item_types)} of {word(told.item_types[0])}"
        case inspect.DictType():
            return "table"
        case inspect.LiteralType():
            return " or ".join(map(str, told.values))
    return "any"


def bounds(told: Any) -> str:
    if isinstance(told, inspect.TupleType):
        return bounds(told.item_types[0])
    if isinstance(told, (inspect.VarTupleType, inspect.ListType)):
        least = f"at least {told.min_length}" if told.min_length else ""
        return " ".join(filter(None, (bounds(told.item_type), least)))
    signs = (
        ("ge", ">="),
        ("gt", ">"),
        ("le", "<="),
        ("lt", "<"),
        ("min_length", "length >="),
        ("max_length", "length <="),
        ("pattern", ""),
    )
    found = [(sign, getattr(told, name, None)) for name, sign in signs]
    return " ".join(f"{sign} {value}".strip() for sign, value in found if value is not None)


def default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "must be given"
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    if isinstance(value, bool):
        return str(value).lower()
    return "-" if value in ("", [], {}, ()) else str(list(value) if isinstance(value, tuple) else value)
