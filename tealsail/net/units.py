"""Units: their connections, kept and used again one shot at a time, and what comes back over them."""

from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.endings import rested, unused
from . import messages
from .counters import Counters
from .kept import Ended
from .messages import Value

USER, DATABASE, LOAD = b"backend", b"store", b"stats"
BEYOND = 1e6  # no figure of a load report


class Came(NamedTuple):
    """How a shot ended (the words are the facade's), the unit's answer and its load report."""

    outcome: str
    value: Value | None = None
    load: dict[str, float] | None = None


def load_report(text: bytes) -> dict[str, float] | None:
    """None: it can't be read."""
    try:
        pairs = (pair.split("=") for pair in text.decode().split(","))
        load = {name: float(figure) for name, figure in pairs}
    except ValueError:
        return None
    return load if all(0 <= figure < BEYOND for figure in load.values()) else None  # no nan either


class Connection(Ended):
    """One connection to a unit: set up, idle, or with one shot out."""

    def __init__(self, pool: "Pool") -> None:
        self.pool, self.counters = pool, pool.counters
        self.splitter = messages.Splitter(typed=True)
        self.ready: Deferred[Connection] = Deferred()  # set up; fails with the reason as its text
        self.shot: Shot | None = None
        self.check: Shot | None = None  # waits for the answer to an empty query
        self.settled = self.told = self.written = self.proven = False
        self.refused = ""  # an error while it is being set up
        self.described: messages.Described | None = None
        self.row: messages.Row | None = None
        self.unsent = b""
        self.result: Came | None = None  # of the shot; told with the load report, at ReadyForQuery
        self.stopped: Came | None = None  # what to tell of a shot that is waited for no longer
        self.idle_since = 0.0
        self.answered_at = 0.0  # when the last answer was whole

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.counters.add("units.connections")
        self.transport.write(messages.startup(USER, DATABASE))

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                self.came(messages.from_unit(kind, body))
                if self.code:
                    return
        except messages.Unreadable as problem:
            self.counters.add("units.unreadable")
            logger.warning("unreadable from unit {}: {}", self.pool.address, problem)
            self.end("unreadable")

    def came(self, what: Any) -> None:
        match what:
            case messages.Status(name, value) if name == LOAD:
                load = load_report(value)
                if load:  # what can't be read is as good as none
                    self.pool.load, self.told = load, True
            case messages.Status() | messages.Passed():
                pass
            case _ if not self.settled:
                self.greeted(what)
            case _ if self.shot:
                self.answered(what)
            case messages.Empty() if self.check and not self.proven:
                self.proven = True
            case messages.Ready() if self.proven:
                check, self.check, self.proven = self.check, None, False
                check.opened(self)
            case _:  # of an earlier answer: what comes next can't be told apart
                raise messages.Unreadable(f"{type(what).__name__} that nobody asked for")

    def greeted(self, what: Any) -> None:
        match what:
            case messages.Ready():
                self.settled = True
                self.ready.callback(self)
            case messages.Trouble(code, _):
                self.refused = "full" if code == b"53300" else "unreachable"
            case messages.Authentication(0):
                pass
            case _:
                raise messages.Unreadable(f"{type(what).__name__} as a greeting")

    def answered(self, what: Any) -> None:
        """Row description, one row of one column, completion; or an error; then ready.  In no other order."""
        match what:
            case messages.Described(columns=1) if not self.described and not self.result:
                self.described = what
            case messages.Row(columns=1) if self.described and not self.row and not self.result:
                self.row = what
            case messages.Complete() if self.row and not self.result:
                self.result = Came("served", Value(self.described, self.row, what))
            case messages.Trouble(code, _) if not self.result:
                self.result = Came("full" if code == b"53300" else "error")
            case messages.Ready() if self.result:
                self.answered_at = self.pool.reactor.seconds()
                self.finish(self.result)
                self.pool.free(self)
            case _:
                raise messages.Unreadable(f"{type(what).__name__} out of its turn")

    def prove(self, shot: "Shot") -> None:
        """Before a shot is entrusted to a kept connection: is the other side still there?  What is written
        to one that it has closed may have run, for all that can be known here."""
        self.check = shot
        self.transport.write(messages.query(b""))

    def ask(self, shot: "Shot", query: bytes) -> None:
        self.shot, self.written, self.unsent, self.told = shot, False, query, False
        self.described = self.row = self.result = None
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
        """The connection has ended; `written` keeps what was known."""

    def finish(self, otherwise: Came) -> None:
        shot, self.shot = self.shot, None
        if shot:
            shot.end((self.result or otherwise)._replace(load=self.pool.load if self.told else None))

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.pool.leave(self)
        if not self.settled:
            self.settled = True
            self.ready.errback(ConnectionError(self.refused or "unreachable"))
        if self.check:
            check, self.check = self.check, None
            self.counters.add("units.stale")
            check.begin()
        # whether a shot may have run is decided by whether its last byte was written
        self.finish(self.stopped or Came("reset" if self.written else "unreachable"))
        self.counters.connection_ended("unit", self.why(reason), self.pool.address)


class Shot:
    """One attempt: `done` gets its one `Came`.  `stands` is asked before it is written after a wait."""

    def __init__(self, pool: "Pool", text: Callable[[], bytes], wait: float, stands: Callable[[], bool]) -> None:
        self.pool, self.text, self.stands = pool, text, stands
        self.done: Deferred[Came] = Deferred()
        self.connection: Connection | None = None
        self.opening: Deferred | None = None
        self.checked: Any = None  # the timer of a kept connection's check
        self.over = False
        self.timer = pool.reactor.callLater(wait, self.stop, "timeout")

    def begin(self) -> None:
        """Over a kept connection, once that has answered; if it ends instead, over the next; or a new one."""
        self.settle()
        if self.over:
            return
        kept = self.pool.idle_one()
        if kept:
            self.checked = self.pool.reactor.callLater(self.pool.units.connect_wait, self.unproven, kept)
            return kept.prove(self)
        self.opening = self.pool.open()
        self.opening.addCallbacks(self.opened, self.failed)

    def unproven(self, connection: Connection) -> None:
        """As good as out of reach, and nothing was written."""
        if connection.check is self:
            connection.check = None
            connection.end("unproven")
            self.end(Came("unreachable"))

    def opened(self, connection: Connection) -> None:
        self.opening = None
        self.settle()
        if self.over:
            self.pool.free(connection)
        elif self.pool.closed or not self.stands():  # the same unit may be at another address by now
            self.pool.free(connection)
            self.end(Came("moot"))
        else:
            self.connection = connection
            self.write(connection)

    def failed(self, reason: Failure) -> None:
        self.opening = None
        text = reason.getErrorMessage()
        self.end(Came(text if text in ("full", "unreachable") else "unreachable"))

    def write(self, connection: Connection) -> None:
        connection.ask(self, messages.query(self.text()))

    def settle(self) -> None:
        if self.checked and self.checked.active():
            self.checked.cancel()

    def stop(self, outcome: str) -> None:
        """Stop waiting.  The connection is closed first, so that nothing is out when the next shot begins."""
        if self.over:
            return
        if not self.connection:
            return self.end(Came("moot"))  # nothing was written
        # told once the connection has ended: a further shot must not go out while this one's is open
        self.connection.stopped = Came(outcome if self.connection.written else "moot")
        self.connection.end(outcome)

    def end(self, came: Came) -> None:
        if not self.over:
            self.over = True
            if self.timer.active():
                self.timer.cancel()
            self.done.callback(came)


class Pool:
    """The connections to one unit at one address."""

    def __init__(self, units: "Units", address: str) -> None:
        self.units, self.address = units, address
        self.reactor, self.counters = units.reactor, units.counters
        self.load: dict[str, float] | None = None
        self.idle: list[Connection] = []  # the one used last stands last
        self.all: dict[Connection, None] = {}
        self.closed = False

    def idle_one(self) -> Connection | None:
        place = rested([each.answered_at for each in self.idle], self.reactor.seconds())
        return None if place is None else self.idle.pop(place)

    def open(self) -> Deferred[Connection]:
        """A new connection, set up within the time for that; it fails as `unreachable` or `full`."""
        connection = Connection(self)
        if not self.units.room():
            self.counters.add("units.no_room")
            connection.settled = True
            connection.ready.errback(ConnectionError("unreachable"))
            return connection.ready
        self.all[connection] = None
        host, port = self.address.rsplit(":", 1)
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=self.units.connect_wait)
        joined = connectProtocol(endpoint, connection)
        timer = self.reactor.callLater(self.units.connect_wait, self.overdue, connection, joined)

        def refused(reason: Failure) -> None:
            self.counters.add("units.refused")
            self.leave(connection)
            if not connection.settled:
                connection.settled = True
                connection.ready.errback(ConnectionError("unreachable"))

        def settled(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        joined.addErrback(refused)
        return connection.ready.addBoth(settled)

    def overdue(self, connection: Connection, joined: Deferred) -> None:
        if connection.transport:
            connection.end("slow_setup")
        else:
            joined.cancel()

    def free(self, connection: Connection) -> None:
        if connection.code or connection in self.idle:
            return
        if self.closed:
            return connection.end("unlisted")
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def leave(self, connection: Connection) -> None:
        self.all.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def trim(self, before: float) -> None:
        """Close what has stood idle since then."""
        while self.idle and self.idle[0].idle_since <= before:
            self.idle.pop(0).end("idle")

    def close(self) -> None:
        """No more shots: idle connections end now, the others when their shot has."""
        self.closed = True
        while self.idle:
            self.idle.pop().end("unlisted")


class Units:
    """All units that are listed: number -> pool."""

    def __init__(self, reactor: Any, counters: Counters, connect_wait: float, idle_time: float, most: int) -> None:
        self.reactor, self.counters = reactor, counters
        self.connect_wait, self.most = connect_wait, most
        self.unused, self.looks = unused(idle_time)
        self.pools: dict[int, Pool] = {}
        self.marks: dict[int, tuple] = {}  # what a listed unit is: address, build and start
        self.old: dict[Pool, None] = {}  # of units that have left, with shots still out
        self.trimming()

    def listed(self, number: int, address: str, build: int, started: int) -> None:
        """It takes shots from now on; at another address, with another build or start it is another one."""
        mark = (address, build, started)
        if self.marks.get(number) != mark:
            self.unlisted(number)
            self.marks[number], self.pools[number] = mark, Pool(self, address)

    def unlisted(self, number: int) -> None:
        self.marks.pop(number, None)
        pool = self.pools.pop(number, None)
        if pool:
            pool.close()
            self.old[pool] = None

    def numbers(self) -> list[int]:
        return list(self.pools)

    def shoot(self, number: int, text: Callable[[], bytes], wait: float, stands: Callable[[], bool]) -> Shot | None:
        """None: that unit is not listed (any more)."""
        pool = self.pools.get(number)
        if pool is None:
            return None
        shot = Shot(pool, text, wait, stands)
        shot.begin()
        return shot

    def held(self) -> int:
        return sum(len(pool.all) for pool in (*self.pools.values(), *self.old))

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room for it."""
        if self.held() < self.most:
            return True
        longest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest:
            longest.pool.idle.remove(longest)
            longest.end("no_room")
        return longest is not None

    def forget_idle(self) -> None:
        """After a time in which nothing ran idle connections may be dead: new ones are made."""
        for pool in self.pools.values():
            pool.trim(self.reactor.seconds())

    def trimming(self) -> None:
        """Idle connections end well before the unit's machine would end them."""
        now = self.reactor.seconds()
        for pool in self.pools.values():
            pool.trim(now - self.unused)
        self.old = {pool: None for pool in self.old if pool.all}
        self.timer = self.reactor.callLater(self.looks, self.trimming)
