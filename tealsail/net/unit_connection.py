"""One connection to a unit: its setup, the probe of an idle one, and the answer to the query of the shot on it."""

from typing import Any, NamedTuple, Protocol

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.memory_budget import SMALL_MESSAGE, answer_cost
from ..choices.pipelining import READ_BYTES, read_size
from . import messages
from .connections import OutgoingConnection
from .counters import Counters
from .kernel import write_now
from .messages import Value
from .query_writer import QueryGate, QueryWriter
from .statements import UnitQuery
from .tcp_state import read_send_state

USER = b"backend"  # this and the next as clients name them; units welcome any
DATABASE = b"store"
LOAD_PARAMETER = b"stats"  # the parameter in which a unit reports its load
MAX_UNASKED_MESSAGES = 64  # of one connection outside an answer, since the last answer
LOAD_LIMIT = 1e6  # every figure of a load report is below it


class ShotResult(NamedTuple):
    """How a shot ended, as the facade names outcomes, with the unit's answer and its load report."""

    outcome: str
    value: Value | None = None
    load: dict[str, float] | None = None


class ConnectionUser(QueryGate, Protocol):
    """What a connection tells the shot that is on it, or that waits for its probe."""

    def begin(self) -> None:
        """The connection has ended during the probe: the shot needs another one."""

    def on_connection(self, connection: "Connection") -> None:
        """The unit has answered the probe."""

    def finish(self, result: ShotResult) -> None:
        """The shot has ended."""


class AnswerRoom(Protocol):
    """Room for large answers, shared by all connections to units."""

    def hold_answer(self, connection: "Connection") -> bool:
        """Whether the answer may be received now; if not, the connection's reading is resumed later."""

    def release_answer(self, connection: "Connection") -> None:
        """The answer is held no longer, or waits no longer."""


class ConnectionPool(Protocol):
    """What a connection uses of the pool that it belongs to."""

    address: str
    reactor: Any
    counters: Counters
    load: dict[str, float] | None  # the unit's latest report
    units: AnswerRoom

    def release(self, connection: "Connection") -> None:
        """The connection has no shot any more."""

    def remove(self, connection: "Connection") -> None:
        """The connection has ended."""


def load_report(text: bytes) -> dict[str, float] | None:
    """A unit's load as it reports it in the form `name=figure,...`.

    None if the text is malformed, or a figure is negative, not a number, or LOAD_LIMIT or more.
    """
    try:
        pairs = (pair.split("=") for pair in text.decode().split(","))
        load = {name: float(figure) for name, figure in pairs}
    except ValueError:
        return None
    return load if all(0 <= figure < LOAD_LIMIT for figure in load.values()) else None  # excludes NaN too


class Connection(OutgoingConnection):
    """One connection to a unit: being set up, idle, being probed, or with one shot on it."""

    __slots__ = (
        "pool",
        "counters",
        "splitter",
        "ready",
        "shot",
        "probing_shot",
        "is_set_up",
        "load_reported",
        "writer",
        "query_number",
        "tells_room",
        "tells_arrival",
        "probe_answered",
        "setup_outcome",
        "description",
        "row",
        "result",
        "stop_result",
        "idle_since",
        "answered_at",
        "unasked_messages",
        "answer_cost",
    )  # since a process may hold hundreds

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool, self.counters = pool, pool.counters
        self.splitter = messages.MessageSplitter(typed=True)
        self.ready: Deferred[Connection] = Deferred()  # fires when set up; fails with the outcome as its text
        self.shot: ConnectionUser | None = None  # the one that is on it
        self.probing_shot: ConnectionUser | None = None  # waits for the answer to the probe
        # Respectively: `ready` has fired, also with a failure; a load report has come since the query was sent; the
        # probe's answer has come, and only its ReadyForQuery is still due.
        self.is_set_up = self.load_reported = self.probe_answered = False
        self.writer: QueryWriter | None = None  # of the shot's query
        self.query_number = 0  # of that query on this connection
        # Whether the kernel tells how much the unit's machine takes in, and what it has acknowledged.
        self.tells_room = self.tells_arrival = False
        self.setup_outcome = ""  # of an error during the setup
        self.description: messages.RowDescription | None = None
        self.row: messages.DataRow | None = None
        self.result: ShotResult | None = None  # delivered at ReadyForQuery, since the load report may come before that
        self.stop_result: ShotResult | None = None  # delivered at the connection's end, if the shot was stopped
        self.idle_since = 0.0
        self.answered_at = 0.0  # when the last answer was complete
        self.unasked_messages = 0  # since the last answer
        self.answer_cost = 0  # counted in `units.answers` for a large answer

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.counters.add("units.connections")
        self.transport.bufferSize = READ_BYTES
        self.write(messages.startup(USER, DATABASE))

    def write(self, data: bytes) -> None:
        """Write a short message in this call, so that no query can overtake it."""
        taken = write_now(self.transport, data)
        if taken < len(data):
            self.transport.write(data[taken:])

    def end(self, code: str) -> None:
        if self.writer:
            self.writer.stop()
        super().end(code)

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                self.on_message(messages.parse_unit_message(kind, body))
                if self.code:
                    return
            self.hold_answer()
        except messages.ProtocolError as problem:
            self.counters.add("units.unreadable")
            logger.warning("unreadable from unit {}: {}", self.pool.address, problem)
            self.end("unreadable")

    def hold_answer(self) -> None:
        """Hold a large answer that has begun if there is room for all of it; else leave it with the unit for now."""
        self.transport.bufferSize = read_size(self.splitter.missing())
        length = self.splitter.incomplete_length()
        if length > SMALL_MESSAGE and not self.answer_cost:
            self.answer_cost = answer_cost(length)
            if not self.pool.units.hold_answer(self):
                self.transport.pauseProducing()

    def release_answer(self) -> None:
        """The answer is delivered, or will not be."""
        if self.answer_cost:
            self.pool.units.release_answer(self)
            self.answer_cost = 0

    def on_message(self, message: Any) -> None:
        if isinstance(message, messages.ParameterStatus | messages.IgnoredMessage):
            self.unasked_messages += 1
            if self.unasked_messages > MAX_UNASKED_MESSAGES:
                raise messages.ProtocolError("too many messages that were not asked for")
        match message:
            case messages.ParameterStatus(name, value) if name == LOAD_PARAMETER:
                load = load_report(value)
                if load:  # a malformed report counts as none
                    self.pool.load, self.load_reported = load, True
            case messages.ParameterStatus() | messages.IgnoredMessage():
                pass
            case _ if not self.is_set_up:
                self.on_setup_message(message)
            case _ if self.shot:
                self.on_answer_message(message)
            case messages.EmptyQueryResponse() if self.probing_shot and not self.probe_answered:
                self.probe_answered = True
            case messages.ReadyForQuery() if self.probe_answered:
                shot, self.probing_shot, self.probe_answered = self.probing_shot, None, False
                self.unasked_messages = 0
                self.learn_what_is_told()
                shot.on_connection(self)
            case _:  # more of an earlier answer, which could be taken for the answer to the next query
                raise messages.ProtocolError(f"{type(message).__name__} was not expected")

    def on_setup_message(self, message: Any) -> None:
        match message:
            case messages.ReadyForQuery():
                self.is_set_up = True
                self.learn_what_is_told()
                self.ready.callback(self)
            case messages.ErrorResponse(code, _):
                self.setup_outcome = "full" if code == b"53300" else "unreachable"
            case messages.Authentication(0):
                pass
            case _:
                raise messages.ProtocolError(f"{type(message).__name__} during connection setup")

    def on_answer_message(self, message: Any) -> None:
        """Row description, one row of one column and completion, or an error; then ReadyForQuery.  In this order."""
        if not self.is_query_complete and not isinstance(message, messages.ErrorResponse):
            raise messages.ProtocolError(f"{type(message).__name__} before the end of the query")
        match message:
            case messages.RowDescription(columns=1) if not self.description and not self.result:
                self.description = message
            case messages.DataRow(columns=1) if self.description and not self.row and not self.result:
                self.row = message
            case messages.CommandComplete() if self.row and not self.result:
                self.result = ShotResult("served", Value(self.description, self.row, message))
            case messages.ErrorResponse(code, _) if not self.result:
                self.result = ShotResult("full" if code == b"53300" else "error")
            case messages.ReadyForQuery() if self.result:
                self.answered_at, self.unasked_messages = self.pool.reactor.seconds(), 0
                self.finish_shot(self.result)
                self.pool.release(self)
            case _:
                raise messages.ProtocolError(f"{type(message).__name__} out of order")

    def probe(self, shot: ConnectionUser) -> None:
        """Send an empty query, to learn whether the unit is still there before the shot is sent.

        A query written to a connection that the unit has closed may have run, for all that this side can tell.
        """
        self.probing_shot = shot
        self.write(messages.query(b""))

    def learn_what_is_told(self) -> None:
        """Between two queries there is room, and soon all is acknowledged: once the kernel says so, it is believed."""
        if not self.tells_arrival:
            state = read_send_state(self.transport)
            self.tells_room = state is not None and state.room() > 0
            self.tells_arrival = self.tells_room and not state.unacknowledged

    def send_query(self, shot: ConnectionUser, query: UnitQuery) -> None:
        self.shot, self.load_reported = shot, False
        self.query_number += 1
        self.description = self.row = self.result = None
        self.writer = QueryWriter(self.pool.reactor, self.transport, query, shot, self.tells_room)
        self.writer.advance()

    @property
    def is_query_complete(self) -> bool:
        """Whether the last byte of the shot's query has been sent: the unit may have run it."""
        return self.writer is not None and self.writer.is_complete

    def drop_query(self) -> None:
        """The shot's query is refused, and nothing of it is written: the connection has no shot any more."""
        self.shot = self.writer = None
        self.pool.release(self)

    def finish_shot(self, otherwise: ShotResult) -> None:
        """Deliver the shot's result, or this one if there is none yet."""
        shot, self.shot = self.shot, None
        if shot:
            shot.finish((self.result or otherwise)._replace(load=self.pool.load if self.load_reported else None))
        self.description = self.row = self.result = self.writer = None
        self.release_answer()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.pool.remove(self)
        if not self.is_set_up:
            self.is_set_up = True
            self.ready.errback(ConnectionError(self.setup_outcome or "unreachable"))
        if self.probing_shot:  # nothing of its query was written, so it goes over another connection
            shot, self.probing_shot = self.probing_shot, None
            self.counters.add("units.stale")
            shot.begin()
        if self.writer:
            self.writer.stop()
        # A query may have run only if its last byte was sent.
        self.finish_shot(self.stop_result or ShotResult("reset" if self.is_query_complete else "unreachable"))
        self.splitter.clear()
        self.counters.connection_ended("unit", self.why(reason), self.pool.address)
