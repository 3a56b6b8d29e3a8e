"""One connection of a client: queries come in, and their answers go out in the order of the queries.

Times are in tenths of a millisecond unless a name ends in `_S` (seconds).
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..choices.connection_lifetimes import may_close_idle
from ..choices.memory_budget import SMALL_MESSAGE, ByteBudget, request_cost
from ..choices.pipelining import LARGE_READ_BYTES, READ_BYTES, may_begin, read_size
from . import messages, statements
from .answers import (
    CONNECTION_LIMIT_CODE,
    NO_ROOM_ANSWER,
    PROTOCOL_ERROR_CODE,
    STATEMENT_ERROR_CODE,
    UNSUPPORTED_PROTOCOL_CODE,
    Answer,
    encode_answer,
)
from .connections import cancel
from .counters import Counters
from .kernel import half_close, has_peer_closed, has_unread_bytes
from .turns import Turns

MAX_HELD_BYTES = 64 * 1024  # of one connection's waiting queries; reading pauses above it and resumes below half
ENTRY_BYTES = 256  # counted for each queue entry, besides its text
FIRST_PAUSED_CHECK_S = 0.02  # until the first check whether a client has closed a connection that is not read
PAUSED_CHECK_S = 0.05  # between further checks
MAX_OTHER_MESSAGES = 64  # of one connection that are no queries, up to its next query
MAX_QUEUED_ENTRIES = 64  # of one connection, refusals among them
MAX_QUEUED_QUERIES = 32  # of one connection; a well-behaved client does not send so many at once
MUTE_TIMEOUT = 20_000  # within which something complete must come
HALF_CLOSE_TIMEOUT_S = 0.5  # for the other side's end, after ours
REFUSED_TIMEOUT_S = 0.05  # the same for a connection that there was no room for
MAX_HALF_CLOSED = 32  # connections that wait for the other side's end; more are closed at once
MAX_REFUSED_HALF_CLOSED = 8  # the same before one that there was no room for closes at once


class ReceivedQuery(NamedTuple):
    """A query, and when it came to this machine."""

    text: bytes
    at: int


class Ending(NamedTuple):
    """The connection's end, queued behind the answers still due: its code, a last message, and a detail for the log."""

    code: str
    last_message: bytes = b""
    detail: str = ""


@dataclass(slots=True)
class PendingAnswer:
    """An answer's place in the order in which answers are written, which is that of the queries."""

    held_bytes: int  # of the query, as long as another is before it
    request: Deferred[Answer] | None = None
    answer: bytes | None = None  # None: not known yet


def entry_bytes(entry: ReceivedQuery | bytes | Ending) -> int:
    """What a queue entry counts towards MAX_HELD_BYTES."""
    return ENTRY_BYTES + (len(entry.text) if isinstance(entry, ReceivedQuery) else 0)


class ConnectionOwner(Interface):
    """What a connection uses of all clients' connections."""

    reactor: Any
    clock: Callable[[], int]
    arrival: Callable[[Any], int]  # when what a transport delivers has come to this machine
    counters: Counters
    take: Callable[[statements.Statement, int, Callable[[], bool]], Deferred[Answer]]
    turns: Turns
    requests: ByteBudget
    answers: ByteBudget
    answer_bytes: int  # of answers that wait for an earlier one
    half_closed: int  # connections that wait for the other side's end
    closing: bool

    def admit(self, client: "ClientConnection") -> bool:
        """Register a new connection, and return whether there is room for it."""

    def remove(self, client: "ClientConnection") -> None:
        """A connection has ended."""

    def became_idle(self, client: "ClientConnection") -> None:
        """A connection has answered."""

    def reserve(self, client: "ClientConnection", cost: int) -> bool:
        """Count a large message that has begun, if there is room."""

    def release(self, client: "ClientConnection", cost: int) -> None:
        """Give up what was reserved."""

    def has_room_for(self, text: bytes) -> bool:
        """Whether a query that has come may wait and be begun."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One connection of a client.

    Queries that the client writes one behind another are served at the same time, as far as `may_begin` allows; their
    answers keep the order of the queries.  The first of `pending` is always one whose answer is not known yet.
    """

    __slots__ = (
        "clients",
        "counters",
        "splitter",
        "queue",
        "pending",
        "answer_bytes",
        "unsent_bytes",
        "unread_since",
        "is_admitted",
        "came_during_shutdown",
        "is_half_closed",
        "half_close_timer",
        "skips_to_sync",
        "is_processing",
        "write_paused",
        "ignores_input",
        "read_paused",
        "paused_check_timer",
        "holds_much",
        "is_deferred",
        "drains",
        "held_bytes",
        "idle_since",
        "other_messages",
        "queued_queries",
        "has_queried",
        "incomplete_cost",
        "queued_cost",
        "incomplete_since",
        "partial_since",
        "code",
        "detail",
    )  # since a process may hold hundreds

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients, self.counters = clients, clients.counters
        self.splitter = messages.MessageSplitter(typed=False)
        self.queue: list[ReceivedQuery | bytes | Ending] = []  # bytes: an answer that is known already
        self.pending: list[PendingAnswer] = []  # begun and not written yet; emptied by the answers or the end
        self.answer_bytes = 0  # of known answers in `pending`
        self.unsent_bytes = self.unread_since = 0  # while the transport's buffer is full: what is in it, and since when
        self.is_admitted = True  # False: all places were taken when it came
        self.came_during_shutdown = clients.closing
        self.is_half_closed, self.half_close_timer = False, None  # whether our half has ended; the wait for the other
        # Respectively: after a refused extended message; during `process_queue`; while the transport's buffer is full;
        # once an Ending is queued; while it is not read.
        self.skips_to_sync = self.is_processing = self.write_paused = self.ignores_input = self.read_paused = False
        # Since more than MAX_HELD_BYTES were held; while queries wait for their turn among other connections'.
        self.holds_much = self.is_deferred = False
        self.drains = False  # queries are read and refused, though one of the two holds
        self.paused_check_timer: Any = None  # of the next check while `read_paused`
        self.held_bytes = 0  # of the queue, and of the queries in `pending` behind the first
        self.idle_since = clients.clock()
        self.other_messages = 0  # that were no queries, since the last query
        self.queued_queries, self.has_queried = 0, False  # `has_queried`: a complete query has come
        # Counted in `clients.requests`: for the large message that is incomplete, and when that was; for the queue.
        self.incomplete_cost = self.queued_cost = self.incomplete_since = 0
        self.partial_since: int | None = None  # when the first part of a message that is still incomplete came
        self.code, self.detail = "", ""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)  # so that `pauseProducing` is called when the buffer is full
        self.counters.add("clients.connections")
        self.is_admitted = self.clients.admit(self)

    def dataReceived(self, data: bytes) -> None:
        if self.code or self.ignores_input:
            return
        self.counters.add("clients.bytes_in", len(data))
        self.splitter.feed(data)
        # The time of the message that is still incomplete is kept unless this data completes a message.
        partial_since, self.partial_since = self.partial_since, None
        try:
            for kind, body in self.splitter:
                partial_since = None
                self.take_message(kind, body)
                if self.code or self.ignores_input:
                    break
            self.hold_incomplete()
        except messages.ProtocolError as problem:  # earlier queries still get their answers
            self.counters.add("clients.unreadable")
            self.enqueue(
                Ending(
                    "unreadable",
                    messages.error_response(PROTOCOL_ERROR_CODE, str(problem), fatal=True),
                    str(problem),
                )
            )
        if self.splitter.is_partial():
            self.partial_since = partial_since or self.clients.clock()
        self.process_queue()

    def take_message(self, kind: bytes, body: bytes | None) -> None:
        """Handle a complete message; `body` None: it was skipped.  Raises ProtocolError."""
        self.release_incomplete()
        self.other_messages = 0 if kind == b"Q" else self.other_messages + 1
        if self.other_messages > MAX_OTHER_MESSAGES:
            self.end_flood()
        elif body is None:
            self.on_skipped_message(kind)
        elif self.splitter.typed:
            self.on_message(messages.parse_client_message(kind, body))
        else:
            self.on_first_message(messages.parse_first_message(body))

    def hold_incomplete(self) -> None:
        """Hold the message that has begun if there is room for all of it, or else skip it to its end."""
        if self.code or self.ignores_input:
            return
        self.transport.bufferSize = read_size(self.splitter.missing())
        length = self.splitter.incomplete_length()
        if length <= SMALL_MESSAGE or self.incomplete_cost:
            return
        cost = request_cost(length)
        if not self.drains and self.clients.reserve(self, cost):
            self.incomplete_cost, self.incomplete_since = cost, self.clients.clock()
        else:
            self.skip_incomplete()

    def skip_incomplete(self) -> None:
        """There is no room for the message that has begun: what has come of it and will come is dropped."""
        self.counters.add("clients.skipped")
        self.release_incomplete()
        self.splitter.skip()

    def release_incomplete(self) -> None:
        """The message that was incomplete is no longer."""
        if self.incomplete_cost:
            self.clients.release(self, self.incomplete_cost)
            self.incomplete_cost = 0

    def on_skipped_message(self, kind: bytes) -> None:
        """The end of a message that was skipped: a query is refused, in its turn; nothing else is answered."""
        if not self.splitter.typed:
            self.enqueue(Ending("full", messages.error_response(CONNECTION_LIMIT_CODE, "no memory", fatal=True)))
        elif kind == b"Q":
            self.refuse_query()
        else:
            self.on_message(messages.parse_client_message(kind, b""))

    def has_room_for(self, text: bytes) -> bool:
        """Whether a query that has come may wait here."""
        return not self.drains and self.clients.has_room_for(text)

    def refuse_query(self) -> None:
        """Answer a query that there is no room for, once those before it are answered."""
        self.has_queried = True
        self.counters.add("clients.no_memory")
        self.enqueue(NO_ROOM_ANSWER)
        if len(self.queue) > MAX_QUEUED_ENTRIES:
            self.end_flood()

    def on_first_message(self, message: messages.Startup | messages.EncryptionRequest | messages.CancelRequest) -> None:
        match message:
            case messages.EncryptionRequest():
                self.enqueue(messages.ENCRYPTION_DECLINED)
            case messages.CancelRequest():
                self.enqueue(Ending("cancel"))  # all connections have the same key, so it does not say what to cancel
            case messages.Startup() if not self.is_admitted:
                self.refuse()
            case messages.Startup():
                self.splitter.typed = True
                self.enqueue(messages.STARTUP_RESPONSE)

    def refuse(self) -> None:
        """There is no room for this connection: say so and end it."""
        self.enqueue(Ending("full", messages.error_response(CONNECTION_LIMIT_CODE, "too many connections", fatal=True)))

    def on_message(
        self, message: messages.Query | messages.ExtendedMessage | messages.CopyMessage | messages.Terminate
    ) -> None:
        """As the protocol demands, all messages after a refused extended message are skipped, up to the Sync."""
        match message:
            case messages.Terminate():
                self.enqueue(Ending("goodbye"))
            case messages.ExtendedMessage(sync=True):
                self.skips_to_sync = False
                self.enqueue(messages.READY_FOR_QUERY)
            case messages.ExtendedMessage() if not self.skips_to_sync:
                self.skips_to_sync = True
                self.counters.add("clients.foreign")
                self.enqueue(messages.error_response(UNSUPPORTED_PROTOCOL_CODE, "simple queries only"))
            case messages.Query(text) if text and not self.skips_to_sync and not self.has_room_for(text):
                self.refuse_query()
            case messages.Query(text) if not self.skips_to_sync:
                self.has_queried = True
                self.enqueue(ReceivedQuery(text, self.clients.arrival(self.transport)))
                self.queued_queries += 1
                if self.queued_queries > MAX_QUEUED_QUERIES:
                    self.end_flood()

    def end_flood(self) -> None:
        """Too many queries wait: none of them is begun, and the connection ends behind the answers still due."""
        self.clear_queue()
        self.held_bytes = 0
        self.enqueue(
            Ending("flood", messages.error_response(PROTOCOL_ERROR_CODE, "too many commands at once", fatal=True))
        )

    def clear_queue(self) -> None:
        """Drop what waits to be begun."""
        self.queue.clear()
        self.clients.requests.remove(self.queued_cost)
        self.queued_cost = 0

    def count_queued(self, cost: int) -> None:
        """Count what a query costs that waits, or no longer does."""
        self.queued_cost += cost
        self.clients.requests.add(cost)

    def enqueue(self, entry: ReceivedQuery | bytes | Ending) -> None:
        self.queue.append(entry)
        if isinstance(entry, ReceivedQuery):
            self.count_queued(request_cost(len(entry.text)))
        if isinstance(entry, Ending):
            self.ignores_input = True
            self.transport.bufferSize = LARGE_READ_BYTES
        self.held_bytes += entry_bytes(entry)
        self.holds_much |= self.held_bytes > MAX_HELD_BYTES
        self.pause_or_resume()

    def pause_or_resume(self) -> None:
        """Read from the connection, unless it holds much or has queries that wait for their turn."""
        must_wait = self.holds_much or self.is_deferred
        self.drains &= must_wait
        is_paused = must_wait and not self.drains
        if is_paused and not self.read_paused:
            self.read_paused = True
            self.transport.pauseProducing()
            self.paused_check_timer = self.clients.reactor.callLater(FIRST_PAUSED_CHECK_S, self.check_paused)
        elif self.read_paused and not is_paused:
            self.read_paused = False
            cancel(self.paused_check_timer)
            self.transport.resumeProducing()

    def check_paused(self) -> None:
        """End the connection if its client has closed it, which reading would show; repeats itself while paused.

        Where bytes wait unread, the close may lie behind more than the kernel takes in: they are read, and refused.
        """
        if not self.read_paused:
            return
        if has_peer_closed(self.transport):
            self.abort("left")
        elif has_unread_bytes(self.transport):
            self.drains = True
            self.transport.bufferSize = LARGE_READ_BYTES
            self.pause_or_resume()
        else:
            self.paused_check_timer = self.clients.reactor.callLater(PAUSED_CHECK_S, self.check_paused)

    def process_queue(self) -> None:
        """Begin the queue's entries in order, as long as more may be under way and the client reads its answers.

        Once the turn of the event loop has taken its time, further queries wait for the next.
        """
        if self.is_processing:
            return
        self.is_processing = True
        while self.has_entry_to_begin():
            if isinstance(self.queue[0], ReceivedQuery) and not self.clients.turns.may_work(self):
                break
            first = self.queue.pop(0)
            if isinstance(first, Ending):
                self.end(first.code, first.last_message, first.detail)
                break
            self.begin(first)
        self.is_processing = False
        if self.clients.closing:
            self.end_if_idle()

    def has_entry_to_begin(self) -> bool:
        """Whether the queue's first entry may be begun now."""
        return bool(self.queue) and not self.code and not self.write_paused and self.may_begin_first()

    def set_deferred(self, is_deferred: bool) -> None:
        """Queries wait for their turn from now on, or no longer: nothing more is read meanwhile."""
        self.is_deferred = is_deferred
        self.pause_or_resume()

    def may_begin_first(self) -> bool:
        """Whether the queue's first entry may be begun; an end waits until the last answer is written."""
        if isinstance(self.queue[0], Ending):
            return not self.pending
        return may_begin(len(self.pending), self.answer_bytes, self.clients.answer_bytes)

    def begin(self, entry: ReceivedQuery | bytes) -> None:
        pending = PendingAnswer(entry_bytes(entry))
        self.pending.append(pending)
        if len(self.pending) == 1:
            self.release_held_bytes(pending)
        if isinstance(entry, bytes):
            return self.set_answer(pending, entry)
        self.queued_queries -= 1
        self.count_queued(-request_cost(len(entry.text)))
        self.answer_query(entry, pending)

    def release_held_bytes(self, pending: PendingAnswer) -> None:
        """Its query is the first now, which does not count as held."""
        self.held_bytes -= pending.held_bytes
        pending.held_bytes = 0
        self.holds_much &= self.held_bytes >= MAX_HELD_BYTES // 2
        self.pause_or_resume()

    def end_if_idle(self) -> None:
        """While the relay shuts down: end the connection if it is idle and no query waits in the kernel, since that
        has to be served."""
        now = self.clients.clock()
        is_mute = self.is_mute(now)
        if self.can_be_closed() and (
            is_mute or may_close_idle(not self.has_queried, now - self.idle_since, bool(self.partial_since))
        ):
            self.end("mute" if is_mute else "closing")

    def answer_query(self, query: ReceivedQuery, pending: PendingAnswer) -> None:
        text = query.text
        if not text.strip(b" ;\n\t"):
            self.counters.add("clients.empty")
            return self.answer_empty(pending)
        if statements.SESSION_COMMAND.fullmatch(text):
            return self.set_answer(pending, messages.SET_RESPONSE)
        if self.has_closed():
            return self.abort("left")
        try:
            pending.request = self.clients.take(statements.read(text), query.at, self.has_closed)
        except statements.StatementError as problem:
            self.counters.add("clients.unclear")
            return self.set_answer(
                pending, messages.error_response(STATEMENT_ERROR_CODE, str(problem)) + messages.READY_FOR_QUERY
            )
        self.counters.add("clients.taken")
        # the errback takes the cancellation, when there is nobody to answer any more
        pending.request.addCallbacks(self.on_answer, lambda reason: None, callbackArgs=(pending,))

    def has_closed(self) -> bool:
        """Whether the client has closed the connection, which reading shows only behind all that is unread."""
        return has_peer_closed(self.transport)

    def answer_empty(self, pending: PendingAnswer) -> None:
        if not self.came_during_shutdown:
            return self.set_answer(pending, messages.EMPTY_QUERY_RESPONSE)
        self.clear_queue()  # a load balancer's readiness check: this relay is no longer ready
        self.enqueue(Ending("closing"))
        self.set_answer(pending, b"")

    def on_answer(self, answer: Answer, pending: PendingAnswer) -> None:
        self.idle_since = self.clients.clock()
        self.clients.became_idle(self)
        self.counters.add(f"clients.{type(answer).__name__.lower()}")
        self.set_answer(pending, encode_answer(answer))
        self.process_queue()

    def set_answer(self, pending: PendingAnswer, answer: bytes) -> None:
        """An answer is known: write it once all answers before it are written."""
        pending.request, pending.answer = None, answer
        self.add_answer_bytes(len(answer))
        while self.pending and self.pending[0].answer is not None:
            known = self.pending.pop(0).answer
            self.add_answer_bytes(-len(known))
            self.write(known)
            if self.pending:
                self.release_held_bytes(self.pending[0])

    def add_answer_bytes(self, more: int) -> None:
        """Count bytes of answers that wait for an earlier one, here and for all connections together."""
        self.answer_bytes += more
        self.clients.answer_bytes += more
        self.clients.answers.add(more)

    def write(self, data: bytes) -> None:
        self.transport.write(data)
        if self.write_paused:
            self.unsent_bytes += len(data)
            self.clients.answers.add(len(data))

    def release_unsent(self) -> None:
        """The transport holds nothing any more."""
        unsent, self.unsent_bytes = self.unsent_bytes, 0
        self.clients.answers.remove(unsent)

    def pauseProducing(self) -> None:
        """Called by the transport when its buffer is full: begin nothing more until the client reads."""
        self.write_paused, self.unread_since = True, self.clients.clock()

    def resumeProducing(self) -> None:
        self.write_paused = False
        self.release_unsent()
        self.process_queue()

    def stopProducing(self) -> None:
        """The connection has ended."""

    @property
    def has_pending(self) -> bool:
        """Whether one of its requests is under way."""
        return bool(self.pending)

    def is_idle(self) -> bool:
        return not self.pending and not self.queue and not self.code

    def is_mute(self, now: int) -> bool:
        """Whether nothing complete has come for too long: no startup, no first query, or only part of a message."""
        since = self.partial_since or (now if self.has_queried else self.idle_since)
        return self.is_idle() and now - since > MUTE_TIMEOUT

    def can_be_closed(self) -> bool:
        """Whether it is idle and nothing waits unread in the kernel; otherwise its end would reset a query."""
        return self.is_idle() and not has_unread_bytes(self.transport)

    def end(self, code: str, last_message: bytes = b"", detail: str = "") -> None:
        """End the connection behind what was written.

        With a last message, or at shutdown, only our half ends, and what still comes is read and dropped until the
        other half ends too: a close with something unread resets the connection, and the reset may overtake the last
        message or answer.  When MAX_HALF_CLOSED connections do so already, this one closes at once.
        """
        if self.code:
            return
        self.code, self.detail = code, detail
        if last_message:
            self.write(last_message)
        self.transport.unregisterProducer()  # the transport asks a paused producer for more, and never ends
        most = MAX_HALF_CLOSED if self.is_admitted else MAX_REFUSED_HALF_CLOSED
        if (last_message or code == "closing") and self.clients.half_closed < most:
            self.clients.half_closed += 1
            self.is_half_closed = True
            self.transport.resumeProducing()
            half_close(self.transport)
        else:
            half_close(self.transport)
            # Later, since it may end the connection at once, of which the event loop may have another event at hand.
            self.clients.reactor.callLater(0, self.transport.loseConnection)

    def end_without_query(self) -> None:
        """End at once unless a query is under way, or waits here or in the kernel.

        An answer that the client has not read goes with the connection.  Otherwise what the kernel holds for the client
        is still sent, which a reset might overtake.
        """
        if self.pending or (not self.code and (self.queue or has_unread_bytes(self.transport))):
            return
        if self.write_paused:
            return self.abort("unread")
        self.end("closing")
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """All is written and our half has ended."""
        timeout = HALF_CLOSE_TIMEOUT_S if self.is_admitted else REFUSED_TIMEOUT_S
        self.half_close_timer = self.clients.reactor.callLater(timeout, self.abort)

    def readConnectionLost(self) -> None:
        """The other half has ended: a client that does so expects no more answers."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def abort(self, code: str = "") -> None:
        """End at once, without waiting for the other side."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.clients.remove(self)
        self.clients.turns.forget(self)
        self.clients.half_closed -= self.is_half_closed
        cancel(self.half_close_timer)
        cancel(self.paused_check_timer)
        self.clear_queue()
        self.release_incomplete()
        self.release_unsent()
        self.splitter.clear()
        self.code = code = self.code or (
            "left" if self.pending else "closed" if reason.check(ConnectionDone) else "broken"
        )
        for request in [pending.request for pending in self.pending if pending.request]:
            self.counters.add("clients.left")
            request.cancel()
        self.pending.clear()
        self.add_answer_bytes(-self.answer_bytes)
        self.counters.connection_ended("client", code, peer_address(self.transport), self.detail)


def peer_address(transport: object) -> str:
    """The other side's `host:port`, for the log."""
    address = transport.getPeer()
    return f"{getattr(address, 'host', '?')}:{getattr(address, 'port', 0)}"
