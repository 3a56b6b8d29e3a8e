"""The statements that clients send and units are sent, and the comment at their end."""

import re
from typing import NamedTuple

LITERAL = rb"'((?:[^']|'')*)'"
SELECT = re.compile(rb"\s*SELECT\s+\w+\s+FROM\s+\w+\s+WHERE\s+\w+\s*=\s*" + LITERAL + rb"\s*", re.I)
INSERT = re.compile(
    rb"\s*INSERT\s+INTO\s+\w+\s*\(\s*\w+\s*,\s*\w+\s*\)\s*VALUES\s*\(\s*"
    + LITERAL
    + rb"\s*,\s*"
    + LITERAL
    + rb"\s*\)\s*RETURNING\s+\w+\s*",
    re.I,
)
WAIT, ID = re.compile(rb"\d{1,9}(\.\d{1,9})?"), re.compile(rb"[!-~]{1,64}")
VALUE = re.compile(rb"\\x(?:[0-9a-fA-F]{2})*")
IDLE = re.compile(rb"\s*(SET|RESET|DISCARD)\b.*", re.I | re.S)


class Unclear(Exception):
    """A statement or a comment that can't be read; the stream itself goes on."""


class Statement(NamedTuple):
    """What a client asks.  `wait` is in milliseconds; the text round `wait` passes on as it came."""

    before: bytes
    after: bytes
    id: bytes
    workload: str
    customer: str
    key: str
    wait: float
    repeat: bool


def read(text: bytes) -> Statement:
    body, mark, comment = text.rpartition(b"/*")
    comment, end, rest = comment.partition(b"*/")
    if not mark or not end or rest.strip(b" ;\n\t"):
        raise Unclear("no comment at its end")
    match = SELECT.fullmatch(body) or INSERT.fullmatch(body)
    if not match:
        raise Unclear("neither of the two forms")
    fields = {}
    for pair in comment.split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if not equals or name in fields:
            raise Unclear("a field without a value, or twice")
        fields[name] = value
    place = re.search(rb"(?:^|,)\s*d=([^,\s]*)", comment)
    if match.lastindex == 2 and not VALUE.fullmatch(match[2]):
        raise Unclear("a value that can't be read")
    try:
        wait = float(fields[b"d"]) if WAIT.fullmatch(fields[b"d"]) else -1.0
        workload = fields[b"c"].decode()
        customer = fields.get(b"t", b"").decode()
        key = match[1].replace(b"''", b"'").decode("latin-1")  # any bytes
    except KeyError as missing:
        raise Unclear(f"no field {missing.args[0].decode()}") from None
    except ValueError:
        raise Unclear("a field that can't be read") from None
    if not ID.fullmatch(fields.get(b"id", b"")) or not 0 <= wait < 1e9 or not place:
        raise Unclear("no id, or no time to wait")
    first = len(body) + 2 + place.start(1)
    return Statement(
        text[:first],
        text[first + len(place[1]) :],
        fields[b"id"],
        workload,
        customer,
        key,
        wait,
        fields.get(b"r") == b"1",
    )


def onward(statement: Statement, wait: int) -> bytes:
    """The statement for a unit: only the time to wait (milliseconds) is ours."""
    return statement.before + b"%d" % wait + statement.after
