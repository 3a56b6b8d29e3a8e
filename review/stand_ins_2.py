"""Stand-ins for the cases 6 to 10: units, discovery, the platform, clients, and the start of a relay.

All of it runs in one event loop beside the relay, which is a process of its own, started with the `run` command of
deploy/balancer.toml.  Every stand-in listens on a free port of 127.0.0.1.  Times in records are seconds since the
start of the world.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from zlib import crc32

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
ID = re.compile(rb"[ ,]id=([^,\s*]+)")
CLASS = re.compile(rb"[ ,*]c=([^,\s*]+)")
WAIT = re.compile(rb"[ ,]d=([0-9.]+)")
HIGH_LIMIT = 1 << 20  # of what one read takes


def message(kind: bytes, body: bytes = b"") -> bytes:
    return kind + struct.pack(">I", len(body) + 4) + body


STARTUP_BODY = struct.pack(">I", 3 << 16) + b"user\0backend\0database\0store\0\0"
STARTUP = struct.pack(">I", len(STARTUP_BODY) + 4) + STARTUP_BODY
READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack(">I", 0)) + READY
EMPTY_QUERY = message(b"Q", b"\0")
EMPTY_ANSWER = message(b"I") + READY
DESCRIPTION = message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
COMPLETE = message(b"C", b"SELECT 1\0")


def error(code: str, text: str) -> bytes:
    return message(b"E", b"SERROR\0VERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


def row(value: bytes) -> bytes:
    return message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)


def served(value: bytes) -> bytes:
    """A whole answer with that value."""
    return DESCRIPTION + row(value) + COMPLETE + READY


def value_of(request: str, length: int = 0) -> bytes:
    """The value that a unit makes for a request: nobody else's."""
    return b"value of " + request.encode() + b" " * length


class World:
    """The clock, the record and all that has to be closed at the end."""

    def __init__(self, record_path: Path) -> None:
        self.start = time.monotonic()
        self.record = record_path.open("w")
        self.closers: list[Callable[[], Any]] = []
        self.folder = tempfile.TemporaryDirectory()

    def now(self) -> float:
        return time.monotonic() - self.start

    def note(self, *what: object) -> None:
        if self.record.closed:
            return  # of a connection that ends with the world
        self.record.write(f"{self.now():8.4f} {' '.join(str(each) for each in what)}\n")

    def close(self) -> None:
        for closer in reversed(self.closers):
            closer()
        self.record.close()
        self.folder.cleanup()


class Attempt:
    """One query at a unit, from its last byte on."""

    def __init__(self, unit: "Unit", connection: "UnitConnection", request: str, text: bytes, at: float) -> None:
        self.unit, self.connection, self.request, self.text, self.at = unit, connection, request, text, at
        found = CLASS.search(text)
        self.kind = found[1].decode() if found else ""
        waits = WAIT.search(text)
        self.wait_ms = float(waits[1]) if waits else 0.0
        self.ran = False


class UnitConnection:
    """One connection of a relay to a unit."""

    def __init__(self, unit: "Unit", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.unit, self.reader, self.writer = unit, reader, writer
        self.attempt: Attempt | None = None
        self.is_closed = False

    def write(self, data: bytes) -> None:
        if not self.is_closed:
            self.writer.write(data)

    def reset(self) -> None:
        """End the connection with a reset."""
        self.is_closed = True
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
        self.writer.transport.abort()

    async def serve(self) -> None:
        try:
            (length,) = struct.unpack(">I", await self.reader.readexactly(4))
            await self.reader.readexactly(length - 4)
            await self.unit.welcome(self)
            while True:
                kind = await self.reader.readexactly(1)
                (length,) = struct.unpack(">I", await self.reader.readexactly(4))
                body = await self.reader.readexactly(length - 4)
                if kind == b"X":
                    break
                text = body[:-1]
                if not text.strip():
                    await self.unit.on_empty(self)
                    continue
                found = ID.search(text)
                request = found[1].decode() if found else "?"
                attempt = Attempt(self.unit, self, request, text, self.unit.world.now())
                if self.attempt:
                    self.unit.world.note("unit", self.unit.name, "SECOND query on a busy connection", request)
                self.attempt = attempt
                self.unit.attempts.append(attempt)
                self.unit.world.note("unit", self.unit.name, "got", request, attempt.kind, f"d={attempt.wait_ms:g}")
                await self.unit.on_attempt(attempt)
                self.attempt = None
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.is_closed = True
            self.unit.connections.discard(self)
            self.writer.transport.abort()


class Unit:
    """A unit with its own port.  `work` handles one attempt; by default it answers after `work_s`."""

    def __init__(self, world: World, name: str, build: int = 41, work_s: float = 0.02) -> None:
        self.world, self.name, self.build, self.work_s = world, name, build, work_s
        self.attempts: list[Attempt] = []
        self.connections: set[UnitConnection] = set()
        self.work: Callable[[Attempt], Awaitable[None]] = self.answer
        self.setup_delay_s: Callable[[], float] = lambda: 0.0
        self.empty_delay_s: Callable[[], float] = lambda: 0.0
        self.server: Any = None
        self.port = 0
        self.started_ms = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", self.port, limit=HIGH_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]
        self.world.closers.append(self.close)

    def close(self) -> None:
        self.server.close()
        for connection in list(self.connections):
            connection.reset()

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = UnitConnection(self, reader, writer)
        self.connections.add(connection)
        await connection.serve()

    async def welcome(self, connection: UnitConnection) -> None:
        delay = self.setup_delay_s()
        if delay:
            await asyncio.sleep(delay)
        connection.write(WELCOME)

    async def on_empty(self, connection: UnitConnection) -> None:
        delay = self.empty_delay_s()
        if delay:
            await asyncio.sleep(delay)
        connection.write(EMPTY_ANSWER)

    async def on_attempt(self, attempt: Attempt) -> None:
        await self.work(attempt)

    def run(self, attempt: Attempt) -> None:
        """The work is done: from here on it has run."""
        attempt.ran = True
        self.world.note("unit", self.name, "ran", attempt.request)

    async def answer(self, attempt: Attempt) -> None:
        await asyncio.sleep(self.work_s)
        self.run(attempt)
        attempt.connection.write(served(value_of(attempt.request)))

    def entry(self, lifecycle: str = "ready") -> dict:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
            "build": self.build,
        }


class Discovery:
    """The agent: the whole list, and watches on its changes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.version = 41
        self.entries: dict[str, dict] = {}
        self.changed_at: dict[str, int] = {}
        self.change = asyncio.Condition()
        self.server: Any = None
        self.port = 0
        self.is_silent = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.asked: list[float] = []
        self.waiting: dict[asyncio.StreamWriter, None] = {}  # with a call that has no answer yet

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.world.closers.append(self.close)

    def close(self) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def tree(self, whole: bool, entries: list[dict]) -> dict:
        return {"generation": self.version, "reset": whole, "instances": entries}

    def listing(self) -> dict:
        return self.tree(True, [each for each in self.entries.values() if each["lifecycle"] != "gone"])

    async def tell(self, *entries: dict) -> None:
        """Change the list; watches that wait are answered."""
        self.version += 1
        for each in entries:
            self.entries[each["instanceId"]] = each
            self.changed_at[each["instanceId"]] = self.version
        async with self.change:
            self.change.notify_all()

    def refuse(self, answer: bytes) -> None:
        """Answer the calls that wait with this refusal."""
        for writer in list(self.waiting):
            del self.waiting[writer]
            self.world.note("discovery refuses")
            writer.write(answer)

    async def set_silent(self, silent: bool) -> None:
        self.is_silent = silent
        self.world.note("discovery", "is silent" if silent else "answers")
        async with self.change:
            self.change.notify_all()

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.asked.append(self.world.now())
                target = head.split(" ")[1]
                self.world.note("discovery asked", target)
                after = re.search(r"after=(\d+)", target)
                waits = re.search(r"wait_ms=(\d+)", target)
                until = self.world.now() + (float(waits[1]) / 1000 if waits else 0.0)

                def is_due(since: Any = after, end: float = until) -> bool:
                    fresh = since is None or self.version > int(since[1]) or self.world.now() >= end
                    return fresh and not self.is_silent

                self.waiting[writer] = None
                async with self.change:
                    while not is_due():
                        left = until - self.world.now()
                        try:
                            await asyncio.wait_for(self.change.wait(), left if left > 0 else 0.2)
                        except TimeoutError:
                            pass
                if after is None or int(after[1]) > self.version:
                    body = json.dumps(self.listing()).encode()
                else:
                    changed = [each for name, each in self.entries.items() if self.changed_at[name] > int(after[1])]
                    body = json.dumps(self.tree(False, changed)).encode()
                if writer not in self.waiting:  # refused meanwhile
                    await reader.read()
                    return
                del self.waiting[writer]
                self.world.note("discovery tells", self.version)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.waiting.pop(writer, None)
            writer.transport.abort()


class Platform:
    """The platform: news of the newest build to those that subscribe, a ping each second, votes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.state = {"Revision": 41, "Wave": 0, "State": "stable", "MaxShare": 1.0}
        self.since = world.now() - 60.0
        self.votes: list[tuple[float, dict]] = []
        self.subscribers: set[asyncio.StreamWriter] = set()
        self.server: Any = None
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.world.closers.append(self.close)
        self.pinger = asyncio.ensure_future(self.ping())

    def close(self) -> None:
        self.pinger.cancel()
        self.server.close()
        for writer in list(self.subscribers):
            writer.transport.abort()

    def news(self) -> dict:
        return self.state | {"AgeMs": int((self.world.now() - self.since) * 1000)}

    def line(self, tree: dict) -> bytes:
        return json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n"

    def tell(self, **state: Any) -> None:
        self.state, self.since = self.state | state, self.world.now()
        self.world.note("platform tells", self.state)
        for writer in self.subscribers:
            writer.write(self.line({"method": "stage", "params": self.news()}))

    async def ping(self) -> None:
        while True:
            await asyncio.sleep(1)
            for writer in self.subscribers:
                writer.write(self.line({"method": "ping", "params": {}}))

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "subscribe":
                    self.subscribers.add(writer)
                    writer.write(self.line({"id": call["id"], "result": True}))
                    writer.write(self.line({"method": "stage", "params": self.news()}))
                else:
                    self.votes.append((self.world.now(), call["params"]))
                    self.world.note("vote", call["params"])
                    writer.write(self.line({"id": call["id"], "result": self.news()}))
        except (ConnectionError, OSError):
            pass
        finally:
            self.subscribers.discard(writer)
            writer.transport.abort()


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


SETTINGS: dict[str, Any] = {
    "fleetSize": 1,
    "index": 0,
    "zone": 0,
    "discovery": "pushed",
    "tenants": [{"name": "caroni-univ", "share": 0.5}, {"name": "arima-college", "share": 0.5}],
    "requestClasses": [
        {
            "name": "report-fetch",
            "effect": "read_like",
            "group": "all",
            "memorySpan": 5000.0,
            "aim": 1200,
            "deadline": 3000,
            "gain": 2,
        },
        {
            "name": "paper-submit",
            "effect": "non_idempotent",
            "group": "all",
            "memorySpan": 5000.0,
            "aim": 2000,
            "deadline": 5000,
            "gain": 3,
        },
    ],
    "domain": {
        "control": "any",
        "layout": "in_place",
        "mostShares": [0.14, 0.42, 1.0, 1.0],
        "waves": [0.08, 0.25, 0.6, 1.0],
        "span": 2000,
        "free": 1,
        "per": "all",
        "guardedStages": 0,
        "apiTimeout": 1200,
        "ballotTtl": 6000,
        "toAdvance": 1,
        "noesNeeded": 1,
        "callsPerS": 120,
        "minDwell": 1000,
        "repeatEvery": 2000,
    },
    "limits": {
        "maxAttempts": 3,
        "cancel": True,
        "mayTell": True,
        "parallelTries": False,
        "probes": False,
        "retryAfter": False,
        "maxRetryAfter": 1000,
        "dialTimeout": 250,
        "connIdle": 30000,
    },
    "rules": {
        "answerSlack": 20,
        "askWithin": 10000,
        "coldFrom": 0.37,
        "drainGrace": 1000,
        "fallMultiple": 4,
        "overloadFor": 1500,
        "warmUp": 4000,
    },
    "feedback": {"fields": ["util"], "via": "answers"},
}


class RelayProcess:
    """One relay, started with the `run` command of the deploy file."""

    def __init__(self, world: World, name: str, discovery: Discovery, platform: Platform, **more: Any) -> None:
        self.world, self.name, self.discovery, self.platform = world, name, discovery, platform
        self.port, self.peer_port = free_port(), free_udp_port()
        self.settings = json.loads(json.dumps(SETTINGS))
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | more.pop("limits", {})
        self.peers: list[str] = []
        self.more = more
        self.process: Any = None
        self.config_path = Path(world.folder.name) / f"{name}.json"
        self.log_path = Path(world.folder.name) / f"{name}.log"

    def write_config(self, **more: Any) -> None:
        tree = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "peers": self.peers or [f"127.0.0.1:{self.peer_port}"],
            "rollouts": {"address": f"127.0.0.1:{self.platform.port}", "news": self.platform.news()},
            "known": self.discovery.listing(),
            "settings": self.settings,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(tree | self.more | more))
        new.replace(self.config_path)

    async def start(self, wait_s: float = 30.0) -> None:
        """Start it, and wait until it answers an empty query."""
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": self.world.folder.name,
        }
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self.world.closers.append(self.kill)
        self.world.note("relay", self.name, "started")
        end = self.world.now() + wait_s
        while self.world.now() < end:
            if self.process.returncode is not None:
                raise RuntimeError(
                    f"the relay ended with {self.process.returncode}: {self.log_path.read_text()[-2000:]}"
                )
            try:
                client = await Client.connect(self.world, self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            is_ready = await client.is_ready()
            client.close()
            if is_ready:
                self.world.note("relay", self.name, "is ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the relay did not get ready")

    def send_signal(self, number: int) -> None:
        """`run` ends in `exec`, so the process is the relay itself."""
        self.world.note("relay", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass


class Answer:
    """What a client got: served (with the value), refused, failed, or lost (the connection ended or nothing came)."""

    def __init__(self, kind: str, detail: str, value: bytes | None, sent: float, at: float) -> None:
        self.kind, self.detail, self.value, self.sent, self.at = kind, detail, value, sent, at


class Client:
    """A client's connection."""

    def __init__(self, world: World, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world, self.reader, self.writer = world, reader, writer
        self.is_welcome = False

    @classmethod
    async def connect(cls, world: World, port: int) -> "Client":
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=HIGH_LIMIT)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.write(STARTUP)
        return cls(world, reader, writer)

    def close(self) -> None:
        self.writer.transport.abort()

    async def read_message(self) -> tuple[bytes, bytes]:
        kind = await self.reader.readexactly(1)
        (length,) = struct.unpack(">I", await self.reader.readexactly(4))
        return kind, await self.reader.readexactly(length - 4)

    async def read_to_ready(self) -> list[tuple[bytes, bytes]]:
        """The messages up to ReadyForQuery, or up to a fatal error."""
        got = []
        while True:
            kind, body = await self.read_message()
            if kind == b"Z":
                return got
            got.append((kind, body))
            if kind == b"E" and b"SFATAL\0" in body:
                return got

    async def is_ready(self) -> bool:
        try:
            self.writer.write(EMPTY_QUERY)
            for _ in range(2):
                got = await asyncio.wait_for(self.read_to_ready(), 5)
            return any(kind == b"I" for kind, _ in got)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            return False

    def text(self, request: str, kind: str, wait_ms: float, is_write: bool, size: int, tenant: str) -> bytes:
        fields = f"/* id={request},c={kind},t={tenant},d={wait_ms:g} */"
        name = f"{crc32(request.encode()):012d}"
        if is_write:
            value = "9f" * max(1, size)
            return f"INSERT INTO kv (name, content) VALUES ('{name}', '\\x{value}') RETURNING content {fields}".encode()
        return f"SELECT content FROM kv WHERE name = '{name}' {fields}".encode()

    def send(
        self,
        request: str,
        kind: str,
        wait_ms: float,
        is_write: bool = False,
        size: int = 2,
        tenant: str = "caroni-univ",
    ) -> None:
        self.writer.write(message(b"Q", self.text(request, kind, wait_ms, is_write, size, tenant) + b"\0"))

    async def ask(self, request: str, kind: str, wait_ms: float, patience_s: float = 1.0, **more: Any) -> Answer:
        """Send a request and wait for its answer, `patience_s` beyond its time."""
        sent = self.world.now()
        self.world.note("client sends", request, kind, f"d={wait_ms:g}")
        try:
            self.send(request, kind, wait_ms, **more)
            answer = await asyncio.wait_for(self.answer(sent), wait_ms / 1000 + patience_s)
        except TimeoutError:
            answer = Answer("silent", "", None, sent, self.world.now())
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as problem:
            answer = Answer("closed", type(problem).__name__, None, sent, self.world.now())
        if answer.kind == "served" and answer.value != value_of(request):
            answer.detail = f"WRONG VALUE {answer.value!r}"
        self.world.note("client gets", request, answer.kind, answer.detail, f"after {answer.at - sent:.3f}")
        return answer

    async def answer(self, sent: float) -> Answer:
        if not self.is_welcome:
            got = await self.read_to_ready()
            self.is_welcome = True
            if any(kind == b"E" for kind, _ in got):
                return self.decoded(got, sent)
        return self.decoded(await self.read_to_ready(), sent)

    def decoded(self, got: list[tuple[bytes, bytes]], sent: float) -> Answer:
        for kind, body in got:
            if kind == b"E":
                code = next(field[1:].decode() for field in body.split(b"\0") if field[:1] == b"C")
                return Answer("refused" if code in ("53300", "57P03") else "failed", code, None, sent, self.world.now())
        rows = [body for kind, body in got if kind == b"D"]
        if [kind for kind, _ in got if kind != b"S"] == [b"T", b"D", b"C"]:
            return Answer("served", "", rows[0][6:], sent, self.world.now())
        return Answer("unclear", repr(got)[:200], None, sent, self.world.now())


def finish(world: World, broken: list[str], is_valid: bool = True) -> int:
    """Write what was found, close all, and return the exit code: 1 broken, 0 held, 2 could not run."""
    for line in broken:
        world.note("BROKEN", line)
        print("BROKEN", line)
    result = 2 if not is_valid and not broken else 1 if broken else 0
    world.note("result", result)
    world.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[result])
    return result


def play(day: Callable[[World], Awaitable[tuple[list[str], bool]]], folder: Path, limit_s: float = 110.0) -> int:
    """Play a day; it returns the breaks that it found, and whether it was played as planned."""

    async def whole() -> int:
        world = World(folder / "record.txt")
        playing = asyncio.ensure_future(day(world))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            broken, is_valid = await asyncio.wait_for(playing, limit_s)
        except (Exception, asyncio.CancelledError) as problem:  # whatever it is, the case could not run
            world.note("could not run:", type(problem).__name__, problem)
            print("could not run:", type(problem).__name__, problem, file=sys.stderr)
            world.close()
            return 2
        return finish(world, broken, is_valid)

    return asyncio.run(whole())
