"""Stand-ins of units that stop reading, whose machines still take in what their receive buffers hold."""

import asyncio
import os
import random
import socket
import struct
from typing import Any

from ..soak.wire import EMPTY_ANSWER, LOOPBACK, WELCOME, comment_fields, message, value_answer
from .observations import Attempt, Clock, Observations, Span
from .plan import BUILD, TRIAL_BUILD, Plan, Stop

PEEK_INTERVAL_S = 0.005  # between checks of what has come to a machine whose process stands still
LONGEST_WORK_S = 0.03
FULL_SHARE = 0.01  # of attempts that are turned away
ERROR_SHARE = 0.01
HEAD = struct.Struct(">cI")
FULL = message(b"E", b"SERROR\0C53300\0Mfull\0\0") + message(b"Z", b"I")
FAILED = message(b"E", b"SERROR\0CXX000\0Mno\0\0") + message(b"Z", b"I")


def value_of(request_id: str) -> bytes:
    """The value that units make for a request."""
    return f"value of {request_id}".encode()


class Unit:
    """One unit."""

    def __init__(self, number: int, plan: Plan, chance: random.Random, clock: Clock, seen: Observations) -> None:
        self.number, self.plan, self.chance, self.clock, self.seen = number, plan, chance, clock, seen
        self.name = f"s-{number:04x}"
        self.build = TRIAL_BUILD if number >= plan.units - plan.trial_units else BUILD
        self.is_standing = False
        self.connections: set[UnitConnection] = set()
        self.first_runs: dict[str, float] = {}  # of keyed requests; shared by all units
        self.port = 0

    async def listen(self) -> asyncio.Server:
        listener = socket.create_server((LOOPBACK, 0))
        if self.plan.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.plan.receive_buffer)
        self.port = listener.getsockname()[1]
        return await asyncio.get_running_loop().create_server(lambda: UnitConnection(self), sock=listener)

    async def stand_still(self, stop: Stop) -> None:
        """The whole process stands still for a while."""
        await asyncio.sleep(stop.after_s)
        self.is_standing = True
        for connection in self.connections:
            connection.pause()
        await asyncio.sleep(stop.seconds)
        self.is_standing = False
        for connection in self.connections:
            connection.go_on()


class UnitConnection(asyncio.Protocol):
    """One connection; what it has not read yet counts as come as soon as the machine has it."""

    def __init__(self, unit: Unit) -> None:
        self.unit, self.clock = unit, unit.clock
        self.received = bytearray()
        self.is_welcome = self.is_paused = self.is_lost = False
        self.began: Span | None = None  # the first byte of a query that is not whole, or not read
        self.ended: Span | None = None  # its last byte, if that has come to the machine
        self.tasks: set[asyncio.Task] = set()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.socket = socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno()))
        self.unit.connections.add(self)
        if self.unit.is_standing:
            self.pause()

    def connection_lost(self, problem: Exception | None) -> None:
        self.is_lost = True
        self.unit.connections.discard(self)
        self.socket.close()

    def run(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pause(self) -> None:
        """Read nothing more; the machine goes on taking in what it has room for."""
        if not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()
            self.run(self.peek())

    def go_on(self) -> None:
        """Read again, unless the whole process stands still."""
        if self.is_paused and not self.is_lost and not self.unit.is_standing:
            self.look()
            self.is_paused = False
            self.transport.resume_reading()

    async def peek(self) -> None:
        while self.is_paused and not self.is_lost:
            self.look()
            await asyncio.sleep(PEEK_INTERVAL_S)

    def look(self) -> None:
        """Note the first and last byte of a query that has come and is not read."""
        try:
            waiting = self.socket.recv(1 << 20, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return
        self.note_query(bytes(self.received) + waiting)

    def note_query(self, data: bytes) -> None:
        """`data` is all that has come and is not handled yet."""
        if not self.is_welcome:
            return
        if data[:1] == b"Q" and self.began is None:
            self.began = self.clock.span()
        if self.ended is None and len(data) >= HEAD.size and len(data) > HEAD.unpack_from(data)[1]:
            self.ended = self.clock.span()

    def data_received(self, data: bytes) -> None:
        self.received += data
        if not self.is_welcome:
            self.take_startup()
        while self.is_welcome and not self.is_paused:
            self.note_query(self.received)
            if self.ended is None:
                return
            length = HEAD.unpack_from(self.received)[1] + 1
            text = bytes(self.received[HEAD.size : length - 1])
            del self.received[:length]
            began, ended, self.began, self.ended = self.began, self.ended, None, None
            self.take_query(text, began, ended)

    def take_startup(self) -> None:
        if len(self.received) >= 4 and len(self.received) >= (length := struct.unpack_from(">I", self.received)[0]):
            del self.received[:length]
            self.is_welcome = True
            self.transport.write(WELCOME)
            self.maybe_pause()

    def maybe_pause(self) -> None:
        """Now and then the process stands still just before a query comes."""
        if self.unit.chance.random() < self.unit.plan.pause_share:
            seconds = self.unit.chance.uniform(0.02, self.unit.plan.longest_pause_s)
            self.pause()
            asyncio.get_running_loop().call_later(seconds, self.go_on)

    def take_query(self, text: bytes, began: Span, ended: Span) -> None:
        if not text.strip():
            self.transport.write(EMPTY_ANSWER)
            return self.maybe_pause()
        fields = comment_fields(text)
        unit, draw = self.unit, self.unit.chance.random()
        is_full = draw < FULL_SHARE
        unit.seen.attempts.append(
            Attempt(
                fields["id"], fields["c"], unit.number, unit.build, int(fields["d"]) / 1000, began, ended, not is_full
            )
        )
        if is_full or draw < FULL_SHARE + ERROR_SHARE:
            self.transport.write(FULL if is_full else FAILED)
        elif unit.chance.random() < unit.plan.lost_share:
            self.run(self.lose_answer())
        else:
            self.run(self.answer(fields["id"]))

    async def lose_answer(self) -> None:
        """The answer gets lost, and the connection is reset some time later."""
        await asyncio.sleep(self.unit.chance.uniform(0, self.unit.plan.memory_s))
        if not self.is_lost:
            self.transport.abort()

    async def answer(self, request_id: str) -> None:
        await asyncio.sleep(self.unit.chance.uniform(0, LONGEST_WORK_S))
        while self.unit.is_standing:
            await asyncio.sleep(PEEK_INTERVAL_S)
        if not self.is_lost:
            self.transport.write(value_answer(value_of(request_id)))
