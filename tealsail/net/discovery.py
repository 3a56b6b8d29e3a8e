"""Discovery: the list of units and its changes, over HTTP/1.1 with a parser of its own."""

import json
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.backoff import Backoff
from ..choices.memory_budget import MAX_LIST
from .connections import OutgoingConnection, PersistentConnection
from .counters import Counters

MAX_HEAD_BYTES = 16 * 1024  # of a reply's head, and of one line between chunks
WATCH_WAIT_S = 20.0  # for which the agent may hold a watch until something changes
# Beyond the watch's wait.  A change that a silent watch misses counts as known to the relay 2 s after the wait, so
# another answer must have come by then: half of that is for the silent watch, half for the connection that replaces it.
WATCH_SLACK_S = 1.0
LIST_TIMEOUT_S = 4.0  # for the whole list, which is not held back
PIECE_TIMEOUT_S = 1.0  # for the next piece of a reply that has begun
REPLY_TIMEOUT_S = 3.0  # for all of a reply that has begun
UNIT_STATES = ("ready", "draining", "gone")


class Unreadable(Exception):
    """The stream is not HTTP, or a reply is not a list of units: the connection is of no further use."""


class Reply(NamedTuple):
    """An HTTP reply."""

    status: int
    body: bytes
    closes: bool  # the connection ends after it
    retry_after_s: int = 0  # the Retry-After header, 0 where there is none

    def is_refusal(self) -> bool:
        """Whether the agent is overloaded or at fault; the list that is known stays valid."""
        return self.status == 429 or self.status >= 500


class Entry(NamedTuple):
    """One unit in the list."""

    id: str
    address: str  # host:port, may be empty
    zone: str
    cell: int
    state: str  # one of UNIT_STATES
    weight: float
    started_ms: float  # Unix time in milliseconds, 0 for long ago
    build: int


class ListUpdate(NamedTuple):
    """The list of units, or its changes up to a version."""

    version: int
    whole: bool  # False: only the entries that changed
    entries: list[Entry]


def unit_number(name: str) -> int:
    """The number that stands for a unit's name: its 56-bit BLAKE2b hash, the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big")


def read_list(tree: Any) -> ListUpdate:
    """From decoded JSON of discovery, or of `known` in a relay's configuration; raises Unreadable."""
    try:
        entries = [
            Entry(
                str(each["instanceId"]),
                checked_address(each.get("hostPort", "")),
                str(each.get("zone", "")),
                int(each.get("cell", 0)),
                str(each.get("lifecycle", "ready")),
                float(each.get("weight", 1)),
                float(each.get("startedAtMs", 0)),
                int(each.get("build", 0)),
            )
            for each in tree["instances"]
        ]
        update = ListUpdate(int(tree["generation"]), bool(tree.get("reset", True)), entries)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise Unreadable(f"malformed list of units: {type(problem).__name__} {problem}") from None
    for each in entries:
        # Each comparison is false for NaN too.
        if not (
            each.state in UNIT_STATES
            and 0 <= each.weight < 1e6
            and 0 <= each.started_ms < 1e15
            and 0 <= each.build < 1 << 16
            and abs(each.cell) < 1 << 31
        ):
            raise Unreadable(f"entry with a value out of range: {each.id[:40]!r}")
    return update


def checked_address(text: str) -> str:
    """`text` if it is empty or `host:port`; else raises ValueError."""
    host, colon, port = text.rpartition(":")
    if text and not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"address {text!r}")
    return text


class ReplyParser:
    """Cuts a stream that comes in pieces of any size into HTTP replies; raises Unreadable."""

    def __init__(self, max_body: int = MAX_LIST) -> None:
        """`max_body`: bytes that a reply's body may have."""
        self.max_body = max_body
        self.buffer = bytearray()
        self.status = 0  # of the current reply, 0 until its head is complete
        self.length: int | None = None  # of its body or of the current chunk; None: up to the end of the stream
        self.chunked = self.in_trailer = self.closes = False
        self.retry_after_s = 0
        self.body = bytearray()  # of a chunked reply, as far as it has come

    def feed(self, data: bytes) -> list[Reply]:
        """The replies that are complete with this piece."""
        self.buffer += data
        replies: list[Reply] = []
        while self.parse_next(replies):
            pass
        return replies

    def is_in_reply(self) -> bool:
        """Whether part of a reply has come."""
        return bool(self.status or self.buffer)

    def at_end(self) -> list[Reply]:
        """At the end of the stream: the reply that is complete with it, if its body has no length."""
        if self.status and self.length is None and not self.chunked:
            return [self.finish_reply(bytes(self.buffer))]
        return []

    def parse_next(self, replies: list[Reply]) -> bool:
        """Parse the next part; False if more bytes are needed for it."""
        if not self.status:
            return self.parse_head()
        if self.chunked:
            return self.parse_chunk(replies)
        if self.length is None or len(self.buffer) < self.length:
            if len(self.buffer) > self.max_body:
                raise Unreadable("body too long")
            return False
        body = bytes(self.buffer[: self.length])
        del self.buffer[: self.length]
        replies.append(self.finish_reply(body))
        return True

    def parse_head(self) -> bool:
        head_end = self.buffer.find(b"\r\n\r\n")
        if head_end > MAX_HEAD_BYTES or (head_end < 0 and len(self.buffer) > MAX_HEAD_BYTES):
            raise Unreadable("head too long")
        if head_end < 0:
            return False
        first, *lines = bytes(self.buffer[:head_end]).split(b"\r\n")
        del self.buffer[: head_end + 4]
        version, _, rest = first.partition(b" ")
        status = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or not status.isdigit() or len(status) != 3:
            raise Unreadable(f"not an HTTP status line: {first[:40]!r}")
        if status.startswith(b"1"):  # an interim reply has no body, and the final one follows
            return True
        headers: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon:
                raise Unreadable("header without a colon")
            headers[name.strip().lower()] = value.strip()
        self.status = int(status)
        self.chunked = headers.get(b"transfer-encoding", b"").lower().endswith(b"chunked")
        length = headers.get(b"content-length")
        if length is not None and not (length.isdigit() and int(length) <= self.max_body):
            raise Unreadable("invalid content length")
        self.length = 0 if self.status in (204, 304) else int(length) if length is not None else None
        retry_after = headers.get(b"retry-after", b"")  # the other form, a date, is ignored
        self.retry_after_s = int(retry_after) if retry_after.isdigit() and len(retry_after) < 10 else 0
        connection = headers.get(b"connection", b"").lower()
        self.closes = (
            connection == b"close"
            or (version == b"HTTP/1.0" and connection != b"keep-alive")
            or (self.length is None and not self.chunked)
        )
        if self.chunked:
            self.length = None
        return True

    def parse_chunk(self, replies: list[Reply]) -> bool:
        line_end = self.buffer.find(b"\r\n")
        if self.length is None:  # next is a chunk's size, or a line of the trailer after the last chunk
            if line_end < 0 and len(self.buffer) > MAX_HEAD_BYTES:
                raise Unreadable("line of a chunk's size too long")
            if line_end < 0:
                return False
            line = bytes(self.buffer[:line_end])
            del self.buffer[: line_end + 2]
            if self.in_trailer:
                if not line:
                    replies.append(self.finish_reply(bytes(self.body)))
                return True
            try:
                self.length = int(line.split(b";")[0].strip(), 16)
            except ValueError:
                raise Unreadable("invalid chunk size") from None
            if not 0 <= self.length + len(self.body) <= self.max_body:
                raise Unreadable("body too long")
            if not self.length:
                self.in_trailer, self.length = True, None
            return True
        if len(self.buffer) < self.length + 2:
            return False
        if self.buffer[self.length : self.length + 2] != b"\r\n":
            raise Unreadable("chunk longer than its size")
        self.body += self.buffer[: self.length]
        del self.buffer[: self.length + 2]
        self.length = None
        return True

    def finish_reply(self, body: bytes) -> Reply:
        """The current reply, which is complete; the next one may begin."""
        reply = Reply(self.status, body, self.closes, self.retry_after_s)
        self.status, self.length, self.body = 0, None, bytearray()
        self.chunked = self.in_trailer = False
        return reply


class DiscoveryConnection(OutgoingConnection):
    """One connection to the discovery agent, with one request at a time."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery, self.parser = discovery, ReplyParser(discovery.max_body)
        self.reply_began: float | None = None  # when the first piece of the current reply came, in seconds

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def get(self, path: str) -> None:
        self.transport.write(
            f"GET {path} HTTP/1.1\r\nHost: {self.discovery.address}\r\nAccept: application/json\r\n\r\n".encode()
        )

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        try:
            for reply in self.parser.feed(data):
                self.reply_began = None
                if reply.closes:
                    self.end("turned_away" if reply.is_refusal() else "last")
                self.discovery.on_reply(self, reply)
            if self.parser.is_in_reply() and self is self.discovery.connection and not self.code:
                now = self.discovery.reactor.seconds()
                self.reply_began = now if self.reply_began is None else self.reply_began
                # An agent in order does not pause within a reply, and small pieces must not keep it going for ever.
                self.discovery.expect_data_within(
                    min(PIECE_TIMEOUT_S, max(0.0, self.reply_began + REPLY_TIMEOUT_S - now))
                )
        except Unreadable as problem:
            self.unreadable(str(problem))

    def unreadable(self, problem: str) -> None:
        self.discovery.counters.add("discovery.unreadable")
        logger.warning("discovery: {}", problem)
        self.end("unreadable")

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        if not self.code:  # the other side ended it, which completes a reply without a length
            for reply in self.parser.at_end():
                self.discovery.on_reply(self, reply)
        self.discovery.counters.connection_ended("discovery", self.why(reason), self.discovery.address)
        self.discovery.on_disconnect(self)


class Discovery(PersistentConnection):
    """Asks for the whole list once, then for changes by a long poll (a watch), again at once after each answer.

    `on_update` gets the whole list and each of its changes.  `refusal_backoff` gives the delays after a refusal, in
    place of `backoff`.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        path: str,
        counters: Counters,
        on_update: Callable[[ListUpdate], None],
        backoff: Backoff,
        refusal_backoff: Backoff,
        max_body: int = MAX_LIST,
    ) -> None:
        """`max_body`: bytes that a reply's body may have."""
        super().__init__(reactor, address, counters, backoff)
        self.max_body = max_body
        self.path, self.on_update, self.refusal_backoff = path, on_update, refusal_backoff
        self.version: int | None = None  # None: ask for the whole list
        self.retry_after_s = 0  # what the last refusal asked for
        self.forget_version = False  # on the next connection, ask for the whole list

    def new_connection(self) -> DiscoveryConnection:
        return DiscoveryConnection(self)

    def start_session(self, connection: DiscoveryConnection) -> None:
        if self.forget_version:
            self.forget_version, self.version = False, None
        self.send_request()

    def move(self, address: str) -> None:
        """Go to another agent.  Versions are an agent's own, so the whole list is asked for there."""
        if address != self.address:
            self.forget_version = True
        super().move(address)

    def reconnect(self) -> None:
        self.forget_version = True
        super().reconnect()

    def start_later(self, version: int, delay: float) -> None:
        """Connect in `delay` seconds, and begin with a watch for what changed since `version`."""
        self.version = version
        self.retry_timer = self.reactor.callLater(delay, self.start)

    def retry_delay(self, code: str) -> float:
        return self.refusal_backoff.next(self.retry_after_s) if code == "turned_away" else super().retry_delay(code)

    def send_request(self) -> None:
        whole = self.version is None
        self.counters.add("discovery.asked")
        self.expect_data_within(LIST_TIMEOUT_S if whole else WATCH_WAIT_S + WATCH_SLACK_S)
        self.connection.get(
            self.path if whole else f"{self.path}?after={self.version}&wait_ms={int(WATCH_WAIT_S * 1000)}"
        )

    def on_reply(self, connection: DiscoveryConnection, reply: Reply) -> None:
        if connection is not self.connection:
            return
        self.stop_expecting_data()
        if reply.is_refusal():  # the version stays: nothing was missed, and whole lists would add to the load
            self.counters.add("discovery.turned_away")
            self.retry_after_s = reply.retry_after_s
            return connection.end("turned_away")
        try:
            if reply.status != 200:
                raise Unreadable(f"status {reply.status}")
            update = read_list(json.loads(reply.body))
        except (Unreadable, ValueError, RecursionError) as problem:
            self.version = None  # changes may have been missed: ask for the whole list next
            return connection.unreadable(str(problem))
        self.counters.add("discovery.answered")
        self.version = update.version
        self.backoff.reset()
        self.refusal_backoff.reset()
        if not connection.code:
            self.send_request()  # first of all: the agent keeps a watch only for 200 ms without its next request
        self.on_update(update)
