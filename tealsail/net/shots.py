"""Shots: one attempt at a unit each, from the choice of a connection to the outcome."""

from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..policy import WITHHELD
from .arrivals import ArrivalWatch
from .statements import UnitQuery
from .unit_connection import Connection, ShotResult


class ShotOwner(Protocol):
    """What a shot is for: gives its query, and decides whether it may still be sent."""

    def query(self) -> UnitQuery:
        """The query, with the time to wait from now on."""

    def why_stop(self, waited_s: float) -> str | None:
        """The outcome with which the shot ends that has waited for so many seconds; None: it may wait on."""

    def is_informed(self) -> bool:
        """Whether all has been read that may forbid the shot."""

    def may_send(self) -> bool:
        """Whether the shot may be sent now; if so, it counts as sent."""


class ShotUnits(Protocol):
    """What a shot uses of the connections to all units."""

    connect_wait: float  # seconds, for the setup of a connection or a probe
    arrivals: ArrivalWatch


class ShotPool(Protocol):
    """What a shot uses of the connections to its unit."""

    reactor: Any
    units: ShotUnits
    closed: bool

    def take_idle(self) -> Connection | None:
        """Remove and return an idle connection if there is one."""

    def open(self) -> Deferred[Connection]:
        """A new connection, once it is set up; fails with ConnectionError `unreachable` or `full`."""

    def release(self, connection: Connection) -> None:
        """The connection has no shot any more."""


class Shot:
    """One attempt at a unit; `done` fires once, with its ShotResult.

    Whether the choice of this unit still holds is asked again after the wait for a connection or its probe, and as the
    last byte is to be sent (`QueryWriter`, whose gate this is).
    """

    def __init__(self, pool: ShotPool, owner: ShotOwner, wait: float) -> None:
        self.pool, self.owner = pool, owner
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
        else:
            self.connection = connection
            connection.send_query(self, self.owner.query())

    def why_stop(self, waited_s: float) -> str | None:
        """The outcome with which the query is given up; None: it may be sent, now or later."""
        return "moot" if self.pool.closed else self.owner.why_stop(waited_s)

    def is_informed(self) -> bool:
        """Whether all has been read that may forbid the query."""
        return self.owner.is_informed()

    def may_send(self) -> bool:
        """Whether the query may be sent now; not to a closed pool, whose unit may be at another address by now."""
        return not self.pool.closed and self.owner.may_send()

    def on_sent(self) -> None:
        """The last byte of the query has been sent."""
        self.pool.units.arrivals.add(self.connection)

    def on_refused(self, outcome: str, has_begun: bool) -> None:
        """The query will not be sent: the shot ends, and its connection too if it has a part of the query."""
        if self.is_over or self.connection.code:
            return
        connection, result = self.connection, ShotResult(outcome)
        if has_begun:
            connection.stop_result = result
            return connection.end(WITHHELD)
        self.connection = None
        connection.drop_query()
        self.finish(result)

    def on_connect_failed(self, reason: Failure) -> None:
        self.opening = None
        outcome = reason.getErrorMessage()
        self.finish(ShotResult(outcome if outcome in ("full", "unreachable") else "unreachable"))

    def cancel_probe_timer(self) -> None:
        if self.probe_timer and self.probe_timer.active():
            self.probe_timer.cancel()

    def stop(self, outcome: str) -> None:
        """Stop waiting, with this outcome if the query's last byte was sent and `moot` if not."""
        if self.is_over:
            return
        if not self.connection:
            return self.finish(ShotResult("moot"))
        # Delivered once the connection has ended: the next shot must not be sent while this one's connection is open.
        self.connection.stop_result = ShotResult(outcome if self.connection.is_query_complete else "moot")
        self.connection.end(outcome)

    def stop_incomplete(self) -> None:
        """Stop a shot whose query's last byte is not sent; nothing of it runs."""
        if not self.connection or not self.connection.is_query_complete:
            self.stop("cancelled")

    def finish(self, result: ShotResult) -> None:
        if not self.is_over:
            self.is_over = True
            if self.timer.active():
                self.timer.cancel()
            self.done.callback(result)
