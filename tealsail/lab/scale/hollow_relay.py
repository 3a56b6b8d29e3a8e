"""A hollow relay: `net.relay.Relay` itself, with clients and backends in its process instead of behind sockets.

Everything between clients and backends is the relay's own code: facade, choices, list handling, timers, and messages
to other relays over its own UDP socket.  So whatever is added to the relay's code is in force here, too.  What is left
out: the listener for clients and their connections, connections to backends and their table, and the connections to
discovery and platform, in whose place the process has one connection to the director.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from ...choices.old_copy import is_question
from ...net import messages, statements
from ...net.discovery import ListUpdate
from ...net.platform import PlatformState
from ...net.relay import Relay
from ...net.relay_configuration import RelayConfiguration
from ...net.shots import ShotOwner
from ...net.unit_connection import ShotResult
from .backends import Backends, Load
from .meter import Meter, MeteredPeers

ONE_WAY_S = 0.0002  # to a backend, and back
SERVED_VALUE = messages.Value(messages.RowDescription(b"", 1), messages.DataRow(b"", 1), messages.CommandComplete(b""))


class ProcessServices(NamedTuple):
    """What a hollow relay needs of its process.

    `backend_names` gives a backend's name by the relay's number of it; `vote` passes on a relay's vote (relay, build,
    stage, verdict); `request_list` makes the process send a relay the whole list; `on_sent` and `on_received` get the
    address and size of each datagram."""

    backends: Backends
    backend_names: dict[int, str]
    vote: Callable[[int, int, int, str], None]
    request_list: Callable[["HollowRelay"], None]
    on_sent: Callable[[tuple[str, int], int], None]
    on_received: Callable[[tuple[str, int], int], None]


class NullListener:
    """In place of the listener for clients."""

    def stopListening(self) -> None:
        """Nothing listens."""


class HollowReactor:
    """The process's reactor as a hollow relay sees it: no listener for clients, and a metered UDP socket."""

    def __init__(self, reactor: Any, meter: Meter, services: ProcessServices) -> None:
        self.reactor, self.meter, self.services = reactor, meter, services

    def __getattr__(self, name: str) -> Any:
        return getattr(self.reactor, name)

    def listenTCP(self, *arguments: Any) -> NullListener:
        return NullListener()

    def listenUDP(self, port: int, protocol: Any, *arguments: Any, **keywords: Any) -> Any:
        metered = MeteredPeers(protocol, self.meter, self.services.on_sent, self.services.on_received)
        return self.reactor.listenUDP(port, metered, *arguments, **keywords)


class HollowDiscovery:
    """In place of the connection to discovery: the process hands the list to all its relays."""

    address = ""

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def reconnect(self) -> None:
        self.relay.services.request_list(self.relay)

    def move(self, address: str) -> None:
        """Nothing to do: there is one list."""

    def stop(self) -> None:
        """Nothing is open."""


class HollowPlatform:
    """In place of the connection to the platform."""

    address = ""
    vote_wait = 0.0

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.relay.services.vote(self.relay.index, build, stage, verdict)

    def reconnect(self) -> None:
        """Nothing to do: the process's connection stays."""

    def move(self, address: str) -> None:
        """Nothing to do: there is one platform."""

    def stop(self) -> None:
        """Nothing is open."""


class HollowAttempt:
    """One attempt at a backend, with the interface of `net.shots.Shot`: `done` fires once, with a ShotResult."""

    def __init__(self, relay: "HollowRelay", backend: str, shot: ShotOwner, wait: float) -> None:
        """`shot` gives the query, and is asked whether it may be sent when it reaches the backend; `wait` is the
        seconds to wait for an answer."""
        self.owner, self.backend, self.shot = relay, backend, shot
        self.relay, self.number, self.index = relay.index, -1, 0
        self.done: Deferred[ShotResult] = Deferred()
        self.is_over = self.is_at_backend = False
        self.timer = relay.reactor.callLater(wait, self.stop, "timeout")
        relay.reactor.callLater(ONE_WAY_S, self.arrive)

    def arrive(self) -> None:
        """Its bytes have come to the backend."""
        if self.is_over:
            return
        if not self.shot.may_send():
            return self.end("moot")
        backends = self.owner.services.backends
        statement = statements.read(self.shot.query().text())
        self.number = int(statement.id)
        self.index = backends.next_index(self.number)
        request_class = self.owner.facade.workloads[statement.workload]
        self.is_at_backend = True  # before the backend takes it: it may answer at once
        if not backends.take(self, request_class, int(statement.wait * 10)):
            self.is_at_backend = False
            self.end("unreachable")

    def on_answer(self, outcome: str, load: Load) -> None:
        if not self.is_over:
            self.is_at_backend = False
            self.owner.reactor.callLater(ONE_WAY_S, self.end, "served" if outcome == "wrong" else outcome, load)

    def stop(self, outcome: str) -> None:
        """The relay waits no longer; it gets the outcome in the loop's next turn, as with a connection that ends."""
        if self.is_over:
            return
        if not self.is_at_backend:
            return self.end("moot" if self.number < 0 else outcome)
        self.is_at_backend = False
        self.owner.services.backends.cancel(self)
        self.owner.reactor.callLater(0, self.end, outcome)

    def end(self, outcome: str, load: Load = None) -> None:
        """Report the outcome to the relay, unless that has been killed."""
        if self.is_over:
            return
        self.is_over = True
        if self.timer.active():
            self.timer.cancel()
        if not self.owner.is_dead:
            value = SERVED_VALUE if outcome == "served" else None
            self.owner.meter.run("serving", self.done.callback, ShotResult(outcome, value, load))


class HollowBackends:
    """In place of the relay's table of connections (net.units.Units)."""

    max_connections = 0

    def __init__(self, relay: "HollowRelay") -> None:
        self.relay = relay

    def open_ahead(self, counts: dict[int, int]) -> None:
        """No connection is kept."""

    def listed(self, number: int, address: str, build: int, started: int) -> None:
        """No connection is kept."""

    def unlisted(self, number: int) -> None:
        """No connection is kept."""

    def numbers(self) -> list[int]:
        return []

    def close_idle(self) -> None:
        """No connection is kept."""

    def shoot(self, number: int, shot: ShotOwner, wait: float) -> HollowAttempt | None:
        """Begin an attempt; None if that backend is not listed (any more)."""
        if number not in self.relay.facade.relay.units:
            return None
        return HollowAttempt(self.relay, self.relay.services.backend_names[number], shot, wait)


class HollowRelay(Relay):
    """A relay without sockets for clients and backends; requests come in by `take`.  Its work is metered by kind."""

    def __init__(
        self,
        reactor: Any,
        configuration: RelayConfiguration,
        services: ProcessServices,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self.meter, self.services, self.is_dead = Meter(), services, False
        self.index = int(configuration.relay_settings.get("index", 0))
        super().__init__(HollowReactor(reactor, self.meter, services), configuration, wall=wall)
        self.units.timer.cancel()
        self.clients.stop_sweeping()
        self.units = HollowBackends(self)
        self.discovery, self.platform = HollowDiscovery(self), HollowPlatform(self)

    def start_discovery(self) -> None:
        """Nothing to do: the process gets the list for all its relays."""

    def on_peer_message(self, number: int, data: bytes) -> None:
        """Leaves questions about old lists to real relays, since it keeps no identities of backends."""
        if not is_question(data):
            super().on_peer_message(number, data)

    def take(self, statement: statements.Statement, at: int) -> Deferred:
        return self.meter.run("serving", super().take, statement, at, lambda: False)  # nobody leaves

    def on_tick(self) -> None:
        if not self.is_dead:
            self.meter.run("tick", super().on_tick)

    def listed(self, news: ListUpdate, kind: str = "") -> None:
        if not self.is_dead:
            self.meter.run("list", super().listed, news, kind)

    def on_rollout_state(self, state: PlatformState) -> None:
        if not self.is_dead:
            self.meter.run("rollout", super().on_rollout_state, state)

    def on_vote_answer(self, answer: str) -> None:
        if not self.is_dead:
            self.meter.run("rollout", super().on_vote_answer, answer)

    def kill(self) -> None:
        """End at once, as a killed process does: open requests get no answer."""
        self.is_dead = True
        for timer in (self.timer, self.clock_check_timer):
            if timer is not None and timer.active():
                timer.cancel()
        for invocation in list(self.serving.values()):
            for attempt in list(invocation.shots.values()):
                attempt.stop("cancelled")
        self.serving.clear()
        if self.peer_listener:
            self.peer_listener.stopListening()
