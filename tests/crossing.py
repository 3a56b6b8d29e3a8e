"""One relay between sockets of a test, with an event loop that runs only when told and a clock that the test moves."""

import select
import socket
import struct
import time
import unittest
from collections.abc import Callable

from twisted.internet.epollreactor import EPollReactor

from tealsail.choices.backoff import FIRST_LIST_WAIT_S
from tealsail.net.relay import Relay
from tealsail.net.shutdown import STOP_GRACE_S

from .fake import READY, STARTUP, STARTUP_RESPONSE, message
from .test_relay import config, listing, read_configuration, unit

EMPTY = message(b"Q", b"\0")  # an empty query
NOTHING = message(b"I", b"") + READY  # the answer to it
REAL_TIME_LIMIT_S = 20.0  # for a machine that is busy with other things


def row(value: bytes) -> bytes:
    """A unit's answer with that value."""
    return (
        message(b"T", b"\0\1content\0" + bytes(16) + b"\0\1")
        + message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + message(b"C", b"SELECT 1\0")
    )


def long_one_shot_query(size: int, number: bytes = b"1") -> bytes:
    """A client's query, of that id, that writes a value of `size` bytes."""
    text = b"INSERT INTO kv (name, content) VALUES ('k', '\\x%s') RETURNING content /* id=%s,c=order,t=acme,d=3000 */"
    return message(b"Q", text % (b"00" * size, number) + b"\0")


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


class Crossing(unittest.TestCase):
    """One relay between sockets of the test: `unit_side` listens as a unit, `agent_side` as the discovery agent."""

    def setUp(self) -> None:
        self.now = 1_700_000_000.0
        self.reactor = EPollReactor()
        self.reactor.seconds = lambda: self.now
        self.unit_side = self.listener()
        self.agent_side = self.listener()
        self.port = free_port()

    def listener(self) -> socket.socket:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        return server

    def start_relay(self, *units: dict, held: bool = False, **more: object) -> Relay:
        """A relay that has started; with `held` it still holds its clients for the list that has not come."""
        unit_address = {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"}
        tree = (
            config(
                listen=f"127.0.0.1:{self.port}",
                peer_listen=f"127.0.0.1:{free_port()}",
                discovery=f"127.0.0.1:{self.agent_side.getsockname()[1]}",
                rollouts=config()["rollouts"] | {"address": "127.0.0.1:1"},
                known=listing(41, True, *(units or (unit(1) | unit_address,))),
            )
            | more
        )
        self.tree = tree
        self.relay = Relay(self.reactor, read_configuration(tree))
        self.relay.start()
        self.addCleanup(self.reactor.removeAll)
        self.addCleanup(self.close_sockets)
        if not held:
            self.advance(FIRST_LIST_WAIT_S)
        return self.relay

    def close_sockets(self) -> None:
        for reader in self.reactor.removeAll():
            getattr(reader, "socket", self.unit_side).close()

    def run_once(self) -> None:
        """Run the loop once."""
        self.reactor.runUntilCurrent()
        self.reactor.doIteration(0.01)

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run the loop until the condition holds, while the relay's clock stands still."""
        end = time.monotonic() + REAL_TIME_LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "the condition did not come true in time")
            self.run_once()

    def advance(self, seconds: float) -> None:
        """Advance the clock and run timers; nothing that came is read."""
        self.now += seconds
        self.reactor.runUntilCurrent()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps of 50 ms and run the loop once in each."""
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            self.run_once()

    def connect(self, answered: bool = True, rcvbuf: int = 0) -> socket.socket:
        """A new client that has sent its opening and an empty query; with `answered` it has its answer, too."""
        client = socket.socket()
        self.addCleanup(client.close)
        if rcvbuf:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        client.connect(("127.0.0.1", self.port))
        client.sendall(STARTUP + EMPTY)
        if answered:
            self.assertTrue(self.receive_until(client, NOTHING).endswith(NOTHING))
        return client

    def accept(self, server: socket.socket) -> socket.socket:
        self.run_until(lambda: select.select([server], [], [], 0)[0])
        unit_end = server.accept()[0]
        self.addCleanup(unit_end.close)
        return unit_end

    def accept_query(self) -> socket.socket:
        """The unit's end of a new connection, after a query has come over it."""
        unit_end = self.accept(self.unit_side)
        unit_end.sendall(STARTUP_RESPONSE)
        self.receive_until(unit_end, b"*/\0")
        return unit_end

    def agent(self) -> socket.socket:
        """The agent's end of a new connection, after a request has come over it."""
        agent = self.accept(self.agent_side)
        self.receive_until(agent, b"\r\n\r\n")
        return agent

    def receive_until(self, sock: socket.socket, last: bytes) -> bytes:
        """Receive up to these bytes, or up to the close."""
        seen = b""
        while not seen.endswith(last):
            self.run_until(lambda: select.select([sock], [], [], 0)[0])
            data = sock.recv(1 << 16)
            if not data:
                break
            seen += data
        return seen

    def receive_to_close(self, sock: socket.socket, seen: bytearray | None = None) -> bytes:
        """Receive up to the close; raises ConnectionResetError for a reset, and `seen` has what came before it."""
        seen = bytearray() if seen is None else seen
        while True:
            self.run_until(lambda: select.select([sock], [], [], 0)[0])
            data = sock.recv(1 << 16)
            if not data:
                return bytes(seen)
            seen += data

    def receive_all(self, sock: socket.socket) -> bytes:
        """Receive up to the close or the reset."""
        seen = bytearray()
        try:
            return self.receive_to_close(sock, seen)
        except ConnectionResetError:
            return bytes(seen)

    def receive_what_comes(self, sock: socket.socket) -> bytes:
        """Receive up to the close, the reset, or 20 turns of the loop in a row without anything."""
        seen, idle_turns = bytearray(), 0
        while idle_turns < 20:
            self.run_once()
            if not select.select([sock], [], [], 0)[0]:
                idle_turns += 1
                continue
            idle_turns = 0
            try:
                data = sock.recv(1 << 16)
            except ConnectionResetError:
                break
            if not data:
                break
            seen += data
        return bytes(seen)

    def wait_until_unread(self, client: socket.socket) -> None:
        """Wait until what the client wrote lies unread at the relay's end."""
        connection = next(
            each for each in self.relay.clients.connections if each.transport.getPeer().port == client.getsockname()[1]
        )
        self.assertTrue(select.select([connection.transport.socket], [], [], REAL_TIME_LIMIT_S)[0])

    def begin_stop(self) -> list[None]:
        """Stop the relay, and pass all but the last millisecond of the time in which it still serves as before."""
        ended: list[None] = []
        self.relay.stop().addCallback(ended.append)
        self.advance(STOP_GRACE_S - 0.001)
        return ended
