"""Ends connections to units over which the last byte of a query has been sent and does not arrive.

The rules allow for a moment between the sending and the arrival.  What is lost on its way, because a machine is cut off
or has dropped it, would be sent again by the kernel for minutes, and could begin whenever the way is open again.
"""

from collections import deque
from typing import Any, NamedTuple

from ..choices.query_ends import ARRIVAL_CHECK_S, ARRIVAL_LIMIT_S
from .tcp_state import read_send_state
from .unit_connection import Connection


class SentQuery(NamedTuple):
    """A query whose last byte has been sent at that time, in seconds: its connection's query of that number."""

    at: float
    connection: Connection
    number: int


class ArrivalWatch:
    """Checks each query that is not answered ARRIVAL_LIMIT_S after its last byte was sent.

    That time has to have passed by the kernel's clock, too: acknowledgements go by that.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.sent: deque[SentQuery] = deque()  # the oldest first; each until it is answered or has arrived
        self.timer: Any = None

    def add(self, connection: Connection) -> None:
        """The last byte of a connection's query was sent."""
        self.sent.append(SentQuery(self.reactor.seconds(), connection, connection.query_number))
        if self.timer is None:
            self.timer = self.reactor.callLater(ARRIVAL_CHECK_S, self.check)

    def check(self) -> None:
        """End the connections whose query has not arrived in time; repeats itself while there are queries to check."""
        now = self.reactor.seconds()
        due = []
        while self.sent and self.sent[0].at <= now - ARRIVAL_LIMIT_S:
            due.append(self.sent.popleft())
        self.sent.extendleft(query for query in reversed(due) if self.is_under_way(query))
        self.timer = self.reactor.callLater(ARRIVAL_CHECK_S, self.check) if self.sent else None

    def is_under_way(self, query: SentQuery) -> bool:
        """Whether a query has to be checked again: it is not acknowledged, but may be yet."""
        connection = query.connection
        if connection.query_number != query.number or not connection.shot or not connection.tells_arrival:
            return False
        state = read_send_state(connection.transport)
        if state is None or not state.unacknowledged:
            return False
        if state.since_sent_s < ARRIVAL_LIMIT_S and not state.is_resending:
            return True
        connection.counters.add("units.not_arrived")
        connection.end("not_arrived")
        return False
