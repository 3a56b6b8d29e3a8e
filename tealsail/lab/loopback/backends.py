"""Backends on sockets: PostgreSQL's messages in front of the machines of world/unit.py, one listener each."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...net import messages, statements
from ...record.lines import ConnectionOpened, ShotAnswered, ShotEnded, ShotSent, ShotStarted
from ...world.clients import NUMBERS_PER_TRY
from ...world.network import Network
from ...world.unit import NEVER, IncomingShot, Unit
from .addresses import BACKENDS, calling_relay
from .process_messages import BackendCrashed, BackendState, DayBegin, FinalReport, Message, NetworkState
from .trial_setup import TrialSetup

BACKLOG = 512  # connections that wait in the kernel to be accepted
ROW_DESCRIPTION = messages.message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
COMMAND_COMPLETE = messages.message(b"C", b"SELECT 1\0")


def row(value: bytes) -> bytes:
    """A result's row of one column, as a message."""
    return messages.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)


SERVED = ROW_DESCRIPTION + row(b"\x9f\x03") + COMMAND_COMPLETE
WRONG = ROW_DESCRIPTION + row(b"\x00") + COMMAND_COMPLETE
ANSWERS = {  # messages by outcome
    "served": SERVED,
    "wrong": WRONG,
    "error": messages.error_response("XX000", "the build failed"),
    "full": messages.error_response("53300", "turned away"),
}


class PendingQuery:
    """One query that a backend has, and the connection that waits for its answer."""

    __slots__ = ("connection", "number", "attempt", "is_over")

    def __init__(self, connection: "BackendConnection", number: int, attempt: int) -> None:
        self.connection, self.number, self.attempt, self.is_over = connection, number, attempt, False


class BackendConnection(Protocol):
    """One connection of a relay to a backend; one query at a time, as the relay keeps it."""

    def __init__(self, listener: "BackendListener") -> None:
        self.listener, self.splitter = listener, messages.MessageSplitter(typed=False)
        self.query: PendingQuery | None = None
        self.relay, self.is_cut_off = -1, False

    def connectionMade(self) -> None:
        self.relay = calling_relay(self.transport.getHost().host)
        if self.relay < 0:  # not from a relay of the trial
            return self.transport.abortConnection()
        self.transport.setTcpNoDelay(True)
        self.listener.connections[self] = None
        self.listener.record_line(ConnectionOpened(self.listener.now(), self.relay, self.listener.backend.name))
        if not self.is_reachable():
            self.cut_off()

    def is_reachable(self) -> bool:
        return self.listener.is_reachable(self.relay)

    def cut_off(self) -> None:
        """Let nothing in or out any longer; the relay learns nothing of it."""
        self.is_cut_off = True
        self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        if self.is_cut_off or not self.is_reachable():
            return self.cut_off()
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if self.splitter.typed:
                    self.handle(messages.parse_client_message(kind, body))
                else:
                    messages.parse_first_message(body)
                    self.splitter.typed = True
                    self.write(messages.STARTUP_RESPONSE)
        except (messages.ProtocolError, statements.StatementError) as problem:
            self.listener.pool.setup.report_violation(f"a relay wrote what can't be read: {problem}")
            self.transport.abortConnection()

    def handle(self, message: Any) -> None:
        match message:
            case messages.Query(text) if not text.strip():
                self.write(messages.EMPTY_QUERY_RESPONSE)
            case messages.Query(text):
                if self.query:
                    return self.listener.pool.setup.report_violation(
                        "a relay wrote a second query to a connection at work"
                    )
                self.run_query(statements.read(text))
            case messages.Terminate():
                self.transport.loseConnection()

    def run_query(self, statement: statements.Statement) -> None:
        listener, pool, now = self.listener, self.listener.pool, self.listener.now()
        number = int(statement.id)
        attempt = pool.attempt_number(number)
        self.query = PendingQuery(self, number, attempt)
        backend = listener.backend
        wait = int(statement.wait * 10)  # tenths of a ms
        listener.record_line(ShotSent(now, self.relay, number, attempt, backend.name, backend.build.number, wait))
        backend.take(
            now, IncomingShot(self.query, number % NUMBERS_PER_TRY, pool.setup.class_numbers[statement.workload])
        )
        pool.follow_up(listener)

    def answer(self, outcome: str, load: dict[str, float] | None) -> None:
        self.query = None
        if outcome == "reset":
            return self.transport.abortConnection()
        report = b""
        if load:
            text = ",".join(f"{name}={figure:.3f}" for name, figure in load.items()).encode()
            report = messages.message(b"S", b"stats\0" + text + b"\0")
        self.write(ANSWERS[outcome] + report + messages.READY_FOR_QUERY)

    def write(self, data: bytes) -> None:
        if self.is_reachable() and not self.is_cut_off:
            self.transport.write(data)
        else:
            self.cut_off()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.listener.connections.pop(self, None)
        query, self.query = self.query, None
        if query and not query.is_over:
            query.is_over = True
            listener = self.listener
            listener.record_line(ShotEnded(listener.now(), self.relay, query.number, query.attempt, "cancelled"))
            listener.backend.stop(listener.now(), query)
            listener.pool.follow_up(listener)


class BackendListener(Factory):
    """A backend with its port; which relay connects is known by the address that was connected to."""

    noisy = False

    def __init__(self, pool: "BackendPool", backend: Unit, number: int) -> None:
        self.pool, self.backend, self.number = pool, backend, number
        self.now, self.record_line = pool.setup.now, pool.setup.record_line
        self.connections: dict[BackendConnection, None] = {}
        self.port: Any = None
        self.timer: Any = None

    def buildProtocol(self, address: Any) -> BackendConnection:
        return BackendConnection(self)

    def is_reachable(self, relay: int) -> bool:
        return self.pool.network.reaches(self.now(), relay, self.backend.name, self.backend.zone)

    def open(self) -> None:
        setup = self.pool.setup
        self.port = setup.reactor.listenTCP(setup.addresses.port + BACKENDS + self.number, self, BACKLOG)

    def close(self) -> None:
        """Reset all connections and refuse new ones, as when the backend's process has ended."""
        if self.port:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()
        if self.timer and self.timer.active():
            self.timer.cancel()


class BackendPool:
    """Every `count`th of a trial's backends, from `index` on: opens those that run, closes those that ended, and wakes
    those at work."""

    def __init__(self, setup: TrialSetup, index: int, count: int) -> None:
        self.setup, self.index, self.count = setup, index, count
        self.listeners: dict[str, BackendListener] = {}
        self.last_attempts: dict[int, int] = {}  # by request: the last of its attempts here, counted from 0
        self.network = Network(setup.scenario.paths(), setup.scenario.relay_zones(), setup.seed)
        self.kind, self.works = setup.scenario.kind(), setup.scenario.works()
        self.builds = setup.scenario.builds_by_number()

    def attempt_number(self, number: int) -> int:
        """A number for the request's next attempt, apart from those of other members: the relay sends none."""
        earlier = self.last_attempts[number] = self.last_attempts.get(number, -1) + 1
        return earlier * self.count + self.index

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
            case BackendState():
                self.update(message)
            case NetworkState(plain):
                self.network.restore(plain)
                self.reset_cut_off()
                for relay_until in sorted({until for each in (*plain[0], *plain[3]) for until in each[-1:]}):
                    if self.setup.now() < relay_until < NEVER:
                        self.setup.reactor.callLater(self.setup.seconds_until(relay_until) + 0.001, self.reset_cut_off)

    def update(self, state: BackendState) -> None:
        """Start, end or change a backend as the coordinator says."""
        listener, now = self.listeners.get(state.name), self.setup.now()
        if listener and (state.is_dead or not self.is_same(listener.backend, state)):
            self.remove(listener)
            listener = None
        if state.is_dead:
            return
        listener = listener or self.add(state)
        backend = listener.backend
        if backend.is_hung != state.is_hung:
            backend.hang(now, state.is_hung)
        if backend.slowdown != state.slowdown:
            backend.set_slowdown(now, state.slowdown)
        backend.errors = state.errors
        if state.is_draining and not backend.is_draining:
            backend.drain(now)
        self.follow_up(listener)

    def is_same(self, backend: Unit, state: BackendState) -> bool:
        """Whether it is still the same process."""
        return (backend.identity, backend.started) == (state.identity, state.started)

    def add(self, state: BackendState) -> BackendListener:
        backend = Unit(
            state.name,
            state.identity,
            self.builds[state.build],
            self.kind,
            state.speed,
            state.zone,
            state.cell,
            state.started,
            self.works,
            self.setup.seed,
        )
        listener = self.listeners[state.name] = BackendListener(self, backend, state.number)
        listener.open()
        return listener

    def remove(self, listener: BackendListener) -> None:
        del self.listeners[listener.backend.name]
        listener.backend.die(self.setup.now())
        self.follow_up(listener)
        listener.close()

    def reset_cut_off(self) -> None:
        """Reset connections that were cut off where the relay reaches the backend again."""
        for listener in self.listeners.values():
            for connection in [
                connection for connection in listener.connections if connection.is_cut_off and connection.is_reachable()
            ]:
                connection.transport.abortConnection()

    def follow_up(self, listener: BackendListener) -> None:
        """Record and pass on what a backend has begun and answered, and schedule its next wake-up."""
        setup, backend = self.setup, listener.backend
        now = setup.now()
        taken, backend.taken = backend.taken, []
        for query, work in taken:
            setup.record_line(ShotStarted(now, query.connection.relay, query.number, query.attempt, backend.name, work))
        outcomes, backend.outcomes = backend.outcomes, []
        for query, outcome in outcomes:
            if not query.is_over:
                self.answer(now, backend, query, outcome)
        if backend.crashed and not backend.crash_reported:
            backend.crash_reported = True
            setup.send(BackendCrashed(backend.name))
        self.schedule(listener)

    def answer(self, now: int, backend: Unit, query: PendingQuery, outcome: str) -> None:
        query.is_over = True
        relay, seen = query.connection.relay, "served" if outcome == "wrong" else outcome
        self.setup.record_line(ShotAnswered(now, relay, query.number, query.attempt, backend.name, outcome))
        self.setup.record_line(ShotEnded(now, relay, query.number, query.attempt, seen))
        query.connection.answer(outcome, backend.load(now) if backend.kind.report_every else None)

    def schedule(self, listener: BackendListener) -> None:
        """Set the timer of the backend's next wake-up."""
        setup, due, timer = self.setup, listener.backend.due, listener.timer
        if due < NEVER and not listener.backend.is_dead:
            if timer and timer.active():
                timer.reset(setup.seconds_until(due))
            else:
                listener.timer = setup.reactor.callLater(setup.seconds_until(due), self.wake, listener)
        elif timer and timer.active():
            timer.cancel()

    def wake(self, listener: BackendListener) -> None:
        listener.backend.wake(self.setup.now())
        self.follow_up(listener)

    def final_report(self) -> FinalReport:
        return FinalReport({}, [], 0.0)
