"""Shots: one attempt at a unit each, from the choice of a connection to the outcome."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from . import messages
from .unit_connection import Connection, ShotResult

if TYPE_CHECKING:
    from .units import Pool


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
