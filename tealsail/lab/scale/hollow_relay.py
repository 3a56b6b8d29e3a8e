"""A hollow relay: `net.relay.Relay` itself, with clients and backends in its process instead of behind sockets.

Everything between them is the relay's own code: facade, choices, list handling, timers, and messages to other relays
over its own UDP socket.  So whatever the relay comes to wire is wired here, too.  What is left out: the listener for
clients and their connections, connections to backends and their table, and the connections to discovery and platform,
which one connection of the process stands for.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from ...net import messages, statements
from ...net.discovery import News
from ...net.platform import RolloutState
from ...net.relay import Relay
from ...net.relay_configuration import RelayConfiguration
from ...net.units import ShotResult
from .backends import Backends, Load
from .meter import Meter, MeteredPeers

ONE_WAY = 0.0002  # seconds to a backend, and back
VALUE = messages.Value(messages.RowDescription(b"", 1), messages.DataRow(b"", 1), messages.CommandComplete(b""))


class Outside(NamedTuple):
    """What a hollow relay needs of its process.  `names` gives a backend's name by its number; `vote` takes a relay's
    vote to the platform; `list_anew` is asked by a relay for the whole list; `sent` and `received` are told of
    datagrams."""

    backends: Backends
    names: dict[int, str]
    vote: Callable[[int, int, int, str], None]
    list_anew: Callable[["HollowRelay"], None]
    sent: Callable[[tuple[str, int], int], None]
    received: Callable[[tuple[str, int], int], None]


class NoListener:
    """In place of the listener for clients."""

    def stopListening(self) -> None:
        """Nothing listens."""


class HollowReactor:
    """The process's reactor as a hollow relay sees it: no listener for clients, and a metered UDP socket."""

    def __init__(self, reactor: Any, meter: Meter, outside: Outside) -> None:
        self.reactor, self.meter, self.outside = reactor, meter, outside

    def __getattr__(self, name: str) -> Any:
        return getattr(self.reactor, name)

    def listenTCP(self, *what: Any) -> NoListener:
        return NoListener()

    def listenUDP(self, port: int, protocol: Any, *more: Any, **named: Any) -> Any:
        metered = MeteredPeers(protocol, self.meter, self.outside.sent, self.outside.received)
        return self.reactor.listenUDP(port, metered, *more, **named)


class HollowDiscovery:
    """In place of the connection to discovery: the process hands the list to all its relays."""

    address = ""

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def reconnect(self) -> None:
        self.relay.outside.list_anew(self.relay)

    def move(self, address: str) -> None:
        """There is one list."""

    def stop(self) -> None:
        """Nothing is open."""


class HollowPlatform:
    """In place of the connection to the platform."""

    address = ""
    vote_wait = 0.0

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.relay.outside.vote(self.relay.index, build, stage, verdict)

    def reconnect(self) -> None:
        """The process's connection stands."""

    def move(self, address: str) -> None:
        """There is one platform."""

    def stop(self) -> None:
        """Nothing is open."""


class HollowAttempt:
    """One attempt at a backend, with the outside of `net.units.Shot`: `done` gets its one Came."""

    def __init__(
        self, relay: "HollowRelay", name: str, text: Callable[[], bytes], wait: float, stands: Callable[[], bool]
    ) -> None:
        self.owner, self.name, self.text, self.stands = relay, name, text, stands
        self.relay, self.number, self.place = relay.index, -1, 0
        self.done: Deferred[ShotResult] = Deferred()
        self.over = self.taken = False
        self.timer = relay.reactor.callLater(wait, self.stop, "timeout")
        relay.reactor.callLater(ONE_WAY, self.arrive)

    def arrive(self) -> None:
        """Its bytes have come to the backend."""
        if self.over:
            return
        if not self.stands():
            return self.end("moot")
        backends = self.owner.outside.backends
        statement = statements.read(self.text())
        self.number = int(statement.id)
        self.place = backends.next_place(self.number)
        request_class = self.owner.facade.workloads[statement.workload]
        self.taken = True  # before the backend takes it: it may answer at once
        if not backends.take(self, request_class, int(statement.wait * 10)):
            self.taken = False
            self.end("unreachable")

    def answered(self, outcome: str, load: Load) -> None:
        if not self.over:
            self.taken = False
            self.owner.reactor.callLater(ONE_WAY, self.end, "served" if outcome == "wrong" else outcome, load)

    def stop(self, outcome: str) -> None:
        """Its relay waits no longer; told a turn later, as the end of a connection is."""
        if self.over:
            return
        if not self.taken:
            return self.end("moot" if self.number < 0 else outcome)
        self.taken = False
        self.owner.outside.backends.stop(self)
        self.owner.reactor.callLater(0, self.end, outcome)

    def end(self, outcome: str, load: Load = None) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        if not self.owner.dead:
            value = VALUE if outcome == "served" else None
            self.owner.meter.run("serving", self.done.callback, ShotResult(outcome, value, load))


class HollowBackends:
    """In place of the relay's table of connections (net.units.Units)."""

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def listed(self, number: int, address: str, build: int, started: int) -> None:
        """No connection is kept."""

    def unlisted(self, number: int) -> None:
        """No connection is kept."""

    def numbers(self) -> list[int]:
        return []

    def close_idle(self) -> None:
        """No connection is kept."""

    def shoot(
        self, number: int, text: Callable[[], bytes], wait: float, stands: Callable[[], bool]
    ) -> HollowAttempt | None:
        """None: that backend is not listed (any more)."""
        if number not in self.relay.facade.relay.units:
            return None
        return HollowAttempt(self.relay, self.relay.outside.names[number], text, wait, stands)


class HollowRelay(Relay):
    """A relay without clients and backends on sockets; requests come in by `take`.  What it does is metered by kind."""

    def __init__(
        self, reactor: Any, told: RelayConfiguration, outside: Outside, wall: Callable[[], float] | None = None
    ) -> None:
        self.meter, self.outside, self.dead = Meter(), outside, False
        self.index = int(told.facts.get("index", 0))
        super().__init__(HollowReactor(reactor, self.meter, outside), told, wall=wall)
        self.units.timer.cancel()
        self.clients.stop_sweeping()
        self.units = HollowBackends(self)
        self.discovery, self.platform = HollowDiscovery(self), HollowPlatform(self)

    def start_discovery(self) -> None:
        """The process watches the list for all its relays."""

    def take(self, statement: statements.Statement, at: int) -> Deferred:
        return self.meter.run("serving", super().take, statement, at)

    def on_tick(self) -> None:
        if not self.dead:
            self.meter.run("tick", super().on_tick)

    def listed(self, news: News, kind: str = "") -> None:
        if not self.dead:
            self.meter.run("list", super().listed, news, kind)

    def on_rollout_state(self, state: RolloutState) -> None:
        if not self.dead:
            self.meter.run("rollout", super().on_rollout_state, state)

    def on_vote_answer(self, answer: str) -> None:
        if not self.dead:
            self.meter.run("rollout", super().on_vote_answer, answer)

    def kill(self) -> None:
        """Its process ends at once, and what it had at hand is lost."""
        self.dead = True
        for timer in (self.timer, self.clock_check_timer):
            if timer is not None and timer.active():
                timer.cancel()
        for serving in list(self.serving.values()):
            for attempt in list(serving.shots.values()):
                attempt.stop("cancelled")
        self.serving.clear()
        if self.peer_listener:
            self.peer_listener.stopListening()
