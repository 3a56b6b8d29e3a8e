"""Stand-ins for units, discovery and the platform of a soak."""

import asyncio
import json
import time
from typing import Any, NamedTuple

from .wire import EMPTY_ANSWER, LOOPBACK, WELCOME, comment_fields, read_message, value_answer

ZONE = "soak-dc"
BUILD = 41
ROLLOUT_STATE = {"Revision": BUILD, "Wave": 3, "State": "stable", "MaxShare": 1.0, "AgeMs": 600_000}
PING_INTERVAL_S = 1.0


class Attempt(NamedTuple):
    """A query whose last byte has come to a unit; `at` in seconds of the monotonic clock."""

    id: str
    request_class: str
    unit: str
    at: float


def value_of(request_id: str, size: int) -> bytes:
    """The value that units make for a request: `size` bytes that hold its id."""
    return (request_id + ":").encode() + b"v" * max(0, size - len(request_id) - 1)


class Unit:
    """One unit: answers each query after `latency` seconds with a value of `value_bytes`, and notes each attempt."""

    def __init__(self, name: str, attempts: list[Attempt], latency: float, value_bytes: int) -> None:
        self.name, self.attempts, self.latency, self.value_bytes = name, attempts, latency, value_bytes
        self.is_hung = False
        self.port = 0

    async def listen(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
            writer.write(WELCOME)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    return
                await self.run(body[:-1], writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, text: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one query."""
        if not text.strip():
            return writer.write(EMPTY_ANSWER)
        fields = comment_fields(text)
        self.attempts.append(Attempt(fields["id"], fields["c"], self.name, time.monotonic()))
        await asyncio.sleep(3600 if self.is_hung else self.latency)
        writer.write(value_answer(value_of(fields["id"], self.value_bytes)))


class Discovery:
    """Answers the whole list at once, and a watch at the end of its wait: nothing changes."""

    def __init__(self, units: list[Unit]) -> None:
        self.units, self.port = units, 0

    async def listen(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def tree(self, entries: list[Unit], whole: bool) -> dict[str, Any]:
        """The list in discovery's form."""
        return {
            "generation": BUILD,
            "reset": whole,
            "instances": [
                {
                    "instanceId": each.name,
                    "hostPort": f"{LOOPBACK}:{each.port}",
                    "zone": ZONE,
                    "machineType": "m2",
                    "cell": 0,
                    "lifecycle": "ready",
                    "weight": 1.0,
                    "startedAtMs": 0,
                    "build": BUILD,
                }
                for each in entries
            ],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                whole = "after=" not in path
                if not whole:
                    await asyncio.sleep(int(path.rpartition("wait_ms=")[2]) / 1000)
                body = json.dumps(self.tree(self.units if whole else [], whole)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Platform:
    """Tells the state of a build, by default that the only one is released, and gives a sign of life each second."""

    def __init__(self, state: dict[str, Any] = ROLLOUT_STATE) -> None:
        self.state = dict(state)
        self.subscribers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def listen(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pings = asyncio.ensure_future(self.ping(writer))
        try:
            while line := await reader.readline():
                call = json.loads(line)
                is_subscription = call["method"] == "subscribe"
                outcome = {"result": True} if is_subscription else {"error": {"code": -32602, "message": "STALE"}}
                self.send(writer, {"id": call["id"]} | outcome)
                if is_subscription:
                    self.send_state(writer)
                    self.subscribers.add(writer)
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.subscribers.discard(writer)
            pings.cancel()
            writer.close()

    async def ping(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            await asyncio.sleep(PING_INTERVAL_S)
            self.send(writer, {"method": "ping"})

    def send_state(self, writer: asyncio.StreamWriter) -> None:
        self.send(writer, {"method": "stage", "params": self.state})

    def send(self, writer: asyncio.StreamWriter, tree: dict[str, Any]) -> None:
        writer.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")
