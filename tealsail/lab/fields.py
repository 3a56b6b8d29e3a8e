"""A table of the fields of a typed document, made from its types."""

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect


class Row(NamedTuple):
    """One field, all as text."""

    field: str
    kind: str
    bounds: str
    default: str


def rows(kind: type, path: str = "") -> Iterator[Row]:
    """Rows of a Struct type and the types within it, depth first; `path` begins the fields' names."""
    for field in msgspec.structs.fields(kind):
        name = f"{path}{field.encode_name}"
        info = inspect.type_info(field.type)
        is_list = isinstance(info, inspect.ListType) and isinstance(info.item_type, inspect.StructType)
        struct = info.item_type if is_list else info
        if isinstance(struct, inspect.StructType):
            yield from rows(struct.cls, f"{name}[]." if is_list else f"{name}.")
        else:
            yield Row(name, type_name(info), bounds(info), default(field))


def type_name(info: Any) -> str:
    """The name of a type for operators, such as "whole number"."""
    match info:
        case inspect.FloatType():
            return "number"
        case inspect.IntType():
            return "whole number"
        case inspect.StrType():
            return "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.VarTupleType() | inspect.ListType():
            return f"list of {type_name(info.item_type)}"
        case inspect.TupleType():
            return f"{len(info.item_types)} of {type_name(info.item_types[0])}"
        case inspect.DictType():
            return "table"
        case inspect.LiteralType():
            return " or ".join(map(str, info.values))
    return "any"


def bounds(info: Any) -> str:
    """The bounds of a type, or of the items of a list type."""
    if isinstance(info, inspect.TupleType):
        return bounds(info.item_types[0])
    if isinstance(info, (inspect.VarTupleType, inspect.ListType)):
        least = f"at least {info.min_length}" if info.min_length else ""
        return " ".join(filter(None, (bounds(info.item_type), least)))
    signs = (
        ("ge", ">="),
        ("gt", ">"),
        ("le", "<="),
        ("lt", "<"),
        ("min_length", "length >="),
        ("max_length", "length <="),
        ("pattern", ""),
    )
    found = [(sign, getattr(info, name, None)) for name, sign in signs]
    return " ".join(f"{sign} {value}".strip() for sign, value in found if value is not None)


def default(field: msgspec.structs.FieldInfo) -> str:
    """The default of a field; "-" if it is empty."""
    if field.required:
        return "must be given"
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    if isinstance(value, bool):
        return str(value).lower()
    return "-" if value in ("", [], {}, ()) else str(list(value) if isinstance(value, tuple) else value)
