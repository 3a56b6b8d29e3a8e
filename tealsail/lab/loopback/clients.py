"""Clients on sockets: arrivals at their times whatever the answers do, over connections as clients keep them."""

from collections import Counter
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ...net import messages
from ...record.lines import End, Take
from ...world.clients import Arrival
from ...world.day import Day
from ..traffic import clients_of
from .process_messages import AllAnswered, ArrivalsOver, DayBegin, FinalReport, Message, RelayStates
from .trial_setup import TrialSetup

JOIN = 2.0  # seconds to connect in
MOMENT, NEVER = 10_000, 1 << 60  # tenths of a ms
PATIENCE = 2_000  # tenths of a ms beyond the abandon time: then a client closes
REJECTED = (b"53300", b"57P03")


def statement(arrival: Arrival, workload: str, effect: str, customer: str, wait: int) -> bytes:
    """As a client words it; `wait` in milliseconds."""
    fields = (
        f"id={arrival.number},c={workload}"
        + (f",t={customer}" if customer else "")
        + f",d={wait}"
        + (",r=1" if arrival.repeat else "")
    )
    if effect == "harmless":
        return f"SELECT content FROM kv WHERE name = '{arrival.key}' /* {fields} */".encode()
    return (
        f"INSERT INTO kv (name, content) VALUES ('{arrival.key}', '\\x9f03') RETURNING content /* {fields} */"
    ).encode()


def advice(body: bytes) -> int:
    """When a rejection says to come back, in tenths of a ms: the error's field D; 0 for none."""
    for field in body.split(b"\0"):
        if field[:1] == b"D" and field[1:].isdigit():
            return int(field[1:8]) * 10
    return 0


class ClientConnection(Protocol):
    """One connection of a client: set up, idle, or with one invocation out."""

    def __init__(self, pool: "ClientPool", relay: int) -> None:
        self.pool, self.relay, self.splitter = pool, relay, messages.Splitter(typed=True)
        self.ready = False
        self.arrival: Arrival | None = None
        self.answer, self.come_back = "", 0
        self.timer: Any = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(messages.startup(b"backend", b"store"))

    def ask(self, arrival: Arrival) -> None:
        """May be called before the greeting has come: the query goes right behind the startup."""
        pool, setup = self.pool, self.pool.setup
        now = setup.now()
        self.arrival, self.answer, self.come_back = arrival, "", 0
        setup.record_line(
            Take(
                now,
                self.relay,
                arrival.number,
                arrival.intended,
                arrival.workload,
                arrival.customer,
                arrival.key,
                arrival.give_up,
                arrival.first,
            )
        )
        pool.late[max(0, now - arrival.at)] += 1
        wait = max(1, (arrival.give_up - now) // 10)
        each = setup.scenario.workload[arrival.workload]
        self.transport.write(
            messages.query(statement(arrival, each.name, each.effect, setup.tenants[arrival.customer], wait))
        )
        self.timer = setup.reactor.callLater(setup.seconds_until(arrival.give_up + PATIENCE), self.leave)

    def dataReceived(self, data: bytes) -> None:
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if kind == b"E":
                    self.come_back = advice(body)
                self.came(messages.from_unit(kind, body))
        except messages.Unreadable as problem:
            self.pool.setup.report_violation(f"a relay answered what can't be read: {problem}")
            self.transport.abortConnection()

    def came(self, what: Any) -> None:
        match what:
            case messages.Row(body):
                self.answer = "wrong" if body.endswith(b"\x00") else "served"
            case messages.Trouble(code, _):
                self.answer = "rejected" if code in REJECTED else "forfeited"
            case messages.Ready() if not self.ready:
                self.ready = True
                if not self.arrival:
                    self.pool.free(self)
            case messages.Ready() if self.arrival:
                self.finish(self.answer or "lost")
                self.pool.free(self)

    def finish(self, answer: str) -> None:
        arrival, self.arrival = self.arrival, None
        if self.timer and self.timer.active():
            self.timer.cancel()
        if arrival:
            self.pool.ended(self.relay, arrival, answer, self.come_back)

    def leave(self) -> None:
        """It waits no longer."""
        self.finish("left")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        idle = self.pool.idle[self.relay]
        if self in idle:
            idle.remove(self)
        if self.arrival and not self.answer and self.pool.ends(self.relay):
            return self.pool.crossed(self)  # a relay that ends closed it before it had read the query, in order or,
            # where the query came just then, by a reset
        self.finish("lost")


class ClientPool:
    """The clients of a part of the relays.  Connections are kept by relay, the one used last first; when all are busy one
    more is opened."""

    def __init__(self, setup: TrialSetup, place: int, many: int) -> None:
        self.setup, self.place, self.many = setup, place, many
        # all arrivals are drawn in each part, as in the model, surges among them, and the others' passed over
        self.clients = Day(setup.scenario.parts(), setup.seed, clients_of(setup.scenario, setup.seed)).clients
        self.idle: list[list[ClientConnection]] = [[] for _ in range(setup.relays)]
        self.ready: set[int] = set()
        self.last: list[int] = []  # those that were ending when last told
        self.ending: dict[int, int] = {}  # relay that was told to end -> when it still ran
        self.open = 0  # invocations without an answer, and repeats to come
        self.late: Counter[int] = Counter()  # tenths of a ms -> arrivals that were so late
        self.lost_alive: list[tuple[int, int]] = []  # relay and when
        self.resent: list[tuple[int, int]] = []  # relay and number of what it had not read when it ended
        self.closing = False

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
                self.next()
            case RelayStates(ready, ending):
                now = self.setup.now()
                self.ending = {relay: at for relay, at in self.ending.items() if now - at < MOMENT} | dict.fromkeys(
                    self.last, now
                )
                self.ready, self.last = set(ready), ending
                self.ending |= dict.fromkeys(ending, NEVER)
            case ArrivalsOver():
                self.closing = True
                self.look()

    def ends(self, relay: int) -> bool:
        """Whether it was told to end: it runs yet, or ran a moment ago, when the ends of its connections may be on their way."""
        return self.setup.now() - self.ending.get(relay, -NEVER) < MOMENT

    def look(self) -> None:
        if self.closing and not self.open:
            self.closing = False
            self.setup.send(AllAnswered())

    def next(self) -> None:
        due = self.clients.due
        if due is not None:
            self.setup.reactor.callLater(self.setup.seconds_until(due), self.arrive)

    def arrive(self) -> None:
        """All that are due by now; what is late counts from its intended time all the same."""
        clients, now = self.clients, self.setup.now()
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay % self.many == self.place:
                self.serve(arrival)
        self.next()

    def serve(self, arrival: Arrival, step: int = 0) -> None:
        """The front gives it to its relay, or to the next one that is up, from `step` places on."""
        setup = self.setup
        self.open += 1
        while step < setup.relays and (arrival.relay + step) % setup.relays not in self.ready:
            step += 1
        relay = (arrival.relay + step) % setup.relays
        if step >= setup.relays:
            return self.unserved(relay, arrival)
        idle = self.idle[relay]
        while idle:
            connection = idle.pop()
            if connection.transport.connected:
                return connection.ask(arrival)
        place = setup.addresses.relay(relay)
        connection = ClientConnection(self, relay)
        joined = connectProtocol(TCP4ClientEndpoint(setup.reactor, place.host, place.port, JOIN), connection)
        joined.addCallbacks(lambda _: connection.ask(arrival), lambda _: self.refused(relay, arrival, step + 1))

    def refused(self, relay: int, arrival: Arrival, step: int) -> None:
        """The next one, then; one that is up and takes no connection is told of."""
        if relay in self.ready and not self.ends(relay):
            self.lost_alive.append((relay, self.setup.now()))
        self.open -= 1
        self.serve(arrival, step)

    def unserved(self, relay: int, arrival: Arrival) -> None:
        """No relay could be reached: the try counts as asked for, and no relay has lost it."""
        self.setup.record_line(
            Take(
                self.setup.now(),
                relay,
                arrival.number,
                arrival.intended,
                arrival.workload,
                arrival.customer,
                arrival.key,
                arrival.give_up,
                arrival.first,
            )
        )
        self.ended(relay, arrival, "lost", 0)

    def crossed(self, connection: ClientConnection) -> None:
        """Sent once more, over a new connection; the first relay has not taken it."""
        setup, arrival = self.setup, connection.arrival
        connection.arrival = None
        if connection.timer and connection.timer.active():
            connection.timer.cancel()
        setup.record_line(End(setup.now(), connection.relay, arrival.number, "lost"))
        self.resent.append((connection.relay, arrival.number))
        self.open -= 1
        self.serve(arrival, (connection.relay - arrival.relay) % setup.relays + 1)  # not by the one that ends

    def free(self, connection: ClientConnection) -> None:
        self.idle[connection.relay].append(connection)

    def ended(self, relay: int, arrival: Arrival, answer: str, come_back: int) -> None:
        setup = self.setup
        setup.record_line(End(setup.now(), relay, arrival.number, answer))
        if answer == "lost" and relay in self.ready:
            self.lost_alive.append((relay, setup.now()))
        self.open -= 1
        again = self.clients.answered(setup.now(), arrival, answer, come_back)
        if again:
            self.open += 1
            setup.reactor.callLater(setup.seconds_until(again.at), self.again, again)
        self.look()

    def again(self, arrival: Arrival) -> None:
        self.open -= 1
        self.serve(arrival)

    def final_report(self) -> FinalReport:
        return FinalReport(dict(self.late), self.lost_alive, 0.0, self.resent)
