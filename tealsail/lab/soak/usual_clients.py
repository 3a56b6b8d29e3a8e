"""Usual clients of a soak: they use their connections for as long as these are open, and check each answer."""

import asyncio
import random
import time
from typing import NamedTuple

from .relay_process import SETTINGS, Life, RelayProcess
from .stand_ins import value_of
from .wire import LOOPBACK, Reply, insert, query, read_reply, select, startup

LATE_S = 0.55  # after its time a request without a final answer is lost: half a second, and the slack on sockets
MAX_PAUSE_S = 0.1  # between two requests of a client
CONNECT_TIMEOUT_S = 2.0
REQUEST_CLASSES = {each["name"]: each["deadline"] / 1000 for each in SETTINGS["requestClasses"]}  # deadlines in seconds
CROSSING_S = 0.05  # in which a request crosses the end of a connection that rests; it goes over a new one then
STOP_GRACE_S = 0.7  # after SIGTERM; what comes later is lost if the kill finds it unanswered


class Answered(NamedTuple):
    """One request's outcome, when it was sent (seconds of the monotonic clock) and how long it took."""

    outcome: str
    at: float
    seconds: float


class UsualClients:
    """The usual clients of one relay."""

    def __init__(self, relay: RelayProcess, count: int, seed: int, value_bytes: int) -> None:
        """`value_bytes`: the size of the values that units give."""
        self.relay, self.value_bytes, self.seed = relay, value_bytes, seed
        self.random = random.Random(seed)
        self.answers: list[Answered] = []
        self.findings: list[str] = []
        self.crossed: list[str] = []  # requests that crossed the end of their connection
        self.sent = 0
        self.is_over = False
        self.accepts_new = True  # False while the front brings no new connections to the relay
        self.tasks = [asyncio.ensure_future(self.run_client()) for _ in range(count)]

    async def end(self) -> None:
        """Let each client finish its request."""
        self.is_over = True
        await asyncio.gather(*self.tasks)

    async def run_client(self) -> None:
        """One client: a request, a pause, and the next, over one connection for as long as it lasts."""
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.is_over:
            is_new = connection is None
            connection = connection or await self.connect()
            if connection is None:
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            if not await self.request(connection, is_new):
                connection[1].close()
                connection = None
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))
        if connection:
            connection[1].close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        if not self.accepts_new:
            return None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(LOOPBACK, self.relay.port), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            return None
        writer.write(startup())
        return reader, writer

    async def request(self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], is_new: bool) -> bool:
        """Send one request and check its answer; returns whether the connection may be used again."""
        life = self.relay.life
        self.sent += 1
        identifier = f"u{self.seed}x{self.relay.port}x{self.sent}"
        name, deadline = self.random.choice(list(REQUEST_CLASSES.items()))
        fields = f"id={identifier},c={name},t=usual,d={deadline * 1000:.0f}"
        text = select(f"k{identifier}", fields) if name == "read" else insert(f"k{identifier}", 40, fields)
        at = time.monotonic()
        reader, writer = connection
        writer.write(query(text))
        try:
            async with asyncio.timeout(deadline + LATE_S):
                reply = await read_reply(reader)
                if is_new and reply.outcome == "closed" and not reply.code:  # the greeting's ReadyForQuery
                    reply = await read_reply(reader)
        except TimeoutError:
            reply = Reply("late")
        self.answers.append(Answered(reply.outcome, at, time.monotonic() - at))
        self.check(identifier, reply, at, life)
        return reply.outcome in ("served", "refused", "failed") and not reader.at_eof()

    def check(self, identifier: str, reply: Reply, at: float, life: Life) -> None:
        """Note what breaks a rule."""
        if reply.outcome == "served" and reply.value != value_of(identifier, self.value_bytes):
            self.findings.append(f"{identifier} was served {reply.value[:60]!r}, which no unit made for it")
        if reply.outcome not in ("closed", "late") or may_be_unanswered(life, at):
            return
        seconds = time.monotonic() - at
        if reply.outcome == "closed" and seconds < CROSSING_S:
            self.crossed.append(identifier)  # lost only if the relay had read it
            return
        stopped = f", {at - life.stopped_at:.2f} s after SIGTERM" if life.stopped_at else ""
        self.findings.append(f"{identifier} is lost: {reply.outcome} after {seconds:.3f} s, sent at {at:.3f}{stopped}")


def may_be_unanswered(life: Life, at: float) -> bool:
    """Whether a request that was sent at `at` is not lost, since its process was killed: without a warning, or after
    one that came less than STOP_GRACE_S before the request."""
    if life.killed_at is None:
        return False
    return life.stopped_at is None or at <= life.stopped_at + STOP_GRACE_S
