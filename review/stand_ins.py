"""Stand-ins for the cases of this review: units, discovery, the platform and clients, and the relays as processes.

Only the standard library is used.  Everything listens on free ports of 127.0.0.1.  Clients and units speak version 3 of
PostgreSQL's protocol (simple queries), discovery HTTP/1.1 with a long poll, the platform JSON-RPC lines, all as
PROTOCOL.md describes them.  Times are seconds of the monotonic clock, counted from the start of the case.
"""

import asyncio
import json
import os
import signal
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"
START = time.monotonic()

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class CannotRun(Exception):
    """The case can't be played here."""


def now() -> float:
    return time.monotonic() - START


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.path, self.lines = path, []

    def add(self, text: str, at: float | None = None) -> None:
        self.lines.append((now() if at is None else at, text))

    def write(self) -> None:
        self.path.write_text("".join(f"{at:9.4f} {text}\n" for at, text in self.lines))


# PostgreSQL's messages


def message(kind: bytes, body: bytes = b"") -> bytes:
    return kind + struct.pack(">I", len(body) + 4) + body


def startup() -> bytes:
    body = struct.pack(">I", 3 << 16) + b"user\0backend\0database\0store\0\0"
    return struct.pack(">I", len(body) + 4) + body


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack(">I", 0)) + READY
EMPTY = message(b"I") + READY
ROW_DESCRIPTION = message(b"T", b"\0\1content\0" + bytes(6) + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")


def value_answer(value: bytes) -> bytes:
    row = message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
    return ROW_DESCRIPTION + row + message(b"C", b"SELECT 1\0") + READY


def error_answer(code: bytes, text: bytes) -> bytes:
    return message(b"E", b"SERROR\0C" + code + b"\0M" + text + b"\0\0") + READY


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)


def comment_fields(text: str) -> dict[str, str]:
    """The fields of the comment at a statement's end."""
    comment = text.rpartition("/*")[2].partition("*/")[0]
    return dict(pair.strip().split("=", 1) for pair in comment.split(","))


# units


class Unit:
    """One unit.  `begin(unit, fields)` is called once a query's last byte has come and returns what becomes of it:
    ("serve", seconds), ("reset", seconds) or ("hang", 0).  `late` is by how much a new connection comes up late."""

    def __init__(
        self, name: str, zone: str, record: Record, begin: Callable[["Unit", dict], tuple[str, float]]
    ) -> None:
        self.name, self.zone, self.record, self.begin = name, zone, record, begin
        self.late = 0.0
        self.port = 0
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (length,) = struct.unpack(">I", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            if self.late:
                await asyncio.sleep(self.late)
            writer.write(WELCOME)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    break
                text = body[:-1].decode("latin-1")
                if not text.strip():
                    writer.write(EMPTY)
                elif not await self.run(text, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, text: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers one query; returns whether the connection stays open."""
        fields = comment_fields(text)
        what, seconds = self.begin(self, fields)
        if what == "hang":
            await reader.read()  # silent until the relay ends the connection
            return False
        await asyncio.sleep(seconds)
        if what == "reset":
            self.record.add(f"unit {self.name} resets the connection under id={fields['id']}")
            writer.transport.abort()
            return False
        writer.write(value_answer(b"value of " + fields["id"].encode()))
        return True


# discovery and the platform


class Discovery:
    """Answers the whole list at once; a watch waits for its time, since nothing changes, and is answered empty."""

    def __init__(self, units: list[Unit]) -> None:
        self.units, self.port = units, 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    def tree(self, entries: list[Unit], whole: bool) -> dict:
        return {
            "generation": 41,
            "reset": whole,
            "instances": [
                {
                    "instanceId": each.name,
                    "hostPort": f"{LOOPBACK}:{each.port}",
                    "zone": each.zone,
                    "machineType": "m",
                    "cell": 0,
                    "lifecycle": "ready",
                    "weight": 1.0,
                    "startedAtMs": 0,
                    "build": 41,
                }
                for each in entries
            ],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                if "after=" in path:
                    await asyncio.sleep(int(path.rpartition("wait_ms=")[2]) / 1000)
                    body = json.dumps(self.tree([], False)).encode()
                else:
                    body = json.dumps(self.tree(self.units, True)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                    + body
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Platform:
    """Tells that build 41 is released, and gives a sign of life each second.  Nothing is on trial, so no vote comes."""

    state = {"Revision": 41, "Wave": 3, "State": "stable", "MaxShare": 1.0, "AgeMs": 600000}

    def __init__(self) -> None:
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def send(tree: dict) -> None:
            writer.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")

        async def ping() -> None:
            while not writer.is_closing():
                await asyncio.sleep(1)
                send({"method": "ping"})

        pings = asyncio.ensure_future(ping())
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "subscribe":
                    send({"id": call["id"], "result": True})
                    send({"method": "stage", "params": self.state})
                else:
                    send({"id": call["id"], "error": {"code": -32602, "message": "STALE"}})
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            pings.cancel()
            writer.close()


# clients


class ClientConnection:
    """One connection of a client to a relay, with one request at a time."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, port: int) -> None:
        """Connects and writes the startup message; its answer is read before that of the first query."""
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, port)
        self.writer.write(startup())
        self.is_new = True

    async def ask(self, text: str) -> tuple[str, bytes]:
        """Sends a query; returns ("served", value), ("refused", code), ("failed", code), ("empty", b"") or, if the
        connection ends with no whole answer, ("closed", b"")."""
        try:
            self.writer.write(message(b"Q", text.encode() + b"\0"))
            answer: tuple[str, bytes] = ("closed", b"")
            while True:
                kind, body = await read_message(self.reader)
                if kind == b"Z":
                    if not self.is_new:
                        return answer
                    self.is_new = False  # this one belonged to the startup message
                elif kind == b"D":
                    answer = "served", body[6:]
                elif kind == b"I":
                    answer = "empty", b""
                elif kind == b"E":
                    fields = {field[:1]: field[1:] for field in body.split(b"\0") if field}
                    code = fields.get(b"C", b"")
                    answer = ("refused" if code in (b"53300", b"57P03") else "failed"), code
                    if fields.get(b"S") == b"FATAL":
                        return answer
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed", b""

    def close(self) -> None:
        if self.writer:
            self.writer.close()


def select(key: str, fields: dict[str, object]) -> str:
    comment = ",".join(f"{name}={value}" for name, value in fields.items())
    return f"SELECT content FROM kv WHERE name = '{key}' /* {comment} */"


def insert(key: str, fields: dict[str, object]) -> str:
    comment = ",".join(f"{name}={value}" for name, value in fields.items())
    return f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x9f03') RETURNING content /* {comment} */"


# the relays


def free_ports(count: int) -> list[int]:
    """Ports that are free for TCP and UDP at the time of the call."""
    import socket

    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind((LOOPBACK, 0))
        held.append(tcp)
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.append(udp)
        try:
            udp.bind((LOOPBACK, port))
            ports.append(port)
        except OSError:
            continue
    for each in held:
        each.close()
    return ports


class Relay:
    """One relay: a process started with the deploy file's `run`."""

    def __init__(self, fleet: "Fleet", index: int, port: int) -> None:
        self.fleet, self.index, self.port = fleet, index, port
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        fleet = self.fleet
        name = f"n{self.index}"
        configuration = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{fleet.discovery.port}",
            "seed": f"{0x8C1F30D27A5BE964 + self.index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{LOOPBACK}:{self.port}",
            "peers": [f"{LOOPBACK}:{each.port}" for each in fleet.relays],
            "rollouts": {"address": f"{LOOPBACK}:{fleet.platform.port}", "news": Platform.state},
            "known": fleet.discovery.tree(fleet.units, True),
            "settings": fleet.settings | {"fleetSize": len(fleet.relays), "index": self.index},
        }
        path = fleet.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        environment = {each: value for each, value in os.environ.items() if not each.startswith(("EDGE_", "PYTHON"))}
        environment |= {"EDGE_CONFIG": str(path), "EDGE_NAME": name, "TMPDIR": str(fleet.folder)}
        with open(fleet.folder / f"{name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", fleet.run, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=-3
            )
        fleet.record.add(f"relay {self.index} started")
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Up to 30 s, until it answers an empty query."""
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"relay {self.index} ended with {self.process.returncode}")
            connection = ClientConnection()
            try:
                await connection.open(self.port)
                if (await asyncio.wait_for(connection.ask(""), 5))[0] == "empty":
                    return
            except (ConnectionError, TimeoutError):
                pass
            finally:
                connection.close()
            await asyncio.sleep(0.1)
        raise CannotRun(f"relay {self.index} is not ready after 30 s")

    def send(self, number: int) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.add(f"relay {self.index} is sent {signal.Signals(number).name}")

    async def wait_ended(self) -> None:
        await self.process.wait()

    async def kill(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Units, discovery, the platform and the relays of one case."""

    def __init__(self, record: Record, folder: Path, units: list[Unit], relays: int, settings: dict) -> None:
        self.record, self.folder, self.units, self.settings = record, folder, units, settings
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.discovery, self.platform = Discovery(units), Platform()
        self.relays = [Relay(self, index, port) for index, port in enumerate(free_ports(relays))]

    async def start(self) -> None:
        for each in (*self.units, self.discovery, self.platform):
            await each.listen()
        await asyncio.gather(*(each.start() for each in self.relays))

    async def end(self) -> None:
        for each in self.relays:
            await each.kill()


def play(folder: Path, case: Callable[[Record, Path], Awaitable[int]], limit: float = 110.0) -> None:
    """Plays a case, writes its record and exits with its result; 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.add(f"trouble {'on' if TROUBLE else 'off'}")

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            return await asyncio.wait_for(case(record, Path(scratch)), limit)

    try:
        result = asyncio.run(run())
    except Exception as problem:
        record.add(f"could not run: {type(problem).__name__} {problem}")
        print(f"could not run: {type(problem).__name__} {problem}", file=sys.stderr)
        result = NOT_RUN
    record.add(f"result {result}: " + ("the rule held", "the rule was broken", "the case could not run")[result])
    record.write()
    print(record.lines[-1][1])
    sys.exit(result)
