"""Version 3 of PostgreSQL's wire protocol, as far as simple queries need it: bytes to small typed values and
back, each once."""

import struct
from collections.abc import Iterator
from typing import NamedTuple

LONGEST = 256 * 1024  # a value of 64 KiB in hex, a statement round it, and room
LONGEST_OPENING = 10_000
SSL, GSSENC, CANCEL, VERSION_3 = 80877103, 80877104, 80877102, 3


class Unreadable(Exception):
    """The stream is lost: what came is beyond bounds or not the protocol's."""


class Startup(NamedTuple):
    parameters: dict[bytes, bytes]


class Encryption(NamedTuple):
    """SSLRequest or GSSENCRequest."""


class Cancel(NamedTuple):
    """CancelRequest; a connection that brings one brings nothing else."""


class Query(NamedTuple):
    text: bytes


class Extended(NamedTuple):
    """A message of the extended protocol; a Sync ends them."""

    sync: bool


class Copied(NamedTuple):
    """A late message of a copy; the protocol has it ignored."""


class Terminate(NamedTuple):
    pass


class Authentication(NamedTuple):
    kind: int


class Status(NamedTuple):
    name: bytes
    value: bytes


class Ready(NamedTuple):
    pass


class Described(NamedTuple):
    body: bytes
    columns: int


class Row(NamedTuple):
    body: bytes
    columns: int


class Complete(NamedTuple):
    body: bytes


class Trouble(NamedTuple):
    """ErrorResponse."""

    code: bytes
    text: bytes


class Empty(NamedTuple):
    """EmptyQueryResponse."""


class Passed(NamedTuple):
    """Notices and the like: read and passed over."""


class Value(NamedTuple):
    """A whole answer as a unit gave it."""

    described: Described
    row: Row
    complete: Complete


class Splitter:
    """Cuts a stream into messages; fed in any pieces, it never holds more than one message and one piece."""

    def __init__(self, typed: bool) -> None:
        self.typed = typed
        self.held = bytearray()

    def feed(self, data: bytes) -> None:
        self.held += data

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        while True:
            head = 5 if self.typed else 4
            if len(self.held) < head:
                return
            (length,) = struct.unpack_from(">I", self.held, head - 4)
            if not 4 <= length <= (LONGEST if self.typed else LONGEST_OPENING):
                raise Unreadable(f"a message of {length} bytes")
            if len(self.held) < head - 4 + length:
                return
            kind, body = bytes(self.held[: head - 4]), bytes(self.held[head : head - 4 + length])
            del self.held[: head - 4 + length]
            yield kind, body


def strings(body: bytes) -> list[bytes]:
    if body[-1:] != b"\0":
        raise Unreadable("a string without its end")
    return body[:-1].split(b"\0")


def opening(body: bytes) -> Startup | Encryption | Cancel:
    """The first message of a client, which has no type."""
    if len(body) < 4:
        raise Unreadable("a first message without a version")
    (code,) = struct.unpack_from(">I", body)
    if code in (SSL, GSSENC):
        return Encryption()
    if code == CANCEL:
        return Cancel()
    if code >> 16 != VERSION_3:
        raise Unreadable(f"protocol version {code >> 16}.{code & 0xFFFF}")
    words = strings(body[4:])
    if len(words) % 2 != 1 or words[-1]:
        raise Unreadable("startup parameters without their end")
    return Startup(dict(zip(words[:-1:2], words[1:-1:2])))


def from_client(kind: bytes, body: bytes) -> Query | Extended | Copied | Terminate:
    if kind == b"Q":
        text, *rest = strings(body)
        if rest:
            raise Unreadable("a query of several strings")
        return Query(text)
    if kind == b"X":
        return Terminate()
    if kind in (b"P", b"B", b"D", b"E", b"C", b"H", b"F", b"S"):
        return Extended(kind == b"S")
    if kind in (b"d", b"c", b"f"):
        return Copied()
    raise Unreadable(f"a message of type {kind!r}")


def from_unit(
    kind: bytes, body: bytes
) -> Authentication | Status | Ready | Described | Row | Complete | Trouble | Empty | Passed:
    try:
        match kind:
            case b"R":
                return Authentication(*struct.unpack(">I", body))
            case b"S":
                pair = body.split(b"\0")
                return Status(*pair[:2]) if len(pair) == 3 and not pair[2] else Passed()  # spoils nothing
            case b"T":
                return Described(body, columns(body, 18))
            case b"D":
                return Row(body, columns(body))
            case b"C" if len(strings(body)) == 1:
                return Complete(body)
            case b"E":
                *fields, last = strings(body)
                codes = {field[:1]: field[1:] for field in fields}
                if not last and len(codes.get(b"C", b"")) == 5:
                    return Trouble(codes[b"C"], codes.get(b"M", b""))
            case b"Z" if body in (b"I", b"T", b"E"):
                return Ready()
            case b"I" if not body:
                return Empty()
            case b"K" | b"N" | b"A":
                return Passed()
    except (struct.error, IndexError, ValueError):
        pass
    raise Unreadable(f"a message of type {kind!r} that can't be read")


def columns(body: bytes, described: int = 0) -> int:
    """How many there are, each whole: a name and so many bytes of description, or a length and a value."""
    (count,) = struct.unpack_from(">H", body)
    at = 2
    for _ in range(count):
        if described:
            at = body.index(b"\0", at) + 1 + described
        else:
            (length,) = struct.unpack_from(">i", body, at)
            at += 4 + (length if length >= 0 else len(body))
    if at != len(body):
        raise Unreadable("lengths that don't fit")
    return count


def message(kind: bytes, body: bytes = b"") -> bytes:
    return kind + struct.pack(">I", len(body) + 4) + body


READY = message(b"Z", b"I")
EMPTY = message(b"I") + READY
DECLINED = b"N"
WELCOME = (
    message(b"R", struct.pack(">I", 0))
    + message(b"S", b"server_version\x0016.0\0")
    + message(b"S", b"client_encoding\0UTF8\0")
    + message(b"S", b"standard_conforming_strings\0on\0")
    + message(b"K", bytes(8))
    + READY
)
SET_DONE = message(b"C", b"SET\0") + READY


def startup(user: bytes, database: bytes) -> bytes:
    body = struct.pack(">I", VERSION_3 << 16) + b"user\0" + user + b"\0database\0" + database + b"\0\0"
    return struct.pack(">I", len(body) + 4) + body


def query(text: bytes) -> bytes:
    return message(b"Q", text + b"\0")


def trouble(code: str, text: str, come_back: int | None = None, fatal: bool = False) -> bytes:
    """An ErrorResponse; `come_back` in milliseconds goes into the field for details."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [f"S{severity}", f"V{severity}", f"C{code}", f"M{text}"] + [f"D{come_back}"] * bool(come_back)
    return message(b"E", b"".join(field.encode() + b"\0" for field in fields) + b"\0")


def whole(value: Value) -> bytes:
    return (
        message(b"T", value.described.body) + message(b"D", value.row.body) + message(b"C", value.complete.body) + READY
    )
