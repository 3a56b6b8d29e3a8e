"""What stands round the measured relay on loopback: its list, platform, units, clients and other relays.

They answer at once, and count the bytes and datagrams that the relay sends and gets, without headers of TCP, UDP and
IP.  Each has a bound; `close` ends all that one opened.
"""

import json
import re
import socket
from collections import Counter, deque
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ... import notes
from ...net import messages
from .events import CANARY_BUILD, list_entry
from .points import Cost, Side

HOST = "127.0.0.1"
ASKED = re.compile(rb"GET /catalog/members(?:\?after=(\d{1,12})&\S*)? HTTP/1\.1\r\n")
LONGEST_HEAD = 16 * 1024  # bytes
PING = 1.0  # seconds between signs of life of the platform
MOST_CONNECTIONS = 64  # of clients
WAITS_MS = 3000  # of a client
SERVED = (
    messages.message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
    + messages.message(b"D", b"\0\1\0\0\0\2\x9f\x03")
    + messages.message(b"C", b"SELECT 1\0")
    + messages.READY_FOR_QUERY
)


class Count(NamedTuple):
    """Of what the meter keeps a count."""

    side: Side
    cost: Cost


class Meter:
    """Bytes and datagrams so far, as the measured relay sees them."""

    def __init__(self) -> None:
        self.counts: Counter[Count] = Counter()

    def sent(self, side: Side, data: bytes) -> None:
        """The relay has sent so much over a connection."""
        self.counts[Count(side, Cost.BYTES_OUT)] += len(data)

    def received(self, side: Side, data: bytes) -> None:
        self.counts[Count(side, Cost.BYTES_IN)] += len(data)

    def datagram_sent(self, data: bytes) -> None:
        self.sent(Side.CONTROL, data)
        self.counts[Count(Side.CONTROL, Cost.DATAGRAMS_OUT)] += 1

    def datagram_received(self, data: bytes) -> None:
        self.received(Side.CONTROL, data)
        self.counts[Count(Side.CONTROL, Cost.DATAGRAMS_IN)] += 1


class End(Protocol):
    """One connection of the relay; what it sends is counted."""

    side = Side.CONTROL

    def __init__(self, owner: Any) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.owner.ends[self] = None

    def dataReceived(self, data: bytes) -> None:
        self.owner.meter.sent(self.side, data)
        self.came(data)

    def came(self, data: bytes) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        self.owner.meter.received(self.side, data)
        self.transport.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.owner.ends.pop(self, None)


class StandIn(Factory):
    """One listener on loopback and its connections."""

    noisy = False
    end: type[End] = End

    def __init__(self, reactor: Any, meter: Meter) -> None:
        self.reactor, self.meter = reactor, meter
        self.ends: dict[Any, None] = {}
        self.port = reactor.listenTCP(0, self, 512, HOST)

    def address(self) -> str:
        return f"{HOST}:{self.port.getHost().port}"

    def buildProtocol(self, address: Any) -> End:
        return self.end(self)

    def close(self) -> None:
        self.port.stopListening()
        for end in list(self.ends):
            end.transport.abortConnection()


class UnitEnd(End):
    """Of a unit that answers each query at once."""

    side = Side.SERVING

    def connectionMade(self) -> None:
        super().connectionMade()
        self.splitter = messages.MessageSplitter(typed=False)

    def came(self, data: bytes) -> None:
        self.splitter.feed(data)
        for kind, body in self.splitter:
            if not self.splitter.typed:
                self.splitter.typed = True
                self.write(messages.STARTUP_RESPONSE)
            elif kind == b"Q":
                self.write(SERVED if body.strip(b" \0") else messages.EMPTY_QUERY_RESPONSE)


class UnitsStandIn(StandIn):
    """All units, at one address."""

    end = UnitEnd


class ListEnd(End):
    """One call at a time: the whole list, or a watch that waits for the next change."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.held, self.watches = b"", False

    def came(self, data: bytes) -> None:
        self.held += data
        if len(self.held) > LONGEST_HEAD:
            return self.transport.abortConnection()
        while b"\r\n\r\n" in self.held:
            head, _, self.held = self.held.partition(b"\r\n\r\n")
            match = ASKED.match(head + b"\r\n")
            if not match:
                return self.transport.abortConnection()
            self.watches = match[1] is not None
            self.owner.asked(self)

    def answer(self, body: bytes) -> None:
        self.watches = False
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class ListStandIn(StandIn):
    """Whoever hands out the list of units: to one relay, as a whole or one change after the other."""

    end = ListEnd

    def __init__(self, reactor: Any, meter: Meter, units: int, address: str) -> None:
        super().__init__(reactor, meter)
        self.entries = [list_entry(place, address) for place in range(units)]
        self.version, self.changes = 1, 0
        self.waiting: Deferred[None] | None = None  # for the next watch

    def body(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"generation": self.version, "reset": whole, "instances": entries}).encode()

    def asked(self, end: ListEnd) -> None:
        if not end.watches:
            return end.answer(self.body(True, self.entries))
        if self.waiting:
            waiting, self.waiting = self.waiting, None
            waiting.callback(None)

    def push(self, body: bytes) -> Deferred[None]:
        """Answers the watch; fires when the relay watches anew.  Raises ValueError if it does not watch."""
        watching = next((end for end in self.ends if end.watches), None)
        if watching is None:
            raise ValueError("the measured relay does not watch its list")
        self.waiting = Deferred()
        watching.answer(body)
        return self.waiting

    def change(self, now_ms: int) -> Deferred[None]:
        """One unit has been restarted."""
        place = self.changes % len(self.entries)
        self.version, self.changes = self.version + 1, self.changes + 1
        self.entries[place] = self.entries[place] | {"startedAtMs": now_ms}
        return self.push(self.body(False, [self.entries[place]]))

    def whole(self) -> Deferred[None]:
        self.version += 1
        return self.push(self.body(True, self.entries))


class PlatformEnd(End):
    """The subscription, and votes, which are all taken."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.held, self.timer = b"", None

    def came(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            call = json.loads(line)
            if call["method"] == "subscribe":
                self.say({"id": call["id"], "result": True})
                self.say({"method": "stage", "params": state()})
                self.ping()
            else:
                self.say({"id": call["id"], "result": state()})

    def ping(self) -> None:
        self.say({"method": "ping"})
        self.timer = self.owner.reactor.callLater(PING, self.ping)

    def say(self, tree: dict[str, Any]) -> None:
        self.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()
        super().connectionLost(reason)


def state() -> dict[str, Any]:
    """A build on trial in its first stage."""
    return {"Revision": CANARY_BUILD, "Wave": 0, "State": "canary", "MaxShare": 0.5, "AgeMs": 60_000}


class PlatformStandIn(StandIn):
    end = PlatformEnd


class PeerEnd(DatagramProtocol):
    """Another relay: counts what it is sent, and answers as a load tracker if it is asked which unit is best."""

    noisy = False

    def __init__(self, meter: Meter, relay: tuple[str, int]) -> None:
        self.meter, self.relay = meter, relay

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self.meter.datagram_sent(data)
        if len(data) >= 9 and len(data) % 2:
            number = int.from_bytes(data[:4], "little")
            self.tell(notes.answer_note(number, 0))

    def tell(self, data: bytes) -> None:
        self.meter.datagram_received(data)
        self.transport.write(data, self.relay)


class Peers:
    """The other relays that the measured one hears of or tells; `open` is for those by number."""

    def __init__(self, reactor: Any, meter: Meter, relays: int, index: int, everyone: str) -> None:
        self.reactor, self.meter, self.index = reactor, meter, index
        self.port = free_port(socket.SOCK_DGRAM)
        self.addresses = [f"127.2.{number >> 8}.{number & 255}:{self.port}" for number in range(relays)]
        self.ends: dict[int, PeerEnd] = {}
        self.ports: list[Any] = []
        self.everyone = everyone

    def open(self, number: int) -> PeerEnd:
        if number not in self.ends:
            end = self.ends[number] = PeerEnd(self.meter, self.place(self.index))
            host, port = self.place(number)
            self.ports.append(self.reactor.listenUDP(port, end, host))
        return self.ends[number]

    def place(self, number: int) -> tuple[str, int]:
        host, port = self.addresses[number].split(":")
        return host, int(port)

    def close(self) -> None:
        for port in self.ports:
            port.stopListening()


class ClientEnd(Protocol):
    """One connection of a client, with one query out at the most."""

    def __init__(self, clients: "Clients") -> None:
        self.clients, self.held = clients, b""
        self.at = 0.0  # when the query that is out was sent

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.write(messages.startup(b"client", b"store"))

    def write(self, data: bytes) -> None:
        self.clients.meter.received(Side.SERVING, data)
        self.transport.write(data)

    def ask(self, text: bytes) -> None:
        self.at = self.clients.reactor.seconds()
        self.write(messages.query(text))

    def dataReceived(self, data: bytes) -> None:
        self.clients.meter.sent(Side.SERVING, data)
        self.held += data
        if self.held.endswith(messages.READY_FOR_QUERY):
            served, self.held = SERVED[:1] == self.held[:1], b""
            self.clients.free(self, served)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.clients.left(self)


class Clients:
    """Requests at an even rate over kept connections, whatever becomes of those before."""

    def __init__(self, reactor: Any, meter: Meter, address: str, tenants: int, classes: int) -> None:
        self.reactor, self.meter, self.address = reactor, meter, address
        self.tenants, self.classes = tenants, classes
        self.idle: deque[ClientEnd] = deque()
        self.all: dict[ClientEnd, None] = {}
        self.sent = self.served = self.failed = self.skipped = 0
        self.over: Deferred[None] | None = None

    async def widen(self, many: int) -> None:
        """So many connections, ready."""
        host, port = self.address.split(":")
        for _ in range(min(many, MOST_CONNECTIONS) - len(self.all)):
            end = ClientEnd(self)
            await connectProtocol(TCP4ClientEndpoint(self.reactor, host, int(port), 2), end)
            self.all[end] = None

    def play(self, rate: float, seconds: float) -> Deferred[None]:
        """Fires when the last request has been sent."""
        self.over = Deferred()
        self.begun, self.rate, self.due = self.reactor.seconds(), rate, 0
        self.many = max(1, round(rate * seconds))
        self.next()
        return self.over

    def next(self) -> None:
        now = self.reactor.seconds()
        while self.due < self.many and self.begun + self.due / self.rate <= now:
            self.due += 1
            self.send()
        if self.due < self.many:
            self.reactor.callLater(max(0.0, self.begun + self.due / self.rate - now), self.next)
        else:
            over, self.over = self.over, None
            over.callback(None)

    def send(self) -> None:
        if not self.idle:
            self.skipped += 1
            return
        number, self.sent = self.sent, self.sent + 1
        text = f"SELECT value FROM store WHERE key = 'k{number}' " + (
            f"/*id={number},c=w{number % self.classes},t=t{number * 7919 % self.tenants},d={WAITS_MS}*/"
        )
        self.idle.popleft().ask(text.encode())

    def free(self, end: ClientEnd, served: bool) -> None:
        if end.at:
            self.served += served
            self.failed += not served
            end.at = 0.0
        self.idle.append(end)

    def left(self, end: ClientEnd) -> None:
        self.all.pop(end, None)
        if end in self.idle:
            self.idle.remove(end)

    def close(self) -> None:
        for end in list(self.all):
            end.transport.abortConnection()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody listens on now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
