"""Clients on sockets: requests arrive at their times whenever answers come, over connections that clients keep."""

from collections import Counter
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ...net import messages
from ...record.lines import InvocationEnded, InvocationTaken
from ...world.clients import Arrival
from ...world.day import Day
from ..traffic import create_clients
from .process_messages import AllAnswered, ArrivalsOver, DayBegin, FinalReport, Message, RelayStates
from .trial_setup import TrialSetup

CONNECT_TIMEOUT_S = 2.0
ENDING_MARGIN = 10_000  # tenths of a ms after a relay's end in which ends of its connections may still come
NEVER = 1 << 60  # tenths of a ms
CLIENT_GRACE = 2_000  # tenths of a ms from the deadline until a client closes its connection
REJECTED_CODES = (b"53300", b"57P03")  # error codes of a rejection


def statement_text(arrival: Arrival, request_class: str, effect: str, tenant: str, wait: int) -> bytes:
    """A request's SQL as a client writes it; `wait` is the deadline in milliseconds from now."""
    fields = (
        f"id={arrival.number},c={request_class}"
        + (f",t={tenant}" if tenant else "")
        + f",d={wait}"
        + (",r=1" if arrival.repeat else "")
    )
    if effect == "harmless":
        return f"SELECT content FROM kv WHERE name = '{arrival.key}' /* {fields} */".encode()
    return (
        f"INSERT INTO kv (name, content) VALUES ('{arrival.key}', '\\x9f03') RETURNING content /* {fields} */"
    ).encode()


def read_retry_after(body: bytes) -> int:
    """When a rejection asks to retry, in tenths of a ms: the error's field D; 0 for none."""
    for field in body.split(b"\0"):
        if field[:1] == b"D" and field[1:].isdigit():
            return int(field[1:8]) * 10
    return 0


def take_line(now: int, relay: int, arrival: Arrival) -> InvocationTaken:
    """The record's line of a request that is sent to a relay."""
    return InvocationTaken(
        now,
        relay,
        arrival.number,
        arrival.intended,
        arrival.workload,
        arrival.customer,
        arrival.key,
        arrival.deadline,
        arrival.first,
    )


class ClientConnection(Protocol):
    """One connection of a client: being set up, idle, or with one request out."""

    def __init__(self, pool: "ClientPool", relay: int) -> None:
        self.pool, self.relay, self.splitter = pool, relay, messages.MessageSplitter(typed=True)
        self.is_ready = False
        self.arrival: Arrival | None = None
        self.answer, self.retry_after = "", 0
        self.timer: Any = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(messages.startup(b"backend", b"store"))

    def send_request(self, arrival: Arrival) -> None:
        """Send a request; it may follow the startup message at once, before the relay has answered that."""
        pool, setup = self.pool, self.pool.setup
        now = setup.now()
        self.arrival, self.answer, self.retry_after = arrival, "", 0
        setup.record_line(take_line(now, self.relay, arrival))
        pool.lateness[max(0, now - arrival.at)] += 1
        wait = max(1, (arrival.deadline - now) // 10)
        workload = setup.scenario.workload[arrival.workload]
        self.transport.write(
            messages.query(
                statement_text(arrival, workload.name, workload.effect, setup.tenants[arrival.customer], wait)
            )
        )
        self.timer = setup.reactor.callLater(setup.seconds_until(arrival.deadline + CLIENT_GRACE), self.time_out)

    def dataReceived(self, data: bytes) -> None:
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if kind == b"E":
                    self.retry_after = read_retry_after(body)
                self.handle(messages.parse_unit_message(kind, body))
        except messages.ProtocolError as problem:
            self.pool.setup.report_violation(f"a relay answered what can't be read: {problem}")
            self.transport.abortConnection()

    def handle(self, answer: Any) -> None:
        match answer:
            case messages.DataRow(body):
                self.answer = "wrong" if body.endswith(b"\x00") else "served"
            case messages.ErrorResponse(code, _):
                self.answer = "rejected" if code in REJECTED_CODES else "forfeited"
            case messages.ReadyForQuery() if not self.is_ready:
                self.is_ready = True
                if not self.arrival:
                    self.pool.release(self)
            case messages.ReadyForQuery() if self.arrival:
                self.finish(self.answer or "lost")
                self.pool.release(self)

    def finish(self, answer: str) -> None:
        arrival, self.arrival = self.arrival, None
        if self.timer and self.timer.active():
            self.timer.cancel()
        if arrival:
            self.pool.record_answer(self.relay, arrival, answer, self.retry_after)

    def time_out(self) -> None:
        """The client waits no longer."""
        self.finish("left")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        idle = self.pool.idle[self.relay]
        if self in idle:
            idle.remove(self)
        # a relay that ends has closed the connection before it read the query: in order, or by a reset if the query
        # came at that moment
        if self.arrival and not self.answer and self.pool.is_ending(self.relay):
            return self.pool.resend(self)
        self.finish("lost")


class ClientPool:
    """The clients of every `count`th relay, from `index` on.

    Connections are kept by relay and the one used last is taken first; when all are busy one more is opened."""

    def __init__(self, setup: TrialSetup, index: int, count: int) -> None:
        self.setup, self.index, self.count = setup, index, count
        # each member draws all arrivals, surges among them, as the model does, and skips those of other members
        self.clients = Day(setup.scenario.parts(), setup.seed, create_clients(setup.scenario, setup.seed)).clients
        self.idle: list[list[ClientConnection]] = [[] for _ in range(setup.relays)]
        self.ready_relays: set[int] = set()
        self.last_ending: list[int] = []  # relays that were ending by the last RelayStates
        self.ending_at: dict[int, int] = {}  # by relay that was told to end: when it was last known to run
        self.open_requests = 0  # without an answer, or to be repeated
        self.lateness: Counter[int] = Counter()  # arrivals by how late they were sent, in tenths of a ms
        self.lost_while_up: list[tuple[int, int]] = []  # relay and when
        self.resent: list[tuple[int, int]] = []  # relay and number of requests that it had not read when it ended
        self.is_closing = False

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
                self.schedule_arrivals()
            case RelayStates(ready, ending):
                self.update_relays(ready, ending)
            case ArrivalsOver():
                self.is_closing = True
                self.report_when_answered()

    def update_relays(self, ready: list[int], ending: list[int]) -> None:
        now = self.setup.now()
        self.ending_at = {relay: at for relay, at in self.ending_at.items() if now - at < ENDING_MARGIN}
        self.ending_at |= dict.fromkeys(self.last_ending, now)
        self.ending_at |= dict.fromkeys(ending, NEVER)
        self.ready_relays, self.last_ending = set(ready), ending

    def is_ending(self, relay: int) -> bool:
        """Whether it was told to end and still runs, or ran a moment ago: its connections may be ending just now."""
        return self.setup.now() - self.ending_at.get(relay, -NEVER) < ENDING_MARGIN

    def report_when_answered(self) -> None:
        if self.is_closing and not self.open_requests:
            self.is_closing = False
            self.setup.send(AllAnswered())

    def schedule_arrivals(self) -> None:
        due = self.clients.due
        if due is not None:
            self.setup.reactor.callLater(self.setup.seconds_until(due), self.take_arrivals)

    def take_arrivals(self) -> None:
        """Send all that are due by now; the latency of a late one counts from its intended time all the same."""
        clients, now = self.clients, self.setup.now()
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay % self.count == self.index:
                self.dispatch(arrival)
        self.schedule_arrivals()

    def dispatch(self, arrival: Arrival, step: int = 0) -> None:
        """Send a request to its relay, or to the next one that is up, from `step` relays on."""
        setup = self.setup
        self.open_requests += 1
        while step < setup.relays and (arrival.relay + step) % setup.relays not in self.ready_relays:
            step += 1
        relay = (arrival.relay + step) % setup.relays
        if step >= setup.relays:
            return self.record_unreachable(relay, arrival)
        idle = self.idle[relay]
        while idle:
            connection = idle.pop()
            if connection.transport.connected:
                return connection.send_request(arrival)
        address = setup.addresses.relay(relay)
        connection = ClientConnection(self, relay)
        joined = connectProtocol(
            TCP4ClientEndpoint(setup.reactor, address.host, address.port, CONNECT_TIMEOUT_S), connection
        )
        joined.addCallbacks(
            lambda _: connection.send_request(arrival), lambda _: self.connect_failed(relay, arrival, step + 1)
        )

    def connect_failed(self, relay: int, arrival: Arrival, step: int) -> None:
        """Try the next relay; one that is up and accepts no connection has lost the request."""
        if relay in self.ready_relays and not self.is_ending(relay):
            self.lost_while_up.append((relay, self.setup.now()))
        self.open_requests -= 1
        self.dispatch(arrival, step)

    def record_unreachable(self, relay: int, arrival: Arrival) -> None:
        """Record a request for which no relay could be reached: it counts as sent, and no relay has lost it."""
        self.setup.record_line(take_line(self.setup.now(), relay, arrival))
        self.record_answer(relay, arrival, "lost", 0)

    def resend(self, connection: ClientConnection) -> None:
        """Send a request once more over a new connection, since the first relay has not taken it."""
        setup, arrival = self.setup, connection.arrival
        connection.arrival = None
        if connection.timer and connection.timer.active():
            connection.timer.cancel()
        setup.record_line(InvocationEnded(setup.now(), connection.relay, arrival.number, "lost"))
        self.resent.append((connection.relay, arrival.number))
        self.open_requests -= 1
        self.dispatch(arrival, (connection.relay - arrival.relay) % setup.relays + 1)  # not by the one that ends

    def release(self, connection: ClientConnection) -> None:
        self.idle[connection.relay].append(connection)

    def record_answer(self, relay: int, arrival: Arrival, answer: str, retry_after: int) -> None:
        setup = self.setup
        setup.record_line(InvocationEnded(setup.now(), relay, arrival.number, answer))
        if answer == "lost" and relay in self.ready_relays:
            self.lost_while_up.append((relay, setup.now()))
        self.open_requests -= 1
        repeated = self.clients.answered(setup.now(), arrival, answer, retry_after)
        if repeated:
            self.open_requests += 1
            setup.reactor.callLater(setup.seconds_until(repeated.at), self.repeat, repeated)
        self.report_when_answered()

    def repeat(self, arrival: Arrival) -> None:
        self.open_requests -= 1
        self.dispatch(arrival)

    def final_report(self) -> FinalReport:
        return FinalReport(dict(self.lateness), self.lost_while_up, 0.0, self.resent)
