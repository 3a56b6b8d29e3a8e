"""Clients: their connections, what comes over them, and the answers in the order of the queries."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..choices.endings import UNUSED, leaves_off
from ..choices.pipelining import may_begin
from . import messages, statements
from .counters import Counters
from .kept import cancel
from .kernel import end_half, unread
from .messages import Value

READ_AHEAD, EACH = 64 * 1024, 256  # bytes held of one connection, then reading rests; for each
MOST_QUERIES = 32  # that wait in one connection: no client in order asks so much
SWEEP, LOOKS = 0.1, 8  # seconds; idle connections looked at for one that makes room
MUTE, FIRST = 20_000, 5_000  # tenths of a ms: something whole must have come; a first query
CROWD = 0.25  # so full, connections end that are idle for UNUSED
READ_OUT, MOST_READ_OUT = 0.5, 32  # seconds for the other side's end behind ours; connections at a time


class Rejected(NamedTuple):
    """Trying again is harmless, after `come_back` tenths of a millisecond (0: no advice)."""

    come_back: int


class Forfeited(NamedTuple):
    pass


Answer = Value | Rejected | Forfeited
REJECTED, FORFEITED, FULL, FORM, FOREIGN, LOST = "53300", "58000", "53300", "42601", "0A000", "08P01"


def encoded(answer: Answer) -> bytes:
    match answer:
        case Rejected(come_back):
            after = -(-come_back // 10)
            return messages.trouble(REJECTED, "rejected, nothing was run", after) + messages.READY
        case Forfeited():
            return messages.trouble(FORFEITED, "forfeited") + messages.READY
        case _:
            return messages.whole(answer)


class Asked(NamedTuple):
    """A query, and when it came."""

    text: bytes
    at: int


class Ending(NamedTuple):
    """The connection's end, in its turn behind the answers still due."""

    code: str
    last: bytes = b""
    note: str = ""


@dataclass(slots=True)
class Turn:
    """A place in the order of the answers: what was asked first is written back first."""

    held: int  # bytes of the query, as long as another is before it
    request: Deferred[Answer] | None = None
    answer: bytes | None = None  # None: not known yet


def size(what: Asked | bytes | Ending) -> int:
    return EACH + (len(what.text) if isinstance(what, Asked) else 0)


@implementer(IHalfCloseableProtocol)
class Client(Protocol):
    """One connection.  Requests written one behind another are under way together, as far as `may_begin` allows; their
    answers keep the order of the queries.  The first of `turns` is always one whose answer is not known yet."""

    def __init__(self, clients: "Clients") -> None:
        self.clients, self.counters = clients, clients.counters
        self.splitter = messages.Splitter(typed=False)
        self.queue: deque[Asked | bytes | Ending] = deque()  # bytes: an answer that is known already
        self.turns: deque[Turn] = deque()  # begun and not written back; emptied by the answers or the end
        self.answer_bytes = 0  # of known answers in `turns`
        self.welcome = True  # False: there is no room for it
        self.again = clients.closing  # it came when this relay was ending already
        self.reading_out, self.cutting = False, None  # our half has ended; the timer of the other's end
        self.skipping = self.working = self.clogged = self.deaf = self.resting = False
        self.held = 0  # bytes of the queue, and of the queries in `turns` behind the first
        self.idle_since = clients.clock()
        self.queries, self.asked = 0, False  # waiting in the queue; whether one was ever whole
        self.half_since: int | None = None  # half of a message has come, and the last whole one is so old
        self.code, self.note = "", ""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)  # to be told when answers pile up unread
        self.counters.add("clients.connections")
        self.welcome = self.clients.enter(self)

    def dataReceived(self, data: bytes) -> None:
        if self.code or self.deaf:
            return
        self.counters.add("clients.bytes_in", len(data))
        self.splitter.feed(data)
        half, self.half_since = self.half_since, None
        try:
            for kind, body in self.splitter:
                half = None
                if self.splitter.typed:
                    self.came(messages.from_client(kind, body))
                else:
                    self.opened(messages.opening(body))
                if self.code or self.deaf:
                    break
        except messages.Unreadable as problem:  # what came before it still gets its answers
            self.counters.add("clients.unreadable")
            self.hold(Ending("unreadable", messages.trouble(LOST, str(problem), fatal=True), str(problem)))
        if self.splitter.held:
            self.half_since = half or self.clients.clock()
        self.next()

    def opened(self, first: messages.Startup | messages.Encryption | messages.Cancel) -> None:
        match first:
            case messages.Encryption():
                self.hold(messages.DECLINED)
            case messages.Cancel():
                self.hold(Ending("cancel"))  # what is asked there can't be told apart: nothing to stop
            case messages.Startup() if not self.welcome:
                self.hold(Ending("full", messages.trouble(FULL, "too many connections", fatal=True)))
            case messages.Startup():
                self.splitter.typed = True
                self.hold(messages.WELCOME)

    def came(self, what: messages.Query | messages.Extended | messages.Copied | messages.Terminate) -> None:
        """After an extended message nothing counts up to the Sync, as the protocol has it."""
        match what:
            case messages.Terminate():
                self.hold(Ending("goodbye"))
            case messages.Extended(sync=True):
                self.skipping = False
                self.hold(messages.READY)
            case messages.Extended() if not self.skipping:
                self.skipping = True
                self.counters.add("clients.foreign")
                self.hold(messages.trouble(FOREIGN, "simple queries only"))
            case messages.Query(text) if not self.skipping:
                self.asked = True
                self.hold(Asked(text, self.clients.clock()))
                self.queries += 1
                if self.queries > MOST_QUERIES:
                    self.flooded()

    def flooded(self) -> None:
        """So many commands at once: none that waits is begun, and the one at hand is the last."""
        self.queue.clear()
        self.held = 0
        self.hold(Ending("flood", messages.trouble(LOST, "too many commands at once", fatal=True)))

    def hold(self, what: Asked | bytes | Ending) -> None:
        self.queue.append(what)
        self.deaf |= isinstance(what, Ending)
        self.held += size(what)
        if self.held > READ_AHEAD and not self.resting:
            self.resting = True
            self.transport.pauseProducing()

    def next(self) -> None:
        """The queue's first, and on, as long as more may be under way and the answers are read."""
        if self.working:
            return
        self.working = True
        while self.queue and not self.code and not self.clogged and self.may_go_on():
            first = self.queue.popleft()
            if isinstance(first, Ending):
                self.end(first.code, first.last, first.note)
                break
            self.begin(first)
        self.working = False
        if self.clients.closing:
            self.leave_off()

    def may_go_on(self) -> bool:
        """Whether the queue's first may be begun; an end has its turn behind the last answer."""
        if isinstance(self.queue[0], Ending):
            return not self.turns
        return may_begin(len(self.turns), self.answer_bytes, self.clients.answer_bytes)

    def begin(self, first: Asked | bytes) -> None:
        turn = Turn(size(first))
        self.turns.append(turn)
        if len(self.turns) == 1:
            self.release(turn)
        if isinstance(first, bytes):
            return self.settle(turn, first)
        self.queries -= 1
        self.answer(first, turn)

    def release(self, turn: Turn) -> None:
        """Its query is the first now, and no longer counts as held."""
        self.held -= turn.held
        turn.held = 0
        if self.resting and self.held < READ_AHEAD // 2:
            self.resting = False
            self.transport.resumeProducing()

    def leave_off(self) -> None:
        """This relay is ending: the end of an idle connection, not over a query in the kernel, which is ours
        already."""
        now = self.clients.clock()
        mute = self.mute(now)
        if self.free() and (mute or leaves_off(not self.asked, now - self.idle_since, bool(self.half_since))):
            self.end("mute" if mute else "closing")

    def answer(self, asked: Asked, turn: Turn) -> None:
        text = asked.text
        if not text.strip(b" ;\n\t"):
            self.counters.add("clients.empty")
            return self.answer_empty(turn)
        if statements.IDLE.fullmatch(text):
            return self.settle(turn, messages.SET_DONE)
        try:
            turn.request = self.clients.take(statements.read(text), asked.at)
        except statements.Unclear as problem:
            self.counters.add("clients.unclear")
            return self.settle(turn, messages.trouble(FORM, str(problem)) + messages.READY)
        self.counters.add("clients.taken")
        turn.request.addCallbacks(self.answered, lambda reason: None, callbackArgs=(turn,))  # cancelled: nobody there

    def answer_empty(self, turn: Turn) -> None:
        if not self.again:
            return self.settle(turn, messages.EMPTY)
        self.queue.clear()  # a front that asks whether this relay is ready: not any more
        self.hold(Ending("closing"))
        self.settle(turn, b"")

    def answered(self, answer: Answer, turn: Turn) -> None:
        self.idle_since = self.clients.clock()
        self.counters.add(f"clients.{type(answer).__name__.lower()}")
        self.settle(turn, encoded(answer))
        self.next()

    def settle(self, turn: Turn, answer: bytes) -> None:
        """The answer is known: it is written once those before it are."""
        turn.request, turn.answer = None, answer
        self.count_answer(len(answer))
        while self.turns and self.turns[0].answer is not None:
            known = self.turns.popleft().answer
            self.count_answer(-len(known))
            self.write(known)
            if self.turns:
                self.release(self.turns[0])

    def count_answer(self, more: int) -> None:
        """Bytes of answers that wait for an earlier one, here and in all connections."""
        self.answer_bytes += more
        self.clients.answer_bytes += more

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def pauseProducing(self) -> None:
        """Answers pile up unread: no more of them until the client reads."""
        self.clogged = True

    def resumeProducing(self) -> None:
        self.clogged = False
        self.next()

    def stopProducing(self) -> None:
        """The connection has ended."""

    @property
    def waiting(self) -> bool:
        """Whether a request of it is under way."""
        return bool(self.turns)

    def idle(self) -> bool:
        return not self.turns and not self.queue and not self.code

    def mute(self, now: int) -> bool:
        """Nothing whole has come for too long: no opening, no query ever, or half of a message."""
        since = self.half_since or (now if self.asked else self.idle_since)
        return self.idle() and now - since > MUTE

    def free(self) -> bool:
        """Idle, and nothing that it asked waits in the kernel: to close over that would reset it."""
        return self.idle() and not unread(self.transport)

    def end(self, code: str, last: bytes = b"", note: str = "") -> None:
        """Behind what was written.  With a last answer just written only our half ends, and what still comes is read
        and dropped until the other half does: a close with something unread is a reset, which may overtake the
        answer."""
        if self.code:
            return
        self.code, self.note = code, note
        if last:
            self.write(last)
        self.transport.unregisterProducer()  # one that is paused would be asked for more, and no end would follow
        if (last or code == "closing") and self.clients.reading_out < MOST_READ_OUT:
            self.clients.reading_out += 1
            self.reading_out = True
            self.transport.resumeProducing()
            end_half(self.transport)
        else:
            end_half(self.transport)
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """All is written and our half has ended."""
        self.cutting = self.clients.reactor.callLater(READ_OUT, self.cut)

    def readConnectionLost(self) -> None:
        """The other half has ended: who does that waits for nothing more."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def cut(self, code: str = "") -> None:
        """No more waiting for the other side."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.clients.leave(self)
        self.clients.reading_out -= self.reading_out
        cancel(self.cutting)
        self.queue.clear()
        self.code = code = self.code or (
            "left" if self.turns else "closed" if reason.check(ConnectionDone) else "broken"
        )
        for request in [turn.request for turn in self.turns if turn.request]:
            self.counters.add("clients.left")
            request.cancel()
        self.turns.clear()
        self.count_answer(-self.answer_bytes)
        self.counters.connection_ended("client", code, peer(self.transport), self.note)


def peer(transport: object) -> str:
    address = transport.getPeer()
    return f"{getattr(address, 'host', '?')}:{getattr(address, 'port', 0)}"


class Clients(Factory):
    """All clients.  `take` starts an invocation; its Deferred is cancelled when the client has gone."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        take: Callable[[statements.Statement, int], Deferred[Answer]],
        clock: Callable[[], int],
        counters: Counters,
        most: int,
    ) -> None:
        self.reactor, self.take, self.clock, self.counters, self.most = reactor, take, clock, counters, most
        self.connections: dict[Client, None] = {}
        self.closing = False
        self.answer_bytes = 0  # of all connections' answers that wait for an earlier one
        self.reading_out = 0  # connections whose other half is waited for
        self.sweeping = reactor.callLater(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Connections that say nothing, or never end what they say, are not kept; idle ones only while there
        are few: clients may hold so many unused that none is left for the next invocation.  No error is sent,
        which a query on its way would take for its answer."""
        now, crowded = self.clock(), len(self.connections) > self.most * CROWD
        for client in list(self.connections):
            if client.mute(now) and client.free():
                client.end("mute")
            elif crowded and not client.half_since and now - client.idle_since > UNUSED and client.free():
                client.end("crowded")
        self.sweeping = self.reactor.callLater(SWEEP, self.sweep)

    def stop_sweeping(self) -> None:
        if self.sweeping.active():
            self.sweeping.cancel()

    def buildProtocol(self, addr: object) -> Client:
        return Client(self)

    def enter(self, client: Client) -> bool:
        """Whether there is room; of the idle connections one that should have asked by now makes room, or else
        the longest idle one.  One that is new is about to ask: its query may have come already, unread."""
        now = self.clock()
        self.connections[client] = None
        if len(self.connections) <= self.most:
            return True
        idle = sorted(
            (each for each in self.connections if each is not client and each.idle()),
            key=lambda each: (bool(each.half_since), each.asked or now - each.idle_since < FIRST, each.idle_since),
        )
        longest = next((each for each in idle[:LOOKS] if each.free()), None)
        if longest:
            longest.end("no_room")
        return longest is not None

    def leave(self, client: Client) -> None:
        self.connections.pop(client, None)

    def close(self) -> None:
        """Idle connections end now, the others with their last answer; called again until none is left."""
        self.closing = True
        for client in list(self.connections):
            client.next()

    def cut(self) -> None:
        """Who does not read its answers, or does not end its half, is left; an invocation at hand has a time of its
        own."""
        for client in list(self.connections):
            if not client.waiting:
                client.cut("unread")
