"""Discovery: the list of units and its changes, over HTTP/1.1 with a parser of our own."""

import json
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.pauses import Pauses
from .connections import OutgoingConnection, PersistentConnection
from .counters import Counters

LONGEST_HEAD, LONGEST_BODY = 16 * 1024, 8 * 1024 * 1024
# seconds: a watch's wait, ours beyond it, and a plain call's.  What a silent watch misses counts as told 2 s after
# its wait: by then another answer must have come, so half of that is waited for and half is left for the next
# connection.
WATCH, SLACK, FIRST_WAIT = 20.0, 1.0, 4.0
PART, WHOLE = 1.0, 3.0  # seconds for the next piece of a reply that has begun; for all of it
STATES = ("ready", "draining", "gone")


class Unreadable(Exception):
    """The stream is lost."""


class Reply(NamedTuple):
    status: int
    body: bytes
    last: bool  # the connection ends behind it
    wait: int = 0  # seconds that it asks to be left alone for

    def turned_away(self) -> bool:
        """Too much is asked of the other side, or it is at fault; what is known of the list still holds."""
        return self.status == 429 or self.status >= 500


class Entry(NamedTuple):
    id: str
    address: str
    zone: str
    cell: int
    state: str
    weight: float
    started: float  # Unix time in milliseconds, 0 for long ago
    build: int


class News(NamedTuple):
    version: int
    whole: bool
    entries: list[Entry]


def number_of(name: str) -> int:
    """A unit's number for its name in the list; the same in every run."""
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big")


def read_news(tree: Any) -> News:
    """From JSON; `known` in a relay's configuration has the same form."""
    try:
        entries = [
            Entry(
                str(each["instanceId"]),
                address(each.get("hostPort", "")),
                str(each.get("zone", "")),
                int(each.get("cell", 0)),
                str(each.get("lifecycle", "ready")),
                float(each.get("weight", 1)),
                float(each.get("startedAtMs", 0)),
                int(each.get("build", 0)),
            )
            for each in tree["instances"]
        ]
        news = News(int(tree["generation"]), bool(tree.get("reset", True)), entries)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise Unreadable(f"a list that can't be read: {type(problem).__name__} {problem}") from None
    for each in entries:
        if not (
            each.state in STATES
            and 0 <= each.weight < 1e6
            and 0 <= each.started < 1e15
            and 0 <= each.build < 1 << 16
            and abs(each.cell) < 1 << 31
        ):  # no nan either
            raise Unreadable(f"an entry beyond bounds: {each.id[:40]!r}")
    return news


def address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if text and not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"address {text!r}")
    return text


class Replies:
    """Cuts a stream into HTTP replies; fed in any pieces."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.status = 0  # of the reply whose head has come
        self.length: int | None = None  # of its body or of the chunk at hand; None: up to the end
        self.chunked = self.trailer = self.last = False
        self.wait = 0
        self.body = bytearray()

    def feed(self, data: bytes) -> list[Reply]:
        self.held += data
        replies: list[Reply] = []
        while self.step(replies):
            pass
        return replies

    def begun(self) -> bool:
        return bool(self.status or self.held)

    def ended(self) -> list[Reply]:
        """The stream has ended: a body without a length is whole now."""
        if self.status and self.length is None and not self.chunked:
            return [self.whole(bytes(self.held))]
        return []

    def step(self, replies: list[Reply]) -> bool:
        if not self.status:
            return self.head()
        if self.chunked:
            return self.chunk(replies)
        if self.length is None or len(self.held) < self.length:
            if len(self.held) > LONGEST_BODY:
                raise Unreadable("a body beyond bounds")
            return False
        body = bytes(self.held[: self.length])
        del self.held[: self.length]
        replies.append(self.whole(body))
        return True

    def head(self) -> bool:
        end = self.held.find(b"\r\n\r\n")
        if end > LONGEST_HEAD or (end < 0 and len(self.held) > LONGEST_HEAD):
            raise Unreadable("a head beyond bounds")
        if end < 0:
            return False
        first, *lines = bytes(self.held[:end]).split(b"\r\n")
        del self.held[: end + 4]
        version, _, rest = first.partition(b" ")
        status = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or not status.isdigit() or len(status) != 3:
            raise Unreadable(f"no status line: {first[:40]!r}")
        if status.startswith(b"1"):  # an interim reply has no body and ends nothing
            return True
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon:
                raise Unreadable("a header without a colon")
            fields[name.strip().lower()] = value.strip()
        self.status = int(status)
        self.chunked = fields.get(b"transfer-encoding", b"").lower().endswith(b"chunked")
        length = fields.get(b"content-length")
        if length is not None and not (length.isdigit() and int(length) <= LONGEST_BODY):
            raise Unreadable("no such length")
        self.length = 0 if self.status in (204, 304) else int(length) if length is not None else None
        wait = fields.get(b"retry-after", b"")  # a date, the other form, is passed over
        self.wait = int(wait) if wait.isdigit() and len(wait) < 10 else 0
        how = fields.get(b"connection", b"").lower()
        self.last = (
            how == b"close"
            or (version == b"HTTP/1.0" and how != b"keep-alive")
            or (self.length is None and not self.chunked)
        )
        if self.chunked:
            self.length = None
        return True

    def chunk(self, replies: list[Reply]) -> bool:
        end = self.held.find(b"\r\n")
        if self.length is None:  # a chunk's size, or the trailer's lines behind the last
            if end < 0 and len(self.held) > LONGEST_HEAD:
                raise Unreadable("a chunk's line beyond bounds")
            if end < 0:
                return False
            line = bytes(self.held[:end])
            del self.held[: end + 2]
            if self.trailer:
                if not line:
                    replies.append(self.whole(bytes(self.body)))
                return True
            try:
                self.length = int(line.split(b";")[0].strip(), 16)
            except ValueError:
                raise Unreadable("no chunk's size") from None
            if not 0 <= self.length + len(self.body) <= LONGEST_BODY:
                raise Unreadable("a body beyond bounds")
            if not self.length:
                self.trailer, self.length = True, None
            return True
        if len(self.held) < self.length + 2:
            return False
        if self.held[self.length : self.length + 2] != b"\r\n":
            raise Unreadable("a chunk without its end")
        self.body += self.held[: self.length]
        del self.held[: self.length + 2]
        self.length = None
        return True

    def whole(self, body: bytes) -> Reply:
        reply = Reply(self.status, body, self.last, self.wait)
        self.status, self.length, self.body = 0, None, bytearray()
        self.chunked = self.trailer = False
        return reply


class Caller(OutgoingConnection):
    """One connection to the agent, one call at a time."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery, self.replies = discovery, Replies()
        self.since: float | None = None  # when the reply at hand began

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def call(self, path: str) -> None:
        self.transport.write(
            f"GET {path} HTTP/1.1\r\nHost: {self.discovery.address}\r\nAccept: application/json\r\n\r\n".encode()
        )

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        try:
            for reply in self.replies.feed(data):
                self.since = None
                if reply.last:
                    self.end("turned_away" if reply.turned_away() else "last")
                self.discovery.came(self, reply)
            if self.replies.begun() and self is self.discovery.connection and not self.code:
                now = self.discovery.reactor.seconds()
                self.since = now if self.since is None else self.since
                # not a watch's wait: this is no pause of an agent in order; nor for ever, in however small pieces
                self.discovery.expect_data_within(min(PART, max(0.0, self.since + WHOLE - now)))
        except Unreadable as problem:
            self.unreadable(str(problem))

    def unreadable(self, problem: str) -> None:
        self.discovery.counters.add("discovery.unreadable")
        logger.warning("discovery: {}", problem)
        self.end("unreadable")

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        if not self.code:
            for reply in self.replies.ended():
                self.discovery.came(self, reply)
        self.discovery.counters.ended("discovery", self.why(reason), self.discovery.address)
        self.discovery.on_disconnect(self)


class Discovery(PersistentConnection):
    """The whole list once, then a watch that is resumed at once after each answer."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        path: str,
        counters: Counters,
        tell: Callable[[News], None],
        pauses: Pauses,
        turned: Pauses,
    ) -> None:
        super().__init__(reactor, address, counters, pauses)
        self.path, self.tell, self.turned = path, tell, turned  # the pauses after being turned away
        self.version: int | None = None  # None: the whole list is asked for
        self.away = 0  # seconds that the other side asked for when it last turned us away
        self.moved = False  # and so it is at a new address

    def new_connection(self) -> Caller:
        return Caller(self)

    def start_session(self, connection: Caller) -> None:
        if self.moved:
            self.moved, self.version = False, None
        self.ask()

    def move(self, address: str) -> None:
        """What another agent's version numbers mean is not known: the whole list is asked for there."""
        if address != self.address:
            self.moved = True
        super().move(address)

    def reconnect(self) -> None:
        self.moved = True
        super().reconnect()

    def begin(self, version: int, wait: float) -> None:
        """The first watch is of what changed since then, so many seconds from now."""
        self.version = version
        self.retry_timer = self.reactor.callLater(wait, self.start)

    def wait(self, code: str) -> float:
        return self.turned.next(self.away) if code == "turned_away" else super().wait(code)

    def ask(self) -> None:
        first = self.version is None
        self.counters.add("discovery.asked")
        self.expect_data_within(FIRST_WAIT if first else WATCH + SLACK)
        self.connection.call(self.path if first else f"{self.path}?after={self.version}&wait_ms={int(WATCH * 1000)}")

    def came(self, connection: Caller, reply: Reply) -> None:
        if connection is not self.connection:
            return
        self.stop_expecting_data()
        if reply.turned_away():  # nothing was missed: no whole list, which all would ask for next
            self.counters.add("discovery.turned_away")
            self.away = reply.wait
            return connection.end("turned_away")
        try:
            if reply.status != 200:
                raise Unreadable(f"status {reply.status}")
            news = read_news(json.loads(reply.body))
        except (Unreadable, ValueError, RecursionError) as problem:
            self.version = None  # what was missed can't be told: the whole list next
            return connection.unreadable(str(problem))
        self.counters.add("discovery.answered")
        self.version = news.version
        self.pauses.reset()
        self.turned.reset()
        if not connection.code:
            self.ask()  # before anything else: a watch goes on only for 200 ms
        self.tell(news)
