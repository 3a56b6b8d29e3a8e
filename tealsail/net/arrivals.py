"""Ends connections to units over which the last byte of a query has been sent and does not arrive.

The rules allow for a moment between the sending and the arrival.  What is lost on its way, because a machine is cut off
or has dropped it, would be sent again by the kernel for minutes, and could begin whenever the way is open again.
"""

from collections import deque
from typing import Any, NamedTuple

from ..choices.query_ends import ARRIVAL_CHECK_S, ARRIVAL_LIMIT_S
from .kernel import has_acknowledged_all
from .query_writer import QueryWriter
from .unit_connection import Connection


class SentQuery(NamedTuple):
    """A query whose last byte has been sent at that time, in seconds."""

    at: float
    connection: Connection
    writer: QueryWriter


class ArrivalWatch:
    """Checks each query once, ARRIVAL_LIMIT_S after its last byte was sent."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.sent: deque[SentQuery] = deque()  # of the last ARRIVAL_LIMIT_S and ARRIVAL_CHECK_S
        self.timer: Any = None

    def add(self, connection: Connection, writer: QueryWriter) -> None:
        """The last byte of a query was sent."""
        self.sent.append(SentQuery(self.reactor.seconds(), connection, writer))
        if self.timer is None:
            self.timer = self.reactor.callLater(ARRIVAL_CHECK_S, self.check)

    def check(self) -> None:
        """End the connections whose query has not arrived in time; repeats itself while there are queries to check."""
        now = self.reactor.seconds()
        while self.sent and self.sent[0].at <= now - ARRIVAL_LIMIT_S:
            self.check_one(self.sent.popleft())
        self.timer = self.reactor.callLater(ARRIVAL_CHECK_S, self.check) if self.sent else None

    def check_one(self, query: SentQuery) -> None:
        connection = query.connection
        is_unanswered = connection.writer is query.writer
        if is_unanswered and connection.tells_arrival and not has_acknowledged_all(connection.transport):
            connection.counters.add("units.not_arrived")
            connection.end("not_arrived")
