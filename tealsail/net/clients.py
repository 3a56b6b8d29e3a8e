"""The connections of all clients: which are taken in, which make room, and what they hold together.

Times are in tenths of a millisecond unless a name ends in `_S` (seconds).
"""

from collections import OrderedDict
from collections.abc import Callable
from itertools import chain
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from ..choices.connection_lifetimes import IDLE_GRACE
from ..choices.eviction import EvictionRank, eviction_rank
from ..choices.memory_budget import (
    DEFAULT_MEMORY,
    LARGE_SHARE,
    SMALL_MESSAGE,
    USED_AT_REST,
    ByteBudget,
    may_abort_unread,
    may_displace,
    request_cost,
    share_out,
)
from . import statements
from .answers import Answer
from .client_connection import ClientConnection
from .counters import Counters
from .turns import Turns

SWEEP_INTERVAL_S = 0.1
SPARE_CONNECTIONS = 40  # beyond `max_connections`, which are told that there is no room
STARTUP_TIME = 1_000  # for the startup message of a connection that there is no room for
MAX_EVICTION_CANDIDATES = 8  # idle connections examined to find one that can make room
CROWDED_SHARE = 0.25  # of `max_connections`: above it, connections idle for longer than IDLE_GRACE are ended


class Clients(Factory):
    """The connections of all clients.

    `take` gets a statement and the time at which it came, and begins an invocation; it may raise StatementError.  The
    Deferred that it returns is cancelled when the client has gone.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        take: Callable[[statements.Statement, int, Callable[[], bool]], Deferred[Answer]],
        clock: Callable[[], int],
        counters: Counters,
        max_connections: int,
        requests: ByteBudget | None = None,
        answers: ByteBudget | None = None,
        arrival: Callable[[Any], int] | None = None,
    ) -> None:
        """What the requests and the answers of all clients hold is by default as in a process of DEFAULT_MEMORY.

        `arrival` tells when what a transport delivers has come to this machine; by default that is now."""
        self.reactor, self.take, self.clock, self.counters = reactor, take, clock, counters
        self.arrival = arrival or (lambda transport: clock())
        self.max_connections = max_connections
        shares = share_out(DEFAULT_MEMORY, USED_AT_REST)
        self.requests = requests or ByteBudget(shares.requests)
        self.answers = answers or ByteBudget(shares.answers)
        self.turns = Turns(reactor, clock)
        self.on_room: Callable[[], None] = lambda: None  # called when a connection has ended
        self.large_share = LARGE_SHARE  # of what requests may take, for large ones
        self.connections: OrderedDict[ClientConnection, None] = OrderedDict()
        self.incomplete: dict[ClientConnection, None] = {}  # those with a large incomplete message, the oldest first
        self.closing = False
        self.answer_bytes = 0  # of all connections' answers that wait for an earlier one
        self.half_closed = 0  # connections that wait for the other side's end
        self.sweep_timer = reactor.callLater(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """End connections over which nothing complete comes, and idle ones while there are many.

        Clients may hold so many unused connections that none is left for the next invocation.  No error is sent, since
        a query on its way would take it for its answer.
        """
        now, is_crowded = self.clock(), len(self.connections) > self.max_connections * CROWDED_SHARE
        for client in list(self.connections):
            if not client.is_admitted and client.is_idle() and now - client.idle_since >= STARTUP_TIME:
                client.refuse()
                client.process_queue()
            elif client.is_mute(now) and client.can_be_closed():
                client.end("mute")
            elif (
                is_crowded
                and not client.partial_since
                and now - client.idle_since > IDLE_GRACE
                and client.can_be_closed()
            ):
                client.end("crowded")
        self.abort_unread()
        self.sweep_timer = self.reactor.callLater(SWEEP_INTERVAL_S, self.sweep)

    def abort_unread(self) -> None:
        """Where answers have no room, drop the clients that have left theirs unread longest."""
        excess, now = self.answers.used - self.answers.capacity, self.clock()
        if excess <= 0:
            return
        unread = [each for each in self.connections if each.unsent_bytes and may_abort_unread(now - each.unread_since)]
        for client in sorted(unread, key=lambda each: each.unread_since):
            if excess <= 0:
                return
            excess -= client.unsent_bytes
            client.abort("unread")

    def stop_sweeping(self) -> None:
        if self.sweep_timer.active():
            self.sweep_timer.cancel()

    def buildProtocol(self, addr: object) -> ClientConnection:
        return ClientConnection(self)

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection, and return whether there is room for it.

        At the limit an idle connection makes room: one that should have sent its first query by now, or else the one
        that is idle longest.  A new connection is about to query, and its query may have come already, unread.
        """
        self.connections[client] = None
        if len(self.connections) <= self.max_connections:
            return True
        evicted = next((each for each in self.eviction_candidates(client) if each.can_be_closed()), None)
        if evicted:
            evicted.end("no_room")
        return evicted is not None

    def eviction_candidates(self, new: ClientConnection) -> list[ClientConnection]:
        """A few idle connections, in the order in which they make room for a new one."""
        now = self.clock()
        by_rank: dict[EvictionRank, list[ClientConnection]] = {rank: [] for rank in EvictionRank}
        for each in self.connections:  # in the order in which they became idle
            if each is new or not each.is_idle():
                continue
            partial = now - each.partial_since if each.partial_since else None
            by_rank[eviction_rank(now - each.idle_since, partial, each.has_queried)].append(each)
            if len(by_rank[EvictionRank.OVERDUE]) >= MAX_EVICTION_CANDIDATES:
                break
        return list(chain.from_iterable(by_rank.values()))[:MAX_EVICTION_CANDIDATES]

    def became_idle(self, client: ClientConnection) -> None:
        """Keep `connections` in the order in which they became idle."""
        if client in self.connections:
            self.connections.move_to_end(client)

    def remove(self, client: ClientConnection) -> None:
        self.connections.pop(client, None)
        self.on_room()

    def room(self) -> int:
        """How many connections may be accepted; the others wait in the kernel."""
        return max(0, self.max_connections + SPARE_CONNECTIONS - len(self.connections))

    def reserve(self, client: ClientConnection, cost: int) -> bool:
        """Count a large message that has begun, if there is room; one that is incomplete for long makes room."""
        while not self.requests.has_room(cost, self.large_share):
            oldest = next(iter(self.incomplete), None)
            if oldest is None or not may_displace(self.clock() - oldest.incomplete_since):
                return False
            oldest.skip_incomplete()
        self.requests.add(cost)
        self.incomplete[client] = None
        return True

    def release(self, client: ClientConnection, cost: int) -> None:
        """Give up what was reserved."""
        self.requests.remove(cost)
        self.incomplete.pop(client, None)

    def has_room_for(self, text: bytes) -> bool:
        """Whether a query that has come may wait and be begun."""
        share = 1.0 if len(text) <= SMALL_MESSAGE else self.large_share
        return self.requests.has_room(request_cost(len(text)), share)

    def close(self) -> None:
        """Shut down: idle connections end now, the others with their last answer.  Called again until none is left."""
        self.closing = True
        for client in list(self.connections):
            client.process_queue()

    def accepted(self) -> int:
        """The number of connections accepted since the start."""
        return self.counters.counts["clients.connections"]

    def end_without_query(self) -> None:
        """End connections that wait only for the client to send, to read its answers, or to end its half.

        Those with a query under way, or unread in the kernel, stay until it is answered.
        """
        for client in list(self.connections):
            client.end_without_query()

    def abort_all(self) -> None:
        """Abort whatever is left, as the process ends."""
        for client in list(self.connections):
            client.abort("unread")
