"""Hostile clients of a soak, in a process of their own: `python -m tealsail.lab.soak.hostile_clients` with an `Order`.

The order comes as JSON on standard input, and a `HostileReport` goes to standard output at the end.
"""

import asyncio
import contextlib
import json
import random
import resource
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .wire import LOOPBACK, insert, message, query, read_reply, select, startup

MAX_VALUE_BYTES = 64 * 1024  # of a value, by the protocol
OWED_S = 3.0  # within which a client whose messages can't be read is owed an error or a close
HUGE_OWED_S = 6.0  # the same for one that has 60 MB to send
HUGE_BYTES = 60_000_000
CLIENT_DESCRIPTORS = 4096
PIECE_BYTES = 4000  # that a slow client writes at once
PIECE_PAUSE_S = 0.05
FLOOD_BYTES = 64 * 1024  # of small messages that are written at once
PIPELINED = 32  # queries that a flood keeps under way on its connection
SSL_REQUEST = struct.pack(">II", 8, 80877103)
MANY_PARAMETERS = b"a\0b\0" * 2400  # of one startup message, within the 10,000 bytes that it may have


class Order(NamedTuple):
    """What hostile clients do: their kind (a key of KINDS), for how long, and over how many connections at once."""

    kind: str
    port: int
    seconds: float
    connections: int
    seed: int


class HostileReport(NamedTuple):
    """What hostile clients saw: those that were owed an error or a close, and those that did not get it in time.

    `left` has, for requests whose client left, the id and when it closed, in seconds of the monotonic clock.
    """

    owed: int
    unmet: int
    left: list[tuple[str, float]]


class Connection:
    """One connection to the relay; what it sends is read and dropped."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.ended = asyncio.ensure_future(self.read_all())

    async def read_all(self) -> bool:
        """Whether anything but the greeting came, or the end."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(FLOOD_BYTES):
                pass
        return True

    async def send(self, data: bytes) -> bool:
        """Write, and wait until it is out; False once the connection has ended."""
        with contextlib.suppress(ConnectionError, TimeoutError):
            self.writer.write(data)
            await asyncio.wait_for(self.writer.drain(), OWED_S)
        return not self.ended.done()

    def close(self) -> None:
        self.ended.cancel()
        self.writer.close()


class HostileClients:
    """The hostile clients of one order."""

    def __init__(self, order: Order) -> None:
        self.order, self.random = order, random.Random(order.seed)
        self.until = time.monotonic() + order.seconds
        self.owed = self.unmet = self.count = 0
        self.left: list[tuple[str, float]] = []

    def is_time_left(self) -> bool:
        return time.monotonic() < self.until

    def new_id(self) -> str:
        self.count += 1
        return f"h{self.order.seed}x{self.order.port}x{self.count}"

    def fields(self, request_class: str, tenant: str = "other", identifier: str = "") -> str:
        return f"id={identifier or self.new_id()},c={request_class},t={tenant},d=2000"

    async def connect(self, greeting: bytes | None = None) -> Connection | None:
        """A connection over which the startup message (or another greeting) was written."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, self.order.port), OWED_S)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.01)
            return None
        writer.write(startup() if greeting is None else greeting)
        return Connection(reader, writer)

    async def run(self) -> HostileReport:
        """Keep all connections busy until the time is over."""
        act = KINDS[self.order.kind]

        async def repeat() -> None:
            while self.is_time_left():
                await act(self)

        await asyncio.gather(*(repeat() for _ in range(self.order.connections)))
        return HostileReport(self.owed, self.unmet, self.left)

    async def wait_for_end(self, connection: Connection, seconds: float = OWED_S) -> None:
        """Count whether the relay ends the connection within that time."""
        self.owed += 1
        try:
            await asyncio.wait_for(asyncio.shield(connection.ended), seconds)
        except TimeoutError:
            self.unmet += 1
        connection.close()

    def large_statement(self) -> bytes:
        return query(insert(self.new_id(), MAX_VALUE_BYTES, self.fields("submit")))


async def stop_half_way(clients: HostileClients) -> None:
    """Stop in the middle of a large request and stay."""
    if connection := await clients.connect():
        data = query(b" " * 200_000) if clients.random.random() < 0.5 else clients.large_statement()
        await connection.send(data[: int(len(data) * clients.random.uniform(0.5, 0.99))])
        await clients.wait_for_end(connection)


async def write_slowly(clients: HostileClients) -> None:
    """Write a large request in small pieces."""
    if connection := await clients.connect():
        data = clients.large_statement()
        for start in range(0, len(data), PIECE_BYTES):
            if not await connection.send(data[start : start + PIECE_BYTES]) or not clients.is_time_left():
                break
            await asyncio.sleep(PIECE_PAUSE_S)
        connection.close()


async def send_many_parameters(clients: HostileClients) -> None:
    """Begin with a startup message of very many short parameters, and stay."""
    if connection := await clients.connect(startup(MANY_PARAMETERS)):
        await clients.wait_for_end(connection)


async def send_many_fields(clients: HostileClients) -> None:
    """Send a statement whose comment has very many short fields."""
    fields = ",".join(f"{number:x}=" for number in range(30_000))
    await ask(clients, select("a", clients.fields("read") + "," + fields))


async def send_large(clients: HostileClients) -> None:
    """Write the largest value that is allowed."""
    await ask(clients, insert(clients.new_id(), MAX_VALUE_BYTES, clients.fields("submit")))


async def send_long_key(clients: HostileClients) -> None:
    """Read a very long key."""
    await ask(clients, select("k" * 120_000, clients.fields("read")))


async def ask(clients: HostileClients, statement: bytes) -> None:
    """Send one query on a connection of its own and read its answer."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, clients.order.port), OWED_S)
        writer.write(startup() + query(statement))
        await read_reply(reader)
        await asyncio.wait_for(read_reply(reader), OWED_S)
        writer.close()


async def leave_unread(clients: HostileClients) -> None:
    """Ask for values without pause and read nothing."""
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            await asyncio.wait_for(loop.sock_connect(connection, (LOOPBACK, clients.order.port)), OWED_S)
            await loop.sock_sendall(connection, startup())
            while clients.is_time_left():
                data = query(select(clients.new_id(), clients.fields("read")))
                await asyncio.wait_for(loop.sock_sendall(connection, data), OWED_S)
                await asyncio.sleep(PIECE_PAUSE_S / 5)
        await asyncio.sleep(PIECE_PAUSE_S)


async def stay_silent(clients: HostileClients) -> None:
    """Connect and say nothing."""
    if connection := await clients.connect(b""):
        await clients.wait_for_end(connection)


async def send_huge(clients: HostileClients) -> None:
    """Send a value of 60 MB."""
    if connection := await clients.connect():
        piece = b"9f" * (FLOOD_BYTES // 2)
        await connection.send(b"Q" + struct.pack(">I", HUGE_BYTES + 4))
        for _ in range(HUGE_BYTES // len(piece)):
            if not await connection.send(piece):
                break
        await clients.wait_for_end(connection, HUGE_OWED_S)


async def flood(clients: HostileClients, data: bytes, greeting: bytes | None = None) -> None:
    """Write small messages at full speed, and connect again when the relay ends the connection."""
    if connection := await clients.connect(greeting):
        while clients.is_time_left() and await connection.send(data):
            await asyncio.sleep(0)
        connection.close()


async def flood_queries(clients: HostileClients, statement: Callable[[], bytes]) -> None:
    """Keep PIPELINED queries under way on one connection for all the time."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, clients.order.port), OWED_S)
        writer.write(startup())
        await read_reply(reader)
        while clients.is_time_left():
            writer.write(b"".join(query(statement()) for _ in range(PIPELINED)))
            for _ in range(PIPELINED):
                if (await asyncio.wait_for(read_reply(reader), OWED_S)).outcome == "closed":
                    return
        writer.close()


async def flood_syncs(clients: HostileClients) -> None:
    await flood(clients, message(b"S") * (FLOOD_BYTES // 5))


async def flood_copy_messages(clients: HostileClients) -> None:
    await flood(clients, message(b"c") * (FLOOD_BYTES // 5))


async def flood_encryption_requests(clients: HostileClients) -> None:
    await flood(clients, SSL_REQUEST * (FLOOD_BYTES // 8), b"")


async def flood_extended_messages(clients: HostileClients) -> None:
    await flood(clients, (message(b"P", b"\0\0\0\0") + message(b"S")) * (FLOOD_BYTES // 14))


async def flood_empty_queries(clients: HostileClients) -> None:
    await flood_queries(clients, lambda: b"")


async def flood_unsound_queries(clients: HostileClients) -> None:
    await flood_queries(clients, lambda: b"x")


async def flood_new_names(clients: HostileClients) -> None:
    def statement() -> bytes:
        name = clients.new_id()
        request_class = clients.random.choice(("read", name))
        return select(name, clients.fields(request_class, name))

    await flood_queries(clients, statement)


async def reconnect_at_once(clients: HostileClients) -> None:
    """Connect, ask and close without waiting."""
    if connection := await clients.connect():
        await connection.send(query(select(clients.new_id(), clients.fields("read"))))
        connection.close()


async def leave_with_much_unread(clients: HostileClients) -> None:
    """Send many requests behind one another, close at once, and note when."""
    if connection := await clients.connect():
        identifiers = [clients.new_id() for _ in range(24)]
        padding = " " * 20_000
        data = b"".join(
            query(select("k", clients.fields("read", identifier=each)).replace(b"FROM", b"FROM" + padding.encode()))
            for each in identifiers
        )
        connection.writer.write(data)
        await asyncio.sleep(clients.random.uniform(0, 0.05))
        connection.ended.cancel()
        connection.writer.transport.abort()  # close() would first wait until all that it holds is written
        closed_at = time.monotonic()
        clients.left += [(each, closed_at) for each in identifiers]
        await asyncio.sleep(0.1)


async def come_again_after_leaving(clients: HostileClients) -> None:
    """Send a request that must not run twice, close once it may have begun, and send the same id again."""
    identifier = clients.new_id()
    for pause in (0.01, 0.2):
        if connection := await clients.connect():
            await connection.send(query(insert("k", 2, clients.fields("submit", identifier=identifier))))
            await asyncio.sleep(pause)
            connection.close()
        await asyncio.sleep(clients.random.choice((0.0, 0.02, 0.3)))


KINDS: dict[str, Callable[[HostileClients], Awaitable[None]]] = {
    "half": stop_half_way,
    "slow": write_slowly,
    "parameters": send_many_parameters,
    "fields": send_many_fields,
    "large": send_large,
    "keys": send_long_key,
    "unread": leave_unread,
    "silent": stay_silent,
    "huge": send_huge,
    "syncs": flood_syncs,
    "copies": flood_copy_messages,
    "encryption": flood_encryption_requests,
    "extended": flood_extended_messages,
    "empty": flood_empty_queries,
    "unsound": flood_unsound_queries,
    "names": flood_new_names,
    "reconnect": reconnect_at_once,
    "leave": leave_with_much_unread,
    "again": come_again_after_leaving,
}
CROWDS = ("half", "slow", "parameters", "fields", "large", "keys", "unread", "silent")  # by hundreds of connections


def main() -> None:
    """Carry out the order on standard input."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(CLIENT_DESCRIPTORS, most), most))
    order = Order(**json.load(sys.stdin))
    json.dump(asyncio.run(HostileClients(order).run())._asdict(), sys.stdout)


if __name__ == "__main__":
    main()
