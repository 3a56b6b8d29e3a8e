"""Clients: their connections, what comes over them, and the answers in the order of the queries."""
from collections import deque
from typing import Callable, NamedTuple, Union

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from . import messages, statements
from .counters import Counters
from .messages import Value

MOST_QUERIES = 64                                # read ahead on one connection; then reading rests


class Rejected(NamedTuple):
    """Trying again is harmless, after `come_back` tenths of a millisecond (0: no advice)."""
    come_back: int


class Forfeited(NamedTuple):
    pass


Answer = Union[Value, Rejected, Forfeited]
REJECTED, FORFEITED, FULL, CLOSING = "53300", "58000", "53300", "57P03"
FORM, FOREIGN, LOST = "42601", "0A000", "08P01"


def encoded(answer: Answer) -> bytes:
    match answer:
        case Rejected(come_back):
            after = -(-come_back // 10)
            return messages.trouble(REJECTED, "rejected, nothing was run", after) + messages.READY
        case Forfeited():
            return messages.trouble(FORFEITED, "forfeited") + messages.READY
        case _:
            return messages.whole(answer)


class Client(Protocol):
    """One connection.  Its queries are answered one after the other; `waiting` is the one at hand."""

    def __init__(self, clients: "Clients") -> None:
        self.clients, self.counters = clients, clients.counters
        self.splitter = messages.Splitter(typed=False)
        self.queue: deque[tuple[bytes, int]] = deque()           # texts, and when each came
        self.waiting: Deferred[Answer] | None = None
        self.skipping = self.working = False     # after an extended message, up to the Sync
        self.code, self.note = "", ""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.counters.add("clients.connections")
        if not self.clients.enter(self):
            self.end("full", messages.trouble(FULL, "too many connections", fatal=True))

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        self.counters.add("clients.bytes_in", len(data))
        self.splitter.feed(data)
        try:
            self.split()
        except messages.Unreadable as problem:
            self.counters.add("clients.unreadable")
            self.end("unreadable", messages.trouble(LOST, str(problem), fatal=True), str(problem))

    def split(self) -> None:
        for kind, body in self.splitter:
            if not self.splitter.typed:
                self.opened(messages.opening(body))
            else:
                self.came(messages.from_client(kind, body))
            if self.code:
                return

    def opened(self, first: messages.Startup | messages.Encryption | messages.Cancel) -> None:
        match first:
            case messages.Encryption():
                self.write(messages.DECLINED)
            case messages.Cancel():
                self.end("cancel")               # what is asked there can't be told apart: nothing to stop
            case messages.Startup():
                self.splitter.typed = True
                self.write(messages.WELCOME)

    def came(self, what: messages.Query | messages.Extended | messages.Copied | messages.Terminate) -> None:
        match what:
            case messages.Terminate():
                self.end("goodbye")
            case messages.Query(text) if not self.skipping:
                self.queue.append((text, self.clients.clock()))
                self.next()
                if len(self.queue) >= MOST_QUERIES:
                    self.transport.pauseProducing()
            case messages.Extended(sync=True):
                self.queue.append((b"", -1) if self.skipping else (b"", -2))
                self.skipping = False
                self.next()
            case messages.Extended() if not self.skipping:
                self.skipping = True
                self.counters.add("clients.foreign")

    def next(self) -> None:
        """The queries that wait, as long as each is answered at once."""
        if self.working:
            return
        self.working = True
        while self.queue and not self.waiting and not self.code:
            text, at = self.queue.popleft()
            if at < 0:                           # a Sync: what came before it is answered once
                foreign = messages.trouble(FOREIGN, "simple queries only") if at == -1 else b""
                self.write(foreign + messages.READY)
            else:
                self.answer(text, at)
            if len(self.queue) == MOST_QUERIES // 2:
                self.transport.resumeProducing()
        self.working = False
        if not self.queue and not self.waiting and not self.code and self.clients.closing:
            self.end("closing")

    def answer(self, text: bytes, at: int) -> None:
        if not text.strip(b" ;\n\t"):
            self.counters.add("clients.empty")
            return self.write(messages.EMPTY)
        if statements.IDLE.fullmatch(text):
            return self.write(messages.SET_DONE)
        try:
            statement = statements.read(text)
            self.waiting = self.clients.take(statement, at)
        except statements.Unclear as problem:
            self.counters.add("clients.unclear")
            return self.write(messages.trouble(FORM, str(problem)) + messages.READY)
        self.counters.add("clients.taken")
        self.waiting.addCallbacks(self.answered, lambda reason: None)     # cancelled: nobody to answer

    def answered(self, answer: Answer) -> None:
        self.waiting = None
        self.counters.add(f"clients.{type(answer).__name__.lower()}")
        self.write(encoded(answer))
        self.next()

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def idle(self) -> bool:
        return not self.waiting and not self.queue

    def end(self, code: str, last: bytes = b"", note: str = "") -> None:
        if not self.code:
            self.code, self.note = code, note
            if last:
                self.write(last)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.clients.leave(self)
        self.queue.clear()
        waiting, self.waiting = self.waiting, None
        code = self.code or ("left" if waiting else "closed" if reason.check(ConnectionDone) else "broken")
        if waiting:
            self.counters.add("clients.left")
            waiting.cancel()
        self.counters.ended("client", code, str(self.transport.getPeer()), self.note)


class Clients(Factory):
    """All clients.  `take` starts an invocation; its Deferred is cancelled when the client has gone."""
    noisy = False

    def __init__(self, take: Callable[[statements.Statement, int], Deferred[Answer]],
                 clock: Callable[[], int], counters: Counters, most: int) -> None:
        self.take, self.clock, self.counters, self.most = take, clock, counters, most
        self.connections: dict[Client, None] = {}
        self.closing = False

    def buildProtocol(self, addr: object) -> Client:
        return Client(self)

    def enter(self, client: Client) -> bool:
        self.connections[client] = None
        return len(self.connections) <= self.most

    def leave(self, client: Client) -> None:
        self.connections.pop(client, None)

    def close(self) -> None:
        """Idle connections end now, the others with their last answer."""
        self.closing = True
        for client in list(self.connections):
            if client.idle():
                client.end("closing")
