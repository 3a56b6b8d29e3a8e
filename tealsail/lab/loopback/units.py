"""Units on sockets: PostgreSQL's messages in front of the unit machines, a listener for each relay."""
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...net import messages, statements
from ...record.lines import Came, Done, Ran, Shot
from ...world.clients import TRY
from ...world.unit import NEVER, Asked, Unit

if TYPE_CHECKING:
    from .theatre import Theatre

DESCRIBED = messages.message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
COMPLETE = messages.message(b"C", b"SELECT 1\0")


def row(value: bytes) -> bytes:
    return messages.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)


SERVED = DESCRIBED + row(b"\x9f\x03") + COMPLETE
WRONG = DESCRIBED + row(b"\x00") + COMPLETE
VALUES = {"served": SERVED, "wrong": WRONG, "error": messages.trouble("XX000", "the build failed"),
          "full": messages.trouble("53300", "turned away")}


class Held:
    """One query in a unit's hands, and the connection that waits for it."""
    __slots__ = ("wire", "number", "place", "over")

    def __init__(self, wire: "Wire", number: int, place: int) -> None:
        self.wire, self.number, self.place, self.over = wire, number, place, False


class Wire(Protocol):
    """One connection of a relay to a unit; one query at a time, as the relay keeps it."""

    def __init__(self, seat: "Seat") -> None:
        self.seat, self.splitter = seat, messages.Splitter(typed=False)
        self.held: Held | None = None
        self.muted = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.seat.wires[self] = None
        if not self.seat.reached():
            self.mute()

    def mute(self) -> None:
        """Cut off: nothing goes in or out, and nothing is said of it."""
        self.muted = True
        self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        if self.muted or not self.seat.reached():
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
            self.seat.theatre.wrong(f"a relay wrote what can't be read: {problem}")
            self.transport.abortConnection()

    def came(self, what: Any) -> None:
        match what:
            case messages.Query(text) if not text.strip():
                self.write(messages.EMPTY)
            case messages.Query(text):
                if self.held:
                    return self.seat.theatre.wrong("a relay wrote a second query to a connection at work")
                self.asked(statements.read(text))
            case messages.Terminate():
                self.transport.loseConnection()

    def asked(self, statement: statements.Statement) -> None:
        seat = self.seat
        theatre, now = seat.theatre, seat.theatre.now()
        number = int(statement.id)
        place = theatre.places[number] = theatre.places.get(number, -1) + 1
        self.held = Held(self, number, place)
        unit = seat.unit
        theatre.tell(Shot(now, seat.relay, number, place, unit.name, unit.build.number, int(statement.wait * 10)))
        unit.take(now, Asked(self.held, number % TRY, theatre.workloads[statement.workload]))
        theatre.touch(unit)

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
        if self.seat.reached() and not self.muted:
            self.transport.write(data)
        else:
            self.mute()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.seat.wires.pop(self, None)
        held, self.held = self.held, None
        if held and not held.over:
            held.over = True
            theatre, unit = self.seat.theatre, self.seat.unit
            theatre.tell(Came(theatre.now(), self.seat.relay, held.number, held.place, "cancelled"))
            unit.stop(theatre.now(), held)
            theatre.touch(unit)


class Seat(Factory):
    """A unit, as one relay reaches it."""
    noisy = False

    def __init__(self, theatre: "Theatre", unit: Unit, relay: int) -> None:
        self.theatre, self.unit, self.relay = theatre, unit, relay
        self.wires: dict[Wire, None] = {}
        self.port: Any = None

    def buildProtocol(self, address: Any) -> Wire:
        return Wire(self)

    def reached(self) -> bool:
        network, unit = self.theatre.day.network, self.unit
        return network.reaches(self.theatre.now(), self.relay, unit.name, unit.zone)

    def open(self) -> None:
        place = self.theatre.addresses.unit(self.relay, self.theatre.unit_number(self.unit.name))
        self.port = self.theatre.reactor.listenTCP(place.port, self, 512, place.host)

    def close(self) -> None:
        """Its process has ended: connections are reset and new ones refused."""
        if self.port:
            self.port.stopListening()
            self.port = None
        for wire in list(self.wires):
            wire.transport.abortConnection()


class Stalls:
    """All units of a trial on sockets: opens those that run, closes those that have ended, wakes those at work."""

    def __init__(self, theatre: "Theatre") -> None:
        self.theatre = theatre
        self.seats: dict[Unit, list[Seat]] = {}
        self.timers: dict[Unit, Any] = {}

    def follow(self) -> None:
        """After anything that may have started or ended units."""
        fleet = self.theatre.day.fleet
        for unit in [unit for unit in self.seats if unit.dead]:
            for seat in self.seats.pop(unit):
                seat.close()
            timer = self.timers.pop(unit, None)
            if timer and timer.active():
                timer.cancel()
        for unit in fleet.units.values():
            if unit not in self.seats and not unit.dead:
                self.seats[unit] = [Seat(self.theatre, unit, relay) for relay in range(self.theatre.relays)]
                for seat in self.seats[unit]:
                    seat.open()

    def mend(self) -> None:
        """What was cut off and is reached again: its old connections are reset."""
        for seats in self.seats.values():
            for seat in seats:
                for wire in [wire for wire in seat.wires if wire.muted and seat.reached()]:
                    wire.transport.abortConnection()

    def touch(self, unit: Unit) -> None:
        """Takes up what a unit said, and when it wants to be woken."""
        theatre = self.theatre
        now = theatre.now()
        taken, unit.taken = unit.taken, []
        for held, work in taken:
            theatre.tell(Ran(now, held.wire.seat.relay, held.number, held.place, unit.name, work))
        said, unit.said = unit.said, []
        for held, outcome in said:
            if held.over:
                continue
            held.over = True
            relay = held.wire.seat.relay
            theatre.tell(Done(now, relay, held.number, held.place, unit.name, outcome))
            theatre.tell(Came(now, relay, held.number, held.place, "served" if outcome == "wrong" else outcome))
            held.wire.answer(outcome, unit.load(now) if unit.kind.report_every else None)
        due = unit.due
        timer = self.timers.get(unit)
        if due < NEVER and not unit.dead:
            wait = max(0.0, theatre.seconds(due) - theatre.reactor.seconds())
            if timer and timer.active():
                timer.reset(wait)
            else:
                self.timers[unit] = theatre.reactor.callLater(wait, self.wake, unit)
        elif timer and timer.active():
            timer.cancel()

    def wake(self, unit: Unit) -> None:
        unit.wake(self.theatre.now())
        self.theatre.touch(unit)
