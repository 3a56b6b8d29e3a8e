"""Turns of the event loop, shared among connections with queries."""

from collections.abc import Callable
from typing import Any, Protocol

from ..choices.pipelining import is_time_left


class WaitingConnection(Protocol):
    """A connection with queries to begin."""

    def process_queue(self) -> None:
        """Begin what may be begun."""

    def set_deferred(self, is_deferred: bool) -> None:
        """Its queries wait for their turn from now on, or no longer."""


class Turns:
    """Shares the event loop among connections with queries.

    A turn of the loop begins queries for `TURN_TIME` at most.  Connections with more to begin, or that come later, wait
    in line for the next turns, in which each begins one query before the next in line does.
    """

    def __init__(self, reactor: Any, clock: Callable[[], int]) -> None:
        self.reactor, self.clock = reactor, clock
        self.line: dict[WaitingConnection, None] = {}
        self.turn_began: int | None = None  # None: nothing has been begun since the loop's last turn
        self.is_working: WaitingConnection | None = None  # the one at the head of the line, whose query is begun now

    def may_work(self, client: WaitingConnection) -> bool:
        """Whether the connection may begin a query now; otherwise it is put in line."""
        if self.is_working is client:
            self.is_working = None  # for this query alone
            return True
        if self.turn_began is None:
            self.begin_turn()
        if self.line or not is_time_left(self.clock() - self.turn_began):
            self.line.setdefault(client)
            client.set_deferred(True)
            return False
        return True

    def begin_turn(self) -> None:
        self.turn_began = self.clock()
        self.reactor.callLater(0, self.next_turn)

    def next_turn(self) -> None:
        """The loop has had a turn: go on with the line."""
        self.turn_began = None
        if self.line:
            self.begin_turn()
        while self.line and is_time_left(self.clock() - self.turn_began):
            client = next(iter(self.line))
            del self.line[client]
            self.is_working = client
            client.process_queue()
            self.is_working = None
            if client not in self.line:
                client.set_deferred(False)

    def forget(self, client: WaitingConnection) -> None:
        """The connection has ended."""
        self.line.pop(client, None)
