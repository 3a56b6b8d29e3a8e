"""Connections to units, kept and used again, with one shot at a time on each.

Times are in seconds here.  A connection is set up first, then it is idle or has one shot on it.  Before an idle
connection gets a shot, an empty query (the probe) shows whether the unit is still there.
"""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..choices.connection_lifetimes import choose_idle_connection, idle_limits
from ..choices.memory_budget import DEFAULT_MEMORY, USED_AT_REST, ByteBudget, share_out
from .arrivals import ArrivalWatch
from .connections import connect
from .counters import Counters
from .shots import Shot, ShotOwner
from .unit_connection import Connection


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
        self.arrivals = ArrivalWatch(reactor)
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

    def shoot(self, number: int, owner: ShotOwner, wait: float) -> Shot | None:
        """Begin a shot that may last `wait` seconds; see `Shot`.  None if the unit is not listed."""
        pool = self.pools.get(number)
        if pool is None:
            return None
        shot = Shot(pool, owner, wait)
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
