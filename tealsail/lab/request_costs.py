"""Compares what requests cost relays of several checkouts: `python -m tealsail.lab.request_costs CHECKOUT...`.

The checkouts take turns.  The relay of each serves clients that ask again at once, among units in a process of their
own.  A line for each kind of request and checkout gives requests a second, the relay's processor time, and latencies,
with their spread over the rounds.
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from .soak.relay_process import Limits, RelayProcess
from .soak.stand_ins import Attempt, Discovery, Platform, Unit
from .soak.wire import LOOPBACK, insert, query, select, startup

ROUNDS = 5
SECONDS = 4.0  # of each measurement
WARM_UP_S = 1.0
CONNECTIONS = 16
UNITS = 8
LIMITS = Limits(192, 1024)
MAX_VALUE_BYTES = 65_536  # the largest value of the protocol
DEADLINE_MS = 3000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
READY_END = b"Z\0\0\0\5I"


class Kind(NamedTuple):
    """A kind of request: what it writes (0: it reads), and the size of the value in its answer."""

    name: str
    written_bytes: int
    answer_bytes: int


KINDS = (
    Kind("usual", 0, 40),
    Kind("64 KiB written", MAX_VALUE_BYTES, 40),
    Kind("64 KiB written and answered", MAX_VALUE_BYTES, MAX_VALUE_BYTES),
)


class Cost(NamedTuple):
    """One measurement: requests a second, the relay's processor time for one, and latencies in milliseconds."""

    per_second: float
    processor_ms: float
    median_ms: float
    p99_ms: float


class AskingClient(asyncio.Protocol):
    """A client that sends its next request as soon as it has the answer to the last."""

    def __init__(self, number: int, kind: Kind) -> None:
        self.number, self.kind, self.sent = number, kind, 0
        self.latencies: list[float] = []
        self.failed = 0
        self.is_over = False
        self.received = bytearray()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.write(startup())

    def data_received(self, data: bytes) -> None:
        self.received += data
        if not self.received.endswith(READY_END):
            return
        if self.sent:
            self.latencies.append(time.monotonic() - self.sent_at)
            self.failed += self.received[:1] == b"E"
        self.received.clear()
        if not self.is_over:
            self.ask()

    def ask(self) -> None:
        self.sent += 1
        fields = f"id=c{self.number}x{self.sent},c=read,t=usual,d={DEADLINE_MS}"
        size = self.kind.written_bytes
        text = insert("k", size, fields) if size else select(f"k{self.sent}", fields)
        self.sent_at = time.monotonic()
        self.transport.write(query(text))


def processor_s(pid: int) -> float:
    """The processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def serve_units(answer_bytes: int) -> None:
    """In a process of its own: units, until the standard input ends.  Their ports are the line on standard output."""
    attempts: list[Attempt] = []
    units = [Unit(f"s-{number}", attempts, 0.0, answer_bytes) for number in range(UNITS)]
    for unit in units:
        await unit.listen()
    print(json.dumps([unit.port for unit in units]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def start_units(answer_bytes: int) -> tuple[asyncio.subprocess.Process, list[Unit]]:
    """The process of the units, and what discovery lists of them."""
    command = (sys.executable, "-B", "-m", __spec__.name, "--units", str(answer_bytes))
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
    units = []
    for number, port in enumerate(json.loads(await process.stdout.readline())):
        unit = Unit(f"s-{number}", [], 0.0, answer_bytes)
        unit.port = port
        units.append(unit)
    return process, units


async def measure(checkout: Path, kind: Kind) -> Cost:
    """Start units and a relay, and measure it; raises RuntimeError if requests fail."""
    process, units = await start_units(kind.answer_bytes)
    discovery, platform = Discovery(units), Platform()
    servers = [await discovery.listen(), await platform.listen()]
    with tempfile.TemporaryDirectory(prefix="costs-") as folder:
        relay = RelayProcess(0, Path(folder), LIMITS, discovery, platform, checkout)
        try:
            await relay.start()
            return await measure_relay(relay, kind)
        finally:
            await relay.kill()
            for server in servers:
                server.close()
            process.stdin.close()
            await process.wait()


async def measure_relay(relay: RelayProcess, kind: Kind) -> Cost:
    """Let clients ask the relay, and measure after a moment."""
    loop = asyncio.get_running_loop()
    clients = [AskingClient(number, kind) for number in range(CONNECTIONS)]
    for client in clients:
        await loop.create_connection(lambda client=client: client, LOOPBACK, relay.port)
    await asyncio.sleep(WARM_UP_S)
    for client in clients:
        client.latencies.clear()
        client.failed = 0
    begun, used = time.monotonic(), processor_s(relay.life.process.pid)
    await asyncio.sleep(SECONDS)
    used, seconds = processor_s(relay.life.process.pid) - used, time.monotonic() - begun
    latencies = sorted(latency for client in clients for latency in client.latencies)
    for client in clients:
        client.is_over = True
        client.transport.abort()
    failed = sum(client.failed for client in clients)
    if failed or not latencies:
        raise RuntimeError(f"{failed} of {len(latencies)} requests failed")
    count = len(latencies)
    return Cost(
        count / seconds,
        used / count * 1000,
        latencies[count // 2] * 1000,
        latencies[count * 99 // 100] * 1000,
    )


def line(costs: list[Cost]) -> str:
    """Means, and half of the range over the rounds."""
    columns = list(zip(*costs))
    means = [statistics.mean(column) for column in columns]
    ranges = [(max(column) - min(column)) / 2 for column in columns]
    forms = ("{:.0f} ± {:.0f} requests/s", "{:.3f} ± {:.3f} ms", "p50 {:.1f} ± {:.1f} ms", "p99 {:.1f} ± {:.1f} ms")
    return ", ".join(form.format(mean, width) for form, mean, width in zip(forms, means, ranges))


async def compare(checkouts: list[Path]) -> None:
    """Print the costs of all kinds of requests, the checkouts taking turns in each round."""
    for kind in KINDS:
        costs: dict[Path, list[Cost]] = {checkout: [] for checkout in checkouts}
        for number in range(ROUNDS):
            for checkout in checkouts if number % 2 else checkouts[::-1]:
                costs[checkout].append(await measure(checkout, kind))
        for checkout in checkouts:
            print(f"{kind.name}: {checkout.name}: {line(costs[checkout])}", flush=True)


def main() -> None:
    """Compare the checkouts on the command line."""
    if sys.argv[1] == "--units":
        asyncio.run(serve_units(int(sys.argv[2])))
    else:
        asyncio.run(compare([Path(each).resolve() for each in sys.argv[1:]]))


if __name__ == "__main__":
    main()
