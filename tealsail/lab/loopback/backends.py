"""Units on sockets: PostgreSQL's messages in front of the unit machines, one listener for each."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...net import messages, statements
from ...record.lines import Came, Done, Met, Ran, Shot
from ...world.clients import TRY
from ...world.network import Network
from ...world.unit import NEVER, Asked, Unit
from .addresses import UNITS, caller
from .process_messages import BackendCrashed, BackendState, DayBegin, FinalReport, Message, NetworkState
from .trial_setup import TrialSetup

BACKLOG = 512  # connections that wait to be taken
DESCRIBED = messages.message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
COMPLETE = messages.message(b"C", b"SELECT 1\0")


def row(value: bytes) -> bytes:
    return messages.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)


SERVED = DESCRIBED + row(b"\x9f\x03") + COMPLETE
WRONG = DESCRIBED + row(b"\x00") + COMPLETE
VALUES = {
    "served": SERVED,
    "wrong": WRONG,
    "error": messages.trouble("XX000", "the build failed"),
    "full": messages.trouble("53300", "turned away"),
}


class PendingQuery:
    """One query in a unit's hands, and the connection that waits for it."""

    __slots__ = ("connection", "number", "place", "over")

    def __init__(self, connection: "BackendConnection", number: int, place: int) -> None:
        self.connection, self.number, self.place, self.over = connection, number, place, False


class BackendConnection(Protocol):
    """One connection of a relay to a unit; one query at a time, as the relay keeps it."""

    def __init__(self, listener: "BackendListener") -> None:
        self.listener, self.splitter = listener, messages.Splitter(typed=False)
        self.held: PendingQuery | None = None
        self.relay, self.muted = -1, False

    def connectionMade(self) -> None:
        self.relay = caller(self.transport.getHost().host)
        if self.relay < 0:  # not from a relay of the trial
            return self.transport.abortConnection()
        self.transport.setTcpNoDelay(True)
        self.listener.connections[self] = None
        self.listener.record_line(Met(self.listener.now(), self.relay, self.listener.unit.name))
        if not self.reached():
            self.mute()

    def reached(self) -> bool:
        return self.listener.reached(self.relay)

    def mute(self) -> None:
        """Cut off: nothing goes in or out, and nothing is said of it."""
        self.muted = True
        self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        if self.muted or not self.reached():
            return self.mute()
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if self.splitter.typed:
                    self.came(messages.from_client(kind, body))
                else:
                    messages.opening(body)
                    self.splitter.typed = True
                    self.write(messages.WELCOME)
        except (messages.Unreadable, statements.Unclear) as problem:
            self.listener.pool.setup.report_violation(f"a relay wrote what can't be read: {problem}")
            self.transport.abortConnection()

    def came(self, what: Any) -> None:
        match what:
            case messages.Query(text) if not text.strip():
                self.write(messages.EMPTY)
            case messages.Query(text):
                if self.held:
                    return self.listener.pool.setup.report_violation(
                        "a relay wrote a second query to a connection at work"
                    )
                self.asked(statements.read(text))
            case messages.Terminate():
                self.transport.loseConnection()

    def asked(self, statement: statements.Statement) -> None:
        listener, pool, now = self.listener, self.listener.pool, self.listener.now()
        number = int(statement.id)
        place = pool.place(number)
        self.held = PendingQuery(self, number, place)
        unit = listener.unit
        listener.record_line(
            Shot(now, self.relay, number, place, unit.name, unit.build.number, int(statement.wait * 10))
        )
        unit.take(now, Asked(self.held, number % TRY, pool.setup.class_numbers[statement.workload]))
        pool.touch(listener)

    def answer(self, outcome: str, load: dict[str, float] | None) -> None:
        self.held = None
        if outcome == "reset":
            return self.transport.abortConnection()
        report = b""
        if load:
            text = ",".join(f"{name}={figure:.3f}" for name, figure in load.items()).encode()
            report = messages.message(b"S", b"stats\0" + text + b"\0")
        self.write(VALUES[outcome] + report + messages.READY)

    def write(self, data: bytes) -> None:
        if self.reached() and not self.muted:
            self.transport.write(data)
        else:
            self.mute()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.listener.connections.pop(self, None)
        held, self.held = self.held, None
        if held and not held.over:
            held.over = True
            listener = self.listener
            listener.record_line(Came(listener.now(), self.relay, held.number, held.place, "cancelled"))
            listener.unit.stop(listener.now(), held)
            listener.pool.touch(listener)


class BackendListener(Factory):
    """A unit with its port; whoever connects is known by the address that was connected to."""

    noisy = False

    def __init__(self, pool: "BackendPool", unit: Unit, number: int) -> None:
        self.pool, self.unit, self.number = pool, unit, number
        self.now, self.record_line = pool.setup.now, pool.setup.record_line
        self.connections: dict[BackendConnection, None] = {}
        self.port: Any = None
        self.timer: Any = None

    def buildProtocol(self, address: Any) -> BackendConnection:
        return BackendConnection(self)

    def reached(self, relay: int) -> bool:
        return self.pool.network.reaches(self.now(), relay, self.unit.name, self.unit.zone)

    def open(self) -> None:
        setup = self.pool.setup
        self.port = setup.reactor.listenTCP(setup.addresses.port + UNITS + self.number, self, BACKLOG)

    def close(self) -> None:
        """Its process has ended: connections are reset and new ones refused."""
        if self.port:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()
        if self.timer and self.timer.active():
            self.timer.cancel()


class BackendPool:
    """A part of a trial's units: opens those that run, closes those that have ended, wakes those at work."""

    def __init__(self, setup: TrialSetup, place: int, many: int) -> None:
        self.setup, self.of = setup, (place, many)
        self.listeners: dict[str, BackendListener] = {}
        self.places: dict[int, int] = {}  # invocation -> shots of it that came to this part
        self.network = Network(setup.scenario.paths(), setup.scenario.relay_zones(), setup.seed)
        self.kind, self.works = setup.scenario.kind(), setup.scenario.works()
        self.builds = setup.scenario.builds_by_number()

    def place(self, number: int) -> int:
        """A place for a shot, apart from those that other parts give: the wire has none."""
        count = self.places[number] = self.places.get(number, -1) + 1
        return count * self.of[1] + self.of[0]

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
            case BackendState():
                self.stand(message)
            case NetworkState(plain):
                self.network.take_over(plain)
                self.mend()
                for relay_until in sorted({until for each in (*plain[0], *plain[3]) for until in each[-1:]}):
                    if self.setup.now() < relay_until < NEVER:
                        self.setup.reactor.callLater(self.setup.seconds_until(relay_until) + 0.001, self.mend)

    def stand(self, message: BackendState) -> None:
        """A unit comes up, goes, or changes."""
        listener, now = self.listeners.get(message.name), self.setup.now()
        if listener and (
            message.dead or (listener.unit.mark, listener.unit.started) != (message.mark, message.started)
        ):
            del self.listeners[message.name]
            listener.unit.die(now)
            self.touch(listener)
            listener.close()
            listener = None
        if message.dead:
            return
        if listener is None:
            unit = Unit(
                message.name,
                message.mark,
                self.builds[message.build],
                self.kind,
                message.speed,
                message.zone,
                message.cell,
                message.started,
                self.works,
                self.setup.seed,
            )
            listener = self.listeners[message.name] = BackendListener(self, unit, message.number)
            listener.open()
        unit = listener.unit
        if unit.hung != message.hung:
            unit.hang(now, message.hung)
        if unit.slow != message.slow:
            unit.slow_down(now, message.slow)
        unit.errors = message.errors
        if message.draining and not unit.draining:
            unit.drain(now)
        self.touch(listener)

    def mend(self) -> None:
        """What was cut off and is reached again: its old connections are reset."""
        for listener in self.listeners.values():
            for connection in [
                connection for connection in listener.connections if connection.muted and connection.reached()
            ]:
                connection.transport.abortConnection()

    def touch(self, listener: BackendListener) -> None:
        """Takes up what a unit said, and when it wants to be woken."""
        setup, unit = self.setup, listener.unit
        now = setup.now()
        taken, unit.taken = unit.taken, []
        for held, work in taken:
            setup.record_line(Ran(now, held.connection.relay, held.number, held.place, unit.name, work))
        said, unit.said = unit.said, []
        for held, outcome in said:
            if held.over:
                continue
            held.over = True
            relay = held.connection.relay
            setup.record_line(Done(now, relay, held.number, held.place, unit.name, outcome))
            setup.record_line(Came(now, relay, held.number, held.place, "served" if outcome == "wrong" else outcome))
            held.connection.answer(outcome, unit.load(now) if unit.kind.report_every else None)
        if unit.fell and not unit.told_fallen:
            unit.told_fallen = True
            setup.send(BackendCrashed(unit.name))
        due, timer = unit.due, listener.timer
        if due < NEVER and not unit.dead:
            if timer and timer.active():
                timer.reset(setup.seconds_until(due))
            else:
                listener.timer = setup.reactor.callLater(setup.seconds_until(due), self.wake, listener)
        elif timer and timer.active():
            timer.cancel()

    def wake(self, listener: BackendListener) -> None:
        listener.unit.wake(self.setup.now())
        self.touch(listener)

    def final_report(self) -> FinalReport:
        return FinalReport({}, [], 0.0)
