"""Clients that write small and large requests, of which some leave before the answer."""

import asyncio
import fcntl
import random
import struct
import termios

from ..soak.wire import LOOPBACK, insert, query, read_reply, startup
from .observations import Answer, Clock, Observations, Request
from .plan import MAX_VALUE_BYTES, Plan
from .units import value_of

CLASSES = ("book", "book", "submit", "read")
LONGEST_PAUSE_S = 0.15  # between two requests of a client
PATIENCE_S = 4.0  # beyond its time, until a request without an answer counts as lost
SMALL_VALUE_BYTES = 400
SENT_CHECK_S = 0.005  # between checks whether a request has come to the relay's machine


def unacknowledged(descriptor: int) -> int:
    """Bytes that were written to a socket and have not come to the other side's machine."""
    return struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))[0]


class Client:
    """One client, with one connection at a time."""

    def __init__(self, number: int, port: int, plan: Plan, clock: Clock, seen: Observations) -> None:
        self.number, self.port, self.plan, self.clock, self.seen = number, port, plan, clock, seen
        self.chance = random.Random(plan.seed * 1000 + number)
        self.sent = 0
        self.is_over = False

    async def run(self) -> None:
        """Send requests until `is_over`."""
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.is_over:
            if connection is None:
                connection = await self.connect()
            if not await self.request(*connection):
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self.chance.uniform(0, LONGEST_PAUSE_S))
        if connection:
            connection[1].transport.abort()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port, limit=1 << 18)
        writer.write(startup())
        await read_reply(reader)
        return reader, writer

    async def request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request and note its answer; returns whether the connection may be used again."""
        self.sent += 1
        name, identifier = self.chance.choice(CLASSES), f"c{self.number}x{self.sent}"
        is_large = self.chance.random() < self.plan.large_share
        size = self.chance.randrange(MAX_VALUE_BYTES + 1) if is_large else self.chance.randrange(SMALL_VALUE_BYTES)
        if is_large and self.chance.random() < 0.5:
            size = MAX_VALUE_BYTES
        deadline_s = self.plan.deadline_s * self.chance.uniform(0.3, 1.0)
        fields = f"id={identifier},c={name},t=usual,d={deadline_s * 1000:.0f}"
        writer.write(query(insert(f"k{identifier}", size, fields)))
        self.seen.requests[identifier] = Request(identifier, name, self.clock.span(), deadline_s)
        sending = asyncio.ensure_future(self.follow_sending(identifier, writer))
        try:
            if self.chance.random() < self.plan.leave_share:
                return await self.leave(identifier)
            return await self.wait(identifier, reader, deadline_s)
        finally:
            sending.cancel()

    async def follow_sending(self, identifier: str, writer: asyncio.StreamWriter) -> None:
        """A request counts as sent once the relay's machine has all of it, which may have to wait for the relay."""
        descriptor = writer.get_extra_info("socket").fileno()
        while writer.transport.get_write_buffer_size() or unacknowledged(descriptor):
            await asyncio.sleep(SENT_CHECK_S)
            request = self.seen.requests[identifier]
            self.seen.requests[identifier] = request._replace(sent=self.clock.span())

    async def leave(self, identifier: str) -> bool:
        """Close the connection after a while, whether an answer has come or not."""
        await asyncio.sleep(self.chance.uniform(0, self.plan.deadline_s / 2))
        self.seen.left[identifier] = self.clock.span()
        return False

    async def wait(self, identifier: str, reader: asyncio.StreamReader, deadline_s: float) -> bool:
        try:
            reply = await asyncio.wait_for(read_reply(reader), deadline_s + PATIENCE_S)
        except TimeoutError:
            self.seen.answers[identifier] = Answer("lost", self.clock.span(), False)
            return False
        outcome = "lost" if reply.outcome == "closed" else reply.outcome
        is_right = outcome != "served" or reply.value == value_of(identifier)
        self.seen.answers[identifier] = Answer(outcome, self.clock.span(), is_right)
        return outcome != "lost"
