"""Connections to units, kept and used again, with one shot at a time on each.

Times are in seconds here.  A connection is set up first, then it is idle or has one shot on it.  Before an idle
connection gets a shot, an empty query (the probe) shows whether the unit is still there.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.connection_lifetimes import choose_idle_connection, idle_limits
from ..choices.memory_budget import DEFAULT_MEMORY, SMALL_MESSAGE, USED_AT_REST, ByteBudget, answer_cost, share_out
from ..choices.pipelining import READ_BYTES, read_size
from . import messages
from .connections import OutgoingConnection, connect
from .counters import Counters
from .messages import Value

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
        "written",
        "probe_answered",
        "setup_outcome",
        "description",
        "row",
        "unsent",
        "result",
        "stop_result",
        "idle_since",
        "answered_at",
        "unasked_messages",
        "answer_cost",
    )  # since a process may hold hundreds

    def __init__(self, pool: "Pool") -> None:
        self.pool, self.counters = pool, pool.counters
        self.splitter = messages.MessageSplitter(typed=True)
        self.ready: Deferred[Connection] = Deferred()  # fires when set up; fails with the outcome as its text
        self.shot: Shot | None = None  # the one that is on it
        self.probing_shot: Shot | None = None  # waits for the answer to the probe
        # Respectively: `ready` has fired, also with a failure; a load report has come since the query was sent; the
        # whole query is written; the probe's answer has come, and only its ReadyForQuery is still due.
        self.is_set_up = self.load_reported = self.written = self.probe_answered = False
        self.setup_outcome = ""  # of an error during the setup
        self.description: messages.RowDescription | None = None
        self.row: messages.DataRow | None = None
        self.unsent = b""
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
        self.transport.write(messages.startup(USER, DATABASE))

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
                shot.on_connection(self)
            case _:  # more of an earlier answer, which could be taken for the answer to the next query
                raise messages.ProtocolError(f"{type(message).__name__} was not expected")

    def on_setup_message(self, message: Any) -> None:
        match message:
            case messages.ReadyForQuery():
                self.is_set_up = True
                self.ready.callback(self)
            case messages.ErrorResponse(code, _):
                self.setup_outcome = "full" if code == b"53300" else "unreachable"
            case messages.Authentication(0):
                pass
            case _:
                raise messages.ProtocolError(f"{type(message).__name__} during connection setup")

    def on_answer_message(self, message: Any) -> None:
        """Row description, one row of one column and completion, or an error; then ReadyForQuery.  In this order."""
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

    def probe(self, shot: "Shot") -> None:
        """Send an empty query, to learn whether the unit is still there before the shot is sent.

        A query written to a connection that the unit has closed may have run, for all that this side can tell.
        """
        self.probing_shot = shot
        self.transport.write(messages.query(b""))

    def send_query(self, shot: "Shot", query: bytes) -> None:
        self.shot, self.written, self.unsent, self.load_reported = shot, False, query, False
        self.description = self.row = self.result = None
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Called when the transport wants something to write: at once, and again when all is written."""
        if self.unsent:
            unsent, self.unsent = self.unsent, b""
            self.transport.write(unsent)
        else:
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """The connection has ended; `written` keeps its value."""

    def finish_shot(self, otherwise: ShotResult) -> None:
        """Deliver the shot's result, or this one if there is none yet."""
        shot, self.shot = self.shot, None
        if shot:
            shot.finish((self.result or otherwise)._replace(load=self.pool.load if self.load_reported else None))
        self.description = self.row = self.result = None
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
        # A query may have run only if its last byte was written.
        self.finish_shot(self.stop_result or ShotResult("reset" if self.written else "unreachable"))
        self.splitter.clear()
        self.counters.connection_ended("unit", self.why(reason), self.pool.address)


class Shot:
    """One attempt at a unit; `done` fires once, with its ShotResult.

    `text` gives the query at the moment in which it is sent.  `may_still_send` is asked just before: whether the choice
    of this unit still holds after the wait for a connection or its probe.
    """

    def __init__(
        self, pool: "Pool", text: Callable[[], bytes], wait: float, may_still_send: Callable[[], bool]
    ) -> None:
        self.pool, self.text, self.may_still_send = pool, text, may_still_send
        self.done: Deferred[ShotResult] = Deferred()
        self.connection: Connection | None = None
        self.opening: Deferred | None = None  # the new connection that it waits for
        self.probe_timer: Any = None
        self.is_over = False
        self.timer = pool.reactor.callLater(wait, self.stop, "timeout")

    def begin(self) -> None:
        """Take an idle connection and probe it, or open a new one; called again if the idle one has ended."""
        self.cancel_probe_timer()
        if self.is_over:
            return
        idle = self.pool.take_idle()
        if idle:
            self.probe_timer = self.pool.reactor.callLater(self.pool.units.connect_wait, self.on_probe_timeout, idle)
            return idle.probe(self)
        self.opening = self.pool.open()
        self.opening.addCallbacks(self.on_connection, self.on_connect_failed)

    def on_probe_timeout(self, connection: Connection) -> None:
        """The unit counts as unreachable; nothing of the query was written."""
        if connection.probing_shot is self:
            connection.probing_shot = None
            connection.end("unproven")
            self.finish(ShotResult("unreachable"))

    def on_connection(self, connection: Connection) -> None:
        """A connection is ready for the query."""
        self.opening = None
        self.cancel_probe_timer()
        if self.is_over:
            self.pool.release(connection)
        elif self.pool.closed or not self.may_still_send():  # a closed pool: the unit may be at another address by now
            self.pool.release(connection)
            self.finish(ShotResult("moot"))
        else:
            self.connection = connection
            self.send(connection)

    def on_connect_failed(self, reason: Failure) -> None:
        self.opening = None
        outcome = reason.getErrorMessage()
        self.finish(ShotResult(outcome if outcome in ("full", "unreachable") else "unreachable"))

    def send(self, connection: Connection) -> None:
        connection.send_query(self, messages.query(self.text()))

    def cancel_probe_timer(self) -> None:
        if self.probe_timer and self.probe_timer.active():
            self.probe_timer.cancel()

    def stop(self, outcome: str) -> None:
        """Stop waiting, with this outcome if the query was written and `moot` if not."""
        if self.is_over:
            return
        if not self.connection:
            return self.finish(ShotResult("moot"))
        # Delivered once the connection has ended: the next shot must not be sent while this one's connection is open.
        self.connection.stop_result = ShotResult(outcome if self.connection.written else "moot")
        self.connection.end(outcome)

    def stop_unwritten(self) -> None:
        """Stop a shot whose query is not wholly written; nothing of it runs."""
        if not self.connection or not self.connection.written:
            self.stop("cancelled")

    def finish(self, result: ShotResult) -> None:
        if not self.is_over:
            self.is_over = True
            if self.timer.active():
                self.timer.cancel()
            self.done.callback(result)


class Pool:
    """The connections to one unit at one address."""

    def __init__(self, units: "Units", address: str) -> None:
        self.units, self.address = units, address
        self.reactor, self.counters = units.reactor, units.counters
        self.load: dict[str, float] | None = None  # the unit's latest report
        self.idle: list[Connection] = []  # in the order of their last use, the latest last
        self.all: dict[Connection, None] = {}
        self.closed = self.has_opened_ahead = False

    def take_idle(self) -> Connection | None:
        """Remove and return the idle connection used last, of those that have rested since their last answer."""
        place = choose_idle_connection([each.answered_at for each in self.idle], self.reactor.seconds())
        return None if place is None else self.idle.pop(place)

    def open(self) -> Deferred[Connection]:
        """A new connection, once it is set up; fails with ConnectionError `unreachable` or `full`."""
        connection = Connection(self)
        if not self.units.has_room():
            self.counters.add("units.no_room")
            connection.is_set_up = True
            connection.ready.errback(ConnectionError("unreachable"))
            return connection.ready
        self.all[connection] = None
        connected = connect(self.reactor, self.address, connection, self.units.connect_wait)
        timer = self.reactor.callLater(self.units.connect_wait, self.on_setup_timeout, connection, connected)

        def refused(reason: Failure) -> None:
            self.counters.add("units.refused")
            self.remove(connection)
            if not connection.is_set_up:
                connection.is_set_up = True
                connection.ready.errback(ConnectionError("unreachable"))

        def cancel_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        connected.addErrback(refused)
        return connection.ready.addBoth(cancel_timer)

    def open_ahead(self, count: int) -> None:
        """Open connections until there are `count`, for later shots; once only, so that none is kept open unused."""
        if self.has_opened_ahead:
            return
        self.has_opened_ahead = True
        for _ in range(count - len(self.all)):
            self.counters.add("units.opened_ahead")
            self.open().addCallbacks(self.release, lambda reason: None)

    def on_setup_timeout(self, connection: Connection, connected: Deferred) -> None:
        if connection.transport:
            connection.end("slow_setup")
        else:
            connected.cancel()

    def release(self, connection: Connection) -> None:
        """A connection has no shot any more: keep it idle, or end it if the unit has left the list."""
        if connection.code or connection in self.idle:
            return
        if self.closed:
            return connection.end("unlisted")
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self.all.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle_since(self, before: float) -> None:
        """Close the connections that have been idle since that time or longer."""
        while self.idle and self.idle[0].idle_since <= before:
            self.idle.pop(0).end("idle")

    def close(self) -> None:
        """Take no more shots: idle connections end now, the others after their shot."""
        self.closed = True
        while self.idle:
            self.idle.pop().end("unlisted")


class Units:
    """The connection pools of all listed units, by the unit's number."""

    def __init__(
        self,
        reactor: Any,
        counters: Counters,
        connect_wait: float,
        idle_time: float,
        max_connections: int,
        answers: ByteBudget | None = None,
    ) -> None:
        """Times in seconds: `connect_wait` bounds the setup of a connection and a probe; after `idle_time` the unit's
        machine ends an idle connection.  `max_connections` is for all units together; `answers` what large answers
        hold, by default as in a process of DEFAULT_MEMORY bytes."""
        self.reactor, self.counters = reactor, counters
        self.answers = answers or ByteBudget(share_out(DEFAULT_MEMORY, USED_AT_REST).answers)
        self.answers.on_freed = self.resume_waiting
        self.receiving: dict[Connection, None] = {}  # those whose large answer is counted
        self.waiting: dict[Connection, None] = {}  # those whose large answer has no room yet, the oldest first
        self.connect_wait, self.max_connections = connect_wait, max_connections
        self.idle_limit, self.idle_check_interval = idle_limits(idle_time)
        self.pools: dict[int, Pool] = {}
        self.identities: dict[int, tuple] = {}  # a listed unit's address, build and start
        self.retired: dict[Pool, None] = {}  # pools of units that have left the list, until their last shot
        self.check_idle()

    def listed(self, number: int, address: str, build: int, started: int) -> None:
        """A unit takes shots from now on; with another address, build or start it is another unit."""
        identity = (address, build, started)
        if self.identities.get(number) != identity:
            self.unlisted(number)
            self.identities[number], self.pools[number] = identity, Pool(self, address)

    def unlisted(self, number: int) -> None:
        """A unit takes no more shots."""
        self.identities.pop(number, None)
        pool = self.pools.pop(number, None)
        if pool:
            pool.close()
            self.retired[pool] = None

    def numbers(self) -> list[int]:
        """The numbers of the listed units."""
        return list(self.pools)

    def shoot(
        self, number: int, text: Callable[[], bytes], wait: float, may_still_send: Callable[[], bool]
    ) -> Shot | None:
        """Begin a shot that may last `wait` seconds; see `Shot`.  None if the unit is not listed."""
        pool = self.pools.get(number)
        if pool is None:
            return None
        shot = Shot(pool, text, wait, may_still_send)
        shot.begin()
        return shot

    def open_ahead(self, counts: dict[int, int]) -> None:
        """Open so many connections to each of these units, as far as there is room without closing others."""
        for number, count in counts.items():
            if number in self.pools and self.held() + count <= self.max_connections:
                self.pools[number].open_ahead(count)

    def hold_answer(self, connection: Connection) -> bool:
        """Count a large answer that has begun if there is room, or if none is being received; else it waits."""
        if self.waiting or not self.has_room_for_answer(connection):
            self.counters.add("units.answers_waited")
            self.waiting[connection] = None
            return False
        self.start_receiving(connection)
        return True

    def has_room_for_answer(self, connection: Connection) -> bool:
        return not self.receiving or self.answers.has_room(connection.answer_cost)

    def start_receiving(self, connection: Connection) -> None:
        self.receiving[connection] = None
        self.answers.add(connection.answer_cost)

    def release_answer(self, connection: Connection) -> None:
        """A large answer is held no longer, or waits no longer."""
        self.waiting.pop(connection, None)
        if connection in self.receiving:
            del self.receiving[connection]
            self.answers.remove(connection.answer_cost)

    def resume_waiting(self) -> None:
        """Go on with the answers that wait, as far as there is room now."""
        while self.waiting and self.has_room_for_answer(next(iter(self.waiting))):
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            self.start_receiving(connection)
            connection.transport.resumeProducing()

    def held(self) -> int:
        """The number of open connections, those being set up included."""
        return sum(len(pool.all) for pool in (*self.pools.values(), *self.retired))

    def has_room(self) -> bool:
        """Whether one more connection may be opened; at the limit the one that is idle longest is closed for it."""
        if self.held() < self.max_connections:
            return True
        longest_idle = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle:
            longest_idle.pool.idle.remove(longest_idle)
            longest_idle.end("no_room")
        return longest_idle is not None

    def close_idle(self) -> None:
        """Close all idle connections: after a time in which this process did not run they may be dead."""
        for pool in self.pools.values():
            pool.close_idle_since(self.reactor.seconds())

    def check_idle(self) -> None:
        """Close connections well before the unit's machine would end them as idle; repeats itself.

        The two times of `idle_limits` together leave a margin before that end, in which no connection is used.  The
        pools of units that have left the list are dropped once their last connection has ended.
        """
        now = self.reactor.seconds()
        for pool in self.pools.values():
            pool.close_idle_since(now - self.idle_limit)
        self.retired = {pool: None for pool in self.retired if pool.all}
        self.timer = self.reactor.callLater(self.idle_check_interval, self.check_idle)
