"""Stand-ins around the measured relay on loopback: discovery, platform, units, clients and the other relays.

They answer at once, and count the bytes and datagrams that the relay sends and receives, without headers of TCP, UDP
and IP.  Each is bounded; `close` closes all that a stand-in opened.
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

from ... import peer_messages
from ...net import messages
from .events import CANARY_BUILD, list_entry
from .points import Cost, Side

HOST = "127.0.0.1"
LIST_REQUEST = re.compile(rb"GET /catalog/members(?:\?after=(\d{1,12})&\S*)? HTTP/1\.1\r\n")
MAX_REQUEST_HEAD_BYTES = 16 * 1024
PING_INTERVAL = 1.0  # seconds between pings of the platform
MAX_CLIENT_CONNECTIONS = 64
DEADLINE_MS = 3000  # of a request
QUERY_RESPONSE = (
    messages.message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
    + messages.message(b"D", b"\0\1\0\0\0\2\x9f\x03")
    + messages.message(b"C", b"SELECT 1\0")
    + messages.READY_FOR_QUERY
)


class Count(NamedTuple):
    """One kind of traffic that the meter counts."""

    side: Side
    cost: Cost


class Meter:
    """Counts bytes and datagrams; sent and received are meant as the measured relay sees them."""

    def __init__(self) -> None:
        self.counts: Counter[Count] = Counter()

    def sent(self, side: Side, data: bytes) -> None:
        """The relay sent this over a connection."""
        self.counts[Count(side, Cost.BYTES_OUT)] += len(data)

    def received(self, side: Side, data: bytes) -> None:
        """The relay received this over a connection."""
        self.counts[Count(side, Cost.BYTES_IN)] += len(data)

    def datagram_sent(self, data: bytes) -> None:
        """The relay sent this datagram to another relay."""
        self.sent(Side.CONTROL, data)
        self.counts[Count(Side.CONTROL, Cost.DATAGRAMS_OUT)] += 1

    def datagram_received(self, data: bytes) -> None:
        """The relay received this datagram from another relay."""
        self.received(Side.CONTROL, data)
        self.counts[Count(Side.CONTROL, Cost.DATAGRAMS_IN)] += 1


class StandInConnection(Protocol):
    """One connection that the relay opened to a stand-in; both directions are counted."""

    side = Side.CONTROL

    def __init__(self, owner: Any) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.owner.connections[self] = None

    def dataReceived(self, data: bytes) -> None:
        self.owner.meter.sent(self.side, data)
        self.receive(data)

    def receive(self, data: bytes) -> None:
        """Handles bytes from the relay."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Sends bytes to the relay."""
        self.owner.meter.received(self.side, data)
        self.transport.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.owner.connections.pop(self, None)


class StandIn(Factory):
    """A listener on loopback with its connections."""

    noisy = False
    connection_class: type[StandInConnection] = StandInConnection

    def __init__(self, reactor: Any, meter: Meter) -> None:
        self.reactor, self.meter = reactor, meter
        self.connections: dict[Any, None] = {}
        self.port = reactor.listenTCP(0, self, 512, HOST)

    def address(self) -> str:
        """Host and port of the listener."""
        return f"{HOST}:{self.port.getHost().port}"

    def buildProtocol(self, address: Any) -> StandInConnection:
        return self.connection_class(self)

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()


class UnitConnection(StandInConnection):
    """A connection to a unit, which answers each query at once."""

    side = Side.SERVING

    def connectionMade(self) -> None:
        super().connectionMade()
        self.splitter = messages.MessageSplitter(typed=False)

    def receive(self, data: bytes) -> None:
        self.splitter.feed(data)
        for kind, body in self.splitter:
            if not self.splitter.typed:
                self.splitter.typed = True
                self.write(messages.STARTUP_RESPONSE)
            elif kind == b"Q":
                self.write(QUERY_RESPONSE if body.strip(b" \0") else messages.EMPTY_QUERY_RESPONSE)


class UnitsStandIn(StandIn):
    """Stands for all units, at one address."""

    connection_class = UnitConnection


class ListConnection(StandInConnection):
    """A connection to discovery with one call at a time: for the whole list, or a watch for the next change."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.buffer = b""
        self.watches = False

    def receive(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > MAX_REQUEST_HEAD_BYTES:
            return self.transport.abortConnection()
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            match = LIST_REQUEST.match(head + b"\r\n")
            if not match:
                return self.transport.abortConnection()
            self.watches = match[1] is not None
            self.owner.on_request(self)

    def answer(self, body: bytes) -> None:
        """Sends the HTTP response to the call."""
        self.watches = False
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class ListStandIn(StandIn):
    """Discovery for one relay: sends the list of units as a whole, or one change after the other.

    `relay_watches` is fired by the next watch of the relay.
    """

    connection_class = ListConnection

    def __init__(self, reactor: Any, meter: Meter, units: int, address: str) -> None:
        super().__init__(reactor, meter)
        self.entries = [list_entry(place, address) for place in range(units)]
        self.version = 1
        self.changes = 0
        self.relay_watches: Deferred[None] | None = None

    def body(self, is_whole: bool, entries: list[dict[str, Any]]) -> bytes:
        """The body of a response with these entries."""
        return json.dumps({"generation": self.version, "reset": is_whole, "instances": entries}).encode()

    def on_request(self, connection: ListConnection) -> None:
        """Answers a call for the whole list; a watch stays open until `push`."""
        if not connection.watches:
            return connection.answer(self.body(True, self.entries))
        if self.relay_watches:
            relay_watches, self.relay_watches = self.relay_watches, None
            relay_watches.callback(None)

    def push(self, body: bytes) -> Deferred[None]:
        """Answers the watch; fires when the relay watches again.  Raises ValueError if it does not watch now."""
        watching = next((connection for connection in self.connections if connection.watches), None)
        if watching is None:
            raise ValueError("the measured relay does not watch the list of units")
        self.relay_watches = Deferred()
        watching.answer(body)
        return self.relay_watches

    def change(self, now_ms: int) -> Deferred[None]:
        """Sends the changed entry of one unit, which has been restarted; fires as `push` does."""
        place = self.changes % len(self.entries)
        self.version, self.changes = self.version + 1, self.changes + 1
        self.entries[place] = self.entries[place] | {"startedAtMs": now_ms}
        return self.push(self.body(False, [self.entries[place]]))

    def whole(self) -> Deferred[None]:
        """Sends the whole list again; fires as `push` does."""
        self.version += 1
        return self.push(self.body(True, self.entries))


class PlatformConnection(StandInConnection):
    """A connection to the platform: answers the subscription and accepts every vote."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.buffer = b""
        self.timer = None

    def receive(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            call = json.loads(line)
            if call["method"] == "subscribe":
                self.send({"id": call["id"], "result": True})
                self.send({"method": "stage", "params": rollout_state()})
                self.ping()
            else:
                self.send({"id": call["id"], "result": rollout_state()})

    def ping(self) -> None:
        """Sends a ping, now and in each interval."""
        self.send({"method": "ping"})
        self.timer = self.owner.reactor.callLater(PING_INTERVAL, self.ping)

    def send(self, tree: dict[str, Any]) -> None:
        """Sends a JSON-RPC message."""
        self.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()
        super().connectionLost(reason)


def rollout_state() -> dict[str, Any]:
    """A canary build in its first stage, in the platform's format."""
    return {"Revision": CANARY_BUILD, "Wave": 0, "State": "canary", "MaxShare": 0.5, "AgeMs": 60_000}


class PlatformStandIn(StandIn):
    """The platform, with a rollout that never advances."""

    connection_class = PlatformConnection


class PeerSocket(DatagramProtocol):
    """Another relay: counts what it receives, and answers the question to a load tracker with the first unit."""

    noisy = False

    def __init__(self, meter: Meter, relay: tuple[str, int]) -> None:
        self.meter, self.relay = meter, relay

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self.meter.datagram_sent(data)
        if len(data) >= 9 and len(data) % 2:  # a question: 5 bytes of head, then 16 bits for each of two units or more
            number = int.from_bytes(data[:4], "little")
            self.send(peer_messages.answer_message(number, 0))

    def send(self, data: bytes) -> None:
        """Sends a message to the measured relay."""
        self.meter.datagram_received(data)
        self.transport.write(data, self.relay)


class Peers:
    """The other relays, each at a loopback address of its own; those that send or receive are opened by index."""

    def __init__(self, reactor: Any, meter: Meter, relays: int, index: int, everyone: str) -> None:
        self.reactor, self.meter, self.index = reactor, meter, index
        self.port = free_port(socket.SOCK_DGRAM)
        self.addresses = [f"127.2.{number >> 8}.{number & 255}:{self.port}" for number in range(relays)]
        self.sockets: dict[int, PeerSocket] = {}
        self.ports: list[Any] = []
        self.everyone = everyone

    def open(self, number: int) -> PeerSocket:
        """The socket of the relay with that index, opened at the first call."""
        if number not in self.sockets:
            peer = self.sockets[number] = PeerSocket(self.meter, self.host_and_port(self.index))
            host, port = self.host_and_port(number)
            self.ports.append(self.reactor.listenUDP(port, peer, host))
        return self.sockets[number]

    def host_and_port(self, number: int) -> tuple[str, int]:
        """The address of the relay with that index."""
        host, port = self.addresses[number].split(":")
        return host, int(port)

    def close(self) -> None:
        """Closes all sockets."""
        for port in self.ports:
            port.stopListening()


class ClientConnection(Protocol):
    """One connection of a client, with at most one query unanswered."""

    def __init__(self, clients: "Clients") -> None:
        self.clients = clients
        self.buffer = b""
        self.sent_at = 0.0  # when the unanswered query was sent, 0 if there is none

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.write(messages.startup(b"client", b"store"))

    def write(self, data: bytes) -> None:
        self.clients.meter.received(Side.SERVING, data)
        self.transport.write(data)

    def send_query(self, text: bytes) -> None:
        self.sent_at = self.clients.reactor.seconds()
        self.write(messages.query(text))

    def dataReceived(self, data: bytes) -> None:
        self.clients.meter.sent(Side.SERVING, data)
        self.buffer += data
        if self.buffer.endswith(messages.READY_FOR_QUERY):
            is_served, self.buffer = QUERY_RESPONSE[:1] == self.buffer[:1], b""
            self.clients.on_response(self, is_served)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.clients.on_closed(self)


class Clients:
    """Sends requests at an even rate over open connections, whether or not those before are answered (open loop).

    A request for which no connection is idle is counted as skipped.
    """

    def __init__(self, reactor: Any, meter: Meter, address: str, tenants: int, classes: int) -> None:
        self.reactor, self.meter, self.address = reactor, meter, address
        self.tenants, self.classes = tenants, classes
        self.idle: deque[ClientConnection] = deque()
        self.connections: dict[ClientConnection, None] = {}
        self.sent = self.served = self.failed = self.skipped = 0
        self.all_sent: Deferred[None] | None = None

    async def connect(self, many: int) -> None:
        """Opens connections until there are `many`, at most MAX_CLIENT_CONNECTIONS."""
        host, port = self.address.split(":")
        for _ in range(min(many, MAX_CLIENT_CONNECTIONS) - len(self.connections)):
            connection = ClientConnection(self)
            await connectProtocol(TCP4ClientEndpoint(self.reactor, host, int(port), 2), connection)
            self.connections[connection] = None

    def play(self, rate: float, seconds: float) -> Deferred[None]:
        """Sends `rate` requests a second; fires when the last one has been sent."""
        self.all_sent = Deferred()
        self.begun_at = self.reactor.seconds()
        self.rate = rate
        self.due = 0
        self.total = max(1, round(rate * seconds))
        self.send_due()
        return self.all_sent

    def send_due(self) -> None:
        """Sends the requests that are due, and calls itself again when the next one is."""
        now = self.reactor.seconds()
        while self.due < self.total and self.begun_at + self.due / self.rate <= now:
            self.due += 1
            self.send()
        if self.due < self.total:
            self.reactor.callLater(max(0.0, self.begun_at + self.due / self.rate - now), self.send_due)
        else:
            all_sent, self.all_sent = self.all_sent, None
            all_sent.callback(None)

    def send(self) -> None:
        """Sends the next request over an idle connection."""
        if not self.idle:
            self.skipped += 1
            return
        number, self.sent = self.sent, self.sent + 1
        text = f"SELECT value FROM store WHERE key = 'k{number}' " + (
            f"/*id={number},c=w{number % self.classes},t=t{number * 7919 % self.tenants},d={DEADLINE_MS}*/"
        )
        self.idle.popleft().send_query(text.encode())

    def on_response(self, connection: ClientConnection, is_served: bool) -> None:
        """Counts a response, and takes the connection for idle; the first response is that to the handshake."""
        if connection.sent_at:
            self.served += is_served
            self.failed += not is_served
            connection.sent_at = 0.0
        self.idle.append(connection)

    def on_closed(self, connection: ClientConnection) -> None:
        """Forgets a connection that was closed."""
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Aborts all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of HOST that nobody listens on now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
