"""Messages of version 3 of PostgreSQL's wire protocol, as far as simple queries need them.

Parsing turns bytes into small typed values, once each; the functions at the end build messages as bytes.  The protocol
is specified in PostgreSQL's documentation, "Frontend/Backend Protocol", section "Message Formats".
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

MAX_MESSAGE_BYTES = 256 * 1024  # a value of 64 KiB in hex, the statement around it, and room to spare
MAX_FIRST_MESSAGE_BYTES = 10_000
MAX_STARTUP_PARAMETERS = 64  # names with their values; clients send a handful
SSL_REQUEST_CODE = 80877103
GSSENC_REQUEST_CODE = 80877104
CANCEL_REQUEST_CODE = 80877102
PROTOCOL_MAJOR_VERSION = 3


class ProtocolError(Exception):
    """What came is too long or violates the protocol; nothing behind it in the stream can be read."""


class Startup(NamedTuple):
    """StartupMessage."""

    parameters: dict[bytes, bytes]


class EncryptionRequest(NamedTuple):
    """SSLRequest or GSSENCRequest."""


class CancelRequest(NamedTuple):
    """CancelRequest; a connection that brings one brings nothing else."""


class Query(NamedTuple):
    """A simple query."""

    text: bytes


class ExtendedMessage(NamedTuple):
    """A message of the extended query protocol; a Sync ends a series of them."""

    sync: bool


class CopyMessage(NamedTuple):
    """A late message of a copy operation; the protocol requires it to be ignored."""


class Terminate(NamedTuple):
    """The client ends its connection."""


class Authentication(NamedTuple):
    """An authentication request; kind 0 is AuthenticationOk."""

    kind: int


class ParameterStatus(NamedTuple):
    """A run-time parameter that the unit reports."""

    name: bytes
    value: bytes


class ReadyForQuery(NamedTuple):
    """The unit is ready for the next query."""


class RowDescription(NamedTuple):
    """The columns of a result: the message's body, and how many there are."""

    body: bytes
    columns: int


class DataRow(NamedTuple):
    """A row of a result: the message's body, and the number of its columns."""

    body: bytes
    columns: int


class CommandComplete(NamedTuple):
    """The end of a result."""

    body: bytes


class ErrorResponse(NamedTuple):
    """An error: its SQLSTATE code and its message."""

    code: bytes
    text: bytes


class EmptyQueryResponse(NamedTuple):
    """The answer to an empty query."""


class IgnoredMessage(NamedTuple):
    """A notice or another message that changes nothing."""


class Value(NamedTuple):
    """The complete answer of a unit, its messages as they came."""

    description: RowDescription
    row: DataRow
    completion: CommandComplete


class MessageSplitter:
    """Cuts a stream, fed in pieces of any size, into messages.

    Iteration yields the type byte and the body of each complete message, and raises ProtocolError for a length beyond
    bounds.  It never holds more than one incomplete message and one piece.  The body of a message that was skipped is
    None.
    """

    __slots__ = "typed", "held", "skipped_kind", "unskipped"

    def __init__(self, typed: bool) -> None:
        """`typed`: whether messages begin with a type byte, as all do but a client's first ones."""
        self.typed = typed
        self.held = bytearray()  # what has come of messages that are not yielded yet
        self.skipped_kind: bytes | None = None  # the type of the message that is being skipped
        self.unskipped = 0  # bytes of it that are still to come

    def feed(self, data: bytes) -> None:
        if self.unskipped:
            skipped = min(len(data), self.unskipped)
            self.unskipped -= skipped
            data = data[skipped:]
        self.held += data

    def is_partial(self) -> bool:
        """Whether part of a message has come."""
        return bool(self.held) or self.unskipped > 0

    def incomplete_length(self) -> int:
        """The length of the message that has begun, 0 as long as that is not known."""
        head = self.head_length()
        if len(self.held) < head:
            return 0
        return head - 4 + struct.unpack_from(">I", self.held, head - 4)[0]

    def missing(self) -> int:
        """How many bytes of the message that has begun are still to come, 0 if that is not known."""
        return self.unskipped or max(0, self.incomplete_length() - len(self.held))

    def skip(self) -> None:
        """Drop the message that has begun, with all of it that is still to come."""
        self.unskipped = self.missing()
        self.skipped_kind = bytes(self.held[: self.head_length() - 4])
        self.held = bytearray()

    def clear(self) -> None:
        """Drop all that is held."""
        self.held = bytearray()

    def head_length(self) -> int:
        """The bytes up to the end of a message's length."""
        return 5 if self.typed else 4

    def __iter__(self) -> Iterator[tuple[bytes, bytes | None]]:
        while not self.unskipped:
            if self.skipped_kind is not None:
                kind, self.skipped_kind = self.skipped_kind, None
                yield kind, None
                continue
            head = self.head_length()
            if len(self.held) < head:
                return
            (length,) = struct.unpack_from(">I", self.held, head - 4)
            if not 4 <= length <= (MAX_MESSAGE_BYTES if self.typed else MAX_FIRST_MESSAGE_BYTES):
                raise ProtocolError(f"a message of {length} bytes")
            if len(self.held) < head - 4 + length:
                return
            with memoryview(self.held) as held:
                kind, body = bytes(held[: head - 4]), bytes(held[head : head - 4 + length])
            del self.held[: head - 4 + length]
            yield kind, body


def split_strings(body: bytes) -> list[bytes]:
    """The zero-terminated strings that a body consists of.  Raises ProtocolError if the last one has no end."""
    if body[-1:] != b"\0":
        raise ProtocolError("a string without its end")
    return body[:-1].split(b"\0")


def parse_first_message(body: bytes) -> Startup | EncryptionRequest | CancelRequest:
    """The first message of a client, which has no type byte.  Raises ProtocolError."""
    if len(body) < 4:
        raise ProtocolError("a first message without a version")
    (code,) = struct.unpack_from(">I", body)
    if code in (SSL_REQUEST_CODE, GSSENC_REQUEST_CODE):
        return EncryptionRequest()
    if code == CANCEL_REQUEST_CODE:
        return CancelRequest()
    if code >> 16 != PROTOCOL_MAJOR_VERSION:
        raise ProtocolError(f"protocol version {code >> 16}.{code & 0xFFFF}")
    if body.count(b"\0", 4) > 2 * MAX_STARTUP_PARAMETERS + 1:
        raise ProtocolError("too many startup parameters")
    strings = split_strings(body[4:])
    if len(strings) % 2 != 1 or strings[-1]:
        raise ProtocolError("startup parameters without their end")
    return Startup(dict(zip(strings[:-1:2], strings[1:-1:2])))


def parse_client_message(kind: bytes, body: bytes) -> Query | ExtendedMessage | CopyMessage | Terminate:
    """A client's message after the first.  Raises ProtocolError."""
    if kind == b"Q":
        text, *rest = split_strings(body)
        if rest:
            raise ProtocolError("a query of several strings")
        return Query(text)
    if kind == b"X":
        return Terminate()
    if kind in (b"P", b"B", b"D", b"E", b"C", b"H", b"F", b"S"):
        return ExtendedMessage(kind == b"S")
    if kind in (b"d", b"c", b"f"):
        return CopyMessage()
    raise ProtocolError(f"a message of type {kind!r}")


def parse_unit_message(
    kind: bytes, body: bytes
) -> (
    Authentication
    | ParameterStatus
    | ReadyForQuery
    | RowDescription
    | DataRow
    | CommandComplete
    | ErrorResponse
    | EmptyQueryResponse
    | IgnoredMessage
):
    """A unit's message.  Raises ProtocolError; a malformed parameter status is ignored, since it spoils no answer."""
    try:
        match kind:
            case b"R":
                return Authentication(*struct.unpack(">I", body))
            case b"S":
                pair = body.split(b"\0")
                return ParameterStatus(*pair[:2]) if len(pair) == 3 and not pair[2] else IgnoredMessage()
            case b"T":
                return RowDescription(body, count_columns(body, 18))
            case b"D":
                return DataRow(body, count_columns(body))
            case b"C" if len(split_strings(body)) == 1:
                return CommandComplete(body)
            case b"E":
                *fields, last = split_strings(body)
                codes = {field[:1]: field[1:] for field in fields}
                if not last and len(codes.get(b"C", b"")) == 5:
                    return ErrorResponse(codes[b"C"], codes.get(b"M", b""))
            case b"Z" if body in (b"I", b"T", b"E"):
                return ReadyForQuery()
            case b"I" if not body:
                return EmptyQueryResponse()
            case b"K" | b"N" | b"A":
                return IgnoredMessage()
    except (struct.error, IndexError, ValueError):
        pass
    raise ProtocolError(f"a message of type {kind!r} with a malformed body")


def count_columns(body: bytes, description_bytes: int = 0) -> int:
    """The number of columns in the body of a row description or a row, after a check that each is complete.

    A column is a name and `description_bytes` bytes in a row description, and a length and a value in a row (0 bytes).
    Raises ProtocolError, or ValueError or struct.error for a body that ends too early.
    """
    (count,) = struct.unpack_from(">H", body)
    at = 2
    for _ in range(count):
        if description_bytes:
            at = body.index(b"\0", at) + 1 + description_bytes
        else:
            (length,) = struct.unpack_from(">i", body, at)
            at += 4 + (length if length >= 0 else len(body))
    if at != len(body):
        raise ProtocolError("column lengths do not add up to the length of the message")
    return count


def message(kind: bytes, body: bytes = b"") -> bytes:
    """A message with a type byte."""
    return kind + struct.pack(">I", len(body) + 4) + body


READY_FOR_QUERY = message(b"Z", b"I")
EMPTY_QUERY_RESPONSE = message(b"I") + READY_FOR_QUERY
ENCRYPTION_DECLINED = b"N"
STARTUP_RESPONSE = (
    message(b"R", struct.pack(">I", 0))
    + message(b"S", b"server_version\x0016.0\0")
    + message(b"S", b"client_encoding\0UTF8\0")
    + message(b"S", b"standard_conforming_strings\0on\0")
    + message(b"K", bytes(8))
    + READY_FOR_QUERY
)
SET_RESPONSE = message(b"C", b"SET\0") + READY_FOR_QUERY


def startup(user: bytes, database: bytes) -> bytes:
    """A StartupMessage, which has no type byte."""
    body = struct.pack(">I", PROTOCOL_MAJOR_VERSION << 16) + b"user\0" + user + b"\0database\0" + database + b"\0\0"
    return struct.pack(">I", len(body) + 4) + body


QUERY_END = b"\0"  # behind the text of a query
QUERY_HEAD_BYTES = 5  # before it


def query(text: bytes) -> bytes:
    """A simple query."""
    return message(b"Q", text + QUERY_END)


def query_head(text_length: int) -> bytes:
    """What comes before the text of a simple query."""
    return b"Q" + struct.pack(">I", text_length + len(QUERY_END) + 4)


def error_response(code: str, text: str, retry_after: int | None = None, fatal: bool = False) -> bytes:
    """An ErrorResponse; `retry_after`, in milliseconds, goes into the field for details."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [f"S{severity}", f"V{severity}", f"C{code}", f"M{text}"] + [f"D{retry_after}"] * bool(retry_after)
    return message(b"E", b"".join(field.encode() + b"\0" for field in fields) + b"\0")


def value_response(value: Value) -> bytes:
    """The messages of a complete answer, ReadyForQuery included."""
    return (
        message(b"T", value.description.body)
        + message(b"D", value.row.body)
        + message(b"C", value.completion.body)
        + READY_FOR_QUERY
    )
