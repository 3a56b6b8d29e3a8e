"""PostgreSQL's messages as clients and units of a soak write and read them."""

import asyncio
import struct
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
REFUSAL_CODES = (b"53300", b"57P03")


class Reply(NamedTuple):
    """How a request ended: `served` with its value, `refused`, `failed`, `empty`, or `closed` without an answer."""

    outcome: str
    value: bytes = b""
    code: bytes = b""


def message(kind: bytes, body: bytes = b"") -> bytes:
    """A message with a type byte."""
    return kind + struct.pack(">I", len(body) + 4) + body


def query(text: bytes) -> bytes:
    """A simple query."""
    return message(b"Q", text + b"\0")


def startup(parameters: bytes = b"user\0backend\0database\0store\0") -> bytes:
    """A StartupMessage with these parameters, each a name and a value that end with a zero byte."""
    body = struct.pack(">I", 3 << 16) + parameters + b"\0"
    return struct.pack(">I", len(body) + 4) + body


def select(key: str, fields: str) -> bytes:
    """A statement that reads a value; `fields` go into its comment."""
    return f"SELECT content FROM kv WHERE name = '{key}' /* {fields} */".encode()


def insert(key: str, value_bytes: int, fields: str) -> bytes:
    """A statement that writes a value of so many bytes, which takes twice as many characters."""
    value = "9f" * value_bytes
    return f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value}') RETURNING content /* {fields} */".encode()


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack(">I", 0)) + READY
EMPTY_ANSWER = message(b"I") + READY
ROW_DESCRIPTION = message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")


def value_answer(value: bytes) -> bytes:
    """A complete answer with one row of one column."""
    row = message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
    return ROW_DESCRIPTION + row + message(b"C", b"SELECT 1\0") + READY


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """The next message's type byte and body; raises IncompleteReadError or ConnectionError at the end."""
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """The answer to one query, up to ReadyForQuery or a fatal error."""
    reply = Reply("closed")
    while True:
        try:
            kind, body = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply("closed") if reply.outcome == "served" else reply
        if kind == b"Z":
            return reply
        if kind == b"D":
            reply = Reply("served", body[6:])
        elif kind == b"I":
            reply = Reply("empty")
        elif kind == b"E":
            fields = {field[:1]: field[1:] for field in body.split(b"\0") if field}
            code = fields.get(b"C", b"")
            reply = Reply("refused" if code in REFUSAL_CODES else "failed", code=code)
            if fields.get(b"S") == b"FATAL":
                return reply


def comment_fields(text: bytes) -> dict[str, str]:
    """The fields of the comment at a statement's end."""
    comment = text.rpartition(b"/*")[2].partition(b"*/")[0].decode("latin-1")
    return dict(pair.strip().split("=", 1) for pair in comment.split(",") if "=" in pair)
