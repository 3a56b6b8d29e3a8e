"""SQL statements that clients send and units receive, with the fields in the comment at their end."""

import re
from collections.abc import Callable
from typing import NamedTuple

from .messages import QUERY_END, QUERY_HEAD_BYTES, query_head

# Possessive, since a pattern that may come back keeps some hundred bytes for each character of the literal.
LITERAL = rb"'((?:[^']++|'')*+)'"
SELECT = re.compile(rb"\s*SELECT\s+\w+\s+FROM\s+\w+\s+WHERE\s+\w+\s*=\s*" + LITERAL + rb"\s*", re.I)
INSERT = re.compile(
    rb"\s*INSERT\s+INTO\s+\w+\s*\(\s*\w+\s*,\s*\w+\s*\)\s*VALUES\s*\(\s*"
    + LITERAL
    + rb"\s*,\s*"
    + LITERAL
    + rb"\s*\)\s*RETURNING\s+\w+\s*",
    re.I,
)
WAIT_FIELD = re.compile(rb"\d{1,9}(\.\d{1,9})?")  # milliseconds
ID_FIELD = re.compile(rb"[!-~]{1,64}")
HEX_VALUE = re.compile(rb"\\x[0-9a-fA-F]*+")
MAX_FIELDS = 64  # of a comment; the protocol names six
SESSION_COMMAND = re.compile(rb"\s*(SET|RESET|DISCARD)\b.*", re.I | re.S)  # answered without a unit


class StatementError(Exception):
    """A statement or its comment can't be read; the connection goes on.  Clients see the text."""


class Statement(NamedTuple):
    """A client's statement and the fields of its comment.

    The text before and after the digits of the time to wait is passed on to the unit as it came (`UnitQuery`).
    """

    text_before_wait: bytes
    text_after_wait: bytes
    id: bytes
    workload: str
    customer: str
    key: str
    wait: float  # milliseconds that the client waits for the answer
    repeat: bool  # whether the client has sent this request before


def read(text: bytes) -> Statement:
    """Parse a SELECT or INSERT with its comment.  Raises StatementError."""
    body_end = text.rfind(b"/*")
    comment, comment_end, rest = text[body_end + 2 :].partition(b"*/")
    if body_end < 0 or not comment_end or rest.strip(b" ;\n\t"):
        raise StatementError("no comment at its end")
    match = SELECT.fullmatch(text, 0, body_end) or INSERT.fullmatch(text, 0, body_end)
    if not match:
        raise StatementError("neither of the two forms")
    if comment.count(b",") >= MAX_FIELDS:
        raise StatementError("too many fields")
    fields = {}
    for pair in comment.split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if not equals or name in fields:
            raise StatementError("a field without a value, or twice")
        fields[name] = value
    wait_match = re.search(rb"(?:^|,)\s*d=([^,\s]*)", comment)
    if match.lastindex == 2 and not is_hex_value(text, *match.span(2)):
        raise StatementError("a value that can't be read")
    try:
        wait = float(fields[b"d"]) if WAIT_FIELD.fullmatch(fields[b"d"]) else -1.0
        workload = fields[b"c"].decode()
        customer = fields.get(b"t", b"").decode()
        key = match[1].replace(b"''", b"'").decode("latin-1")  # a key may consist of any bytes
    except KeyError as missing:
        raise StatementError(f"no field {missing.args[0].decode()}") from None
    except ValueError:
        raise StatementError("a field that can't be read") from None
    if not ID_FIELD.fullmatch(fields.get(b"id", b"")) or not 0 <= wait < 1e9 or not wait_match:
        raise StatementError("no id, or no time to wait")
    wait_start = body_end + 2 + wait_match.start(1)
    return Statement(
        text[:wait_start],
        text[wait_start + len(wait_match[1]) :],
        fields[b"id"],
        workload,
        customer,
        key,
        wait,
        fields.get(b"r") == b"1",
    )


def is_hex_value(text: bytes, start: int, end: int) -> bool:
    """Whether that part of the text is a value in hexadecimal form, two digits for each byte."""
    return (end - start) % 2 == 0 and bool(HEX_VALUE.fullmatch(text, start, end))


MAX_WAIT_DIGITS = 10  # of a time to wait in milliseconds: `read` takes none of 1e9 or more


class UnitQuery:
    """A statement as the query message for a unit, in which only the time to wait is replaced.

    Its end begins with that time.  It may be sent much later than the start, and then tells the time that is left then,
    in as many digits.
    """

    __slots__ = "statement", "wait_left", "digits"

    def __init__(self, statement: Statement, wait_left: Callable[[], int]) -> None:
        """`wait_left` gives the time to wait from now on, in whole milliseconds; it never grows."""
        self.statement, self.wait_left = statement, wait_left
        self.digits = 0  # of the time to wait; 0 until it was first made

    def max_length(self) -> int:
        """How many bytes the message has at the most."""
        before, after = self.statement.text_before_wait, self.statement.text_after_wait
        return QUERY_HEAD_BYTES + len(before) + MAX_WAIT_DIGITS + len(after) + len(QUERY_END)

    def whole(self) -> bytes:
        """The message, with the time to wait from now on."""
        wait = self.wait_digits()
        return b"".join((self.head(), self.statement.text_before_wait, wait, self.statement.text_after_wait, QUERY_END))

    def start(self) -> tuple[bytes, ...]:
        """The message up to the time to wait, in parts."""
        self.digits = self.digits or len(self.wait_digits())
        return self.head(), self.statement.text_before_wait

    def end(self) -> bytes:
        """The rest of the message, with the time to wait from now on."""
        return self.wait_digits() + self.statement.text_after_wait + QUERY_END

    def head(self) -> bytes:
        """What comes before the text."""
        before, after = self.statement.text_before_wait, self.statement.text_after_wait
        return query_head(len(before) + self.digits + len(after))

    def wait_digits(self) -> bytes:
        """The time to wait from now on, in as many digits as it had at first."""
        wait = b"%0*d" % (self.digits, self.wait_left())
        self.digits = len(wait)
        return wait

    def text(self) -> bytes:
        """The text of the query alone."""
        return self.statement.text_before_wait + self.end()[: -len(QUERY_END)]
