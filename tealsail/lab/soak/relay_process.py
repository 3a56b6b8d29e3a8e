"""One relay process of a soak, under limits on its memory and descriptors."""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from .stand_ins import ZONE, Discovery, Platform
from .wire import LOOPBACK, query, read_reply, startup

CHECKOUT = Path(__file__).parent.parent.parent.parent
BYTES_PER_MB = 1 << 20
READY_TIMEOUT_S = 30.0
READY_CHECK_S = 0.05
SAMPLE_INTERVAL_S = 0.02
PORTS = 10_000, 30_000  # that relays listen on
MAX_LOG_TAIL = 4000  # bytes of a log that a finding quotes

SETTINGS: dict[str, Any] = {
    "zone": 0,
    "dcs": [ZONE],
    "discovery": "pushed",
    "requestClasses": [
        {
            "name": name,
            "effect": effect,
            "aim": 1200.0,
            "deadline": deadline,
            "gain": 2.0,
            "lateValue": 0.2,
            "group": "all",
            "memorySpan": 3000.0,
            "streaming": False,
        }
        for name, effect, deadline in (
            ("read", "read_like", 2000.0),
            ("submit", "non_idempotent", 3000.0),
            ("book", "idempotency_key", 2500.0),
        )
    ],
    "tenants": [{"name": "usual", "share": 0.6, "quotaPerS": 60.0}, {"name": "other", "share": 0.4, "quotaPerS": 40.0}],
    "domain": {
        "control": "any",
        "layout": "in_place",
        "toAdvance": 1,
        "holdVotes": 0,
        "noesNeeded": 1,
        "minDwell": 1000.0,
        "stageTime": 0.0,
        "ballotTtl": 6000.0,
        "apiTimeout": 1200.0,
        "callsPerS": 120.0,
        "free": 1.0,
        "per": "all",
        "span": 2000.0,
        "guardedStages": 0,
        "oneWay": False,
        "mostShares": [0.136, 0.425, 1.0, 1.0],
        "waves": [0.08, 0.25, 0.6, 1.0],
        "repeatEvery": 2000.0,
    },
    "limits": {
        "cancel": True,
        "maxAttempts": 3,
        "parallelTries": False,
        "retryAfter": False,
        "maxRetryAfter": 1000.0,
        "mayTell": True,
        "probes": False,
        "dialTimeout": 250.0,
        "connIdle": 30000.0,
    },
    "rules": {
        "answerSlack": 20.0,
        "askWithin": 10000.0,
        "coldFrom": 0.37,
        "drainGrace": 1000.0,
        "fallMultiple": 4.0,
        "overloadFor": 1500.0,
        "warmUp": 4000.0,
    },
    "feedback": {"via": "answers", "fields": ["util"]},
}


class Limits(NamedTuple):
    """What a relay's configuration allows it."""

    memory_mb: int
    sockets: int


def free_port() -> int:
    """A port below those that connections get by themselves, free for TCP and UDP at the time of the call."""
    while True:
        address = LOOPBACK, random.randrange(*PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(address)
                udp.bind(address)
            except OSError:
                continue
            return address[1]


class Life:
    """One process of a relay, and when it was sent SIGTERM and SIGKILL, in seconds of the monotonic clock."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.stopped_at: float | None = None
        self.killed_at: float | None = None

    def is_wanted(self) -> bool:
        """Whether no signal may have ended it."""
        return self.stopped_at is None and self.killed_at is None

    def signal(self, number: int) -> None:
        """Send the process a signal, if it still runs."""
        if self.process.returncode is not None:
            return
        if number == signal.SIGKILL:
            self.killed_at = time.monotonic()
        if number == signal.SIGTERM and self.stopped_at is None:
            self.stopped_at = time.monotonic()
        self.process.send_signal(number)


class RelayProcess:
    """A relay that is started with the command of the deploy file, and killed once it is over its memory."""

    def __init__(
        self,
        index: int,
        folder: Path,
        limits: Limits,
        discovery: Discovery,
        platform: Platform,
        checkout: Path = CHECKOUT,
    ) -> None:
        self.index, self.folder, self.limits, self.checkout = index, folder, limits, checkout
        self.discovery, self.platform = discovery, platform
        self.port = free_port()
        self.peers = [self.port]
        self.settings: dict[str, Any] = SETTINGS
        self.life: Life | None = None  # of the process that runs, or ran last
        self.peak_mb = 0.0  # of all its processes
        self.started_at: list[float] = []  # its processes, in seconds of the monotonic clock
        self.findings: list[str] = []
        self.meter: asyncio.Task | None = None

    @property
    def log_path(self) -> Path:
        return self.folder / f"relay-{self.index}.log"

    async def start(self) -> None:
        """Start it, and wait until it answers; raises RuntimeError if it does not."""
        path = self.folder / f"relay-{self.index}.json"
        path.write_text(json.dumps(self.configuration()))
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "PYTHON"))}
        with open(self.log_path, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "tealsail",
                "serve",
                cwd=self.checkout,
                env=environment | {"EDGE_CONFIG": str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (self.limits.sockets, self.limits.sockets))
        self.life = Life(process)
        self.started_at.append(time.monotonic())
        self.meter = asyncio.ensure_future(self.measure(self.life))
        await self.wait_ready()

    def configuration(self) -> dict[str, Any]:
        own = f"{LOOPBACK}:{self.port}"
        return {
            "name": f"n{self.index}",
            "listen": own,
            "discovery": f"{LOOPBACK}:{self.discovery.port}",
            "seed": f"{self.port:x}",
            "limits": {"cores": 1.0} | self.limits._asdict(),
            "peer_listen": own,
            "peers": [f"{LOOPBACK}:{port}" for port in self.peers],
            "rollouts": {"address": f"{LOOPBACK}:{self.platform.port}", "news": self.platform.state},
            "known": self.discovery.tree(self.discovery.units, True),
            "settings": self.settings | {"fleetSize": len(self.peers), "index": self.index},
        }

    async def wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.life.process.returncode is not None:
                raise RuntimeError(f"relay {self.index} ended with {self.life.process.returncode}: {self.log_tail()}")
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(startup() + query(b""))
                await read_reply(reader)
                reply = await asyncio.wait_for(read_reply(reader), READY_TIMEOUT_S)
                writer.close()
                if reply.outcome == "empty":
                    return
            except (ConnectionError, TimeoutError):
                pass
            await asyncio.sleep(READY_CHECK_S)
        raise RuntimeError(f"relay {self.index} was not ready within {READY_TIMEOUT_S} s")

    async def measure(self, life: Life) -> None:
        """Follow the memory of a process until its end; report it if it ends by itself or is over its limit."""
        while life.process.returncode is None:
            memory = peak_memory_mb(life.process.pid)
            self.peak_mb = max(self.peak_mb, memory)
            if memory > self.limits.memory_mb and life.killed_at is None:
                self.findings.append(f"relay {self.index} passed its memory limit: {memory:.1f} MB")
                life.signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        if life.is_wanted():
            self.findings.append(f"relay {self.index} ended by itself: {life.process.returncode}: {self.log_tail()}")

    async def wait_ended(self) -> None:
        await self.life.process.wait()
        await self.meter

    async def kill(self) -> None:
        """Kill it and wait for its end."""
        if self.life:
            self.life.signal(signal.SIGKILL)
            await self.wait_ended()

    def log_tail(self) -> str:
        return self.log_path.read_bytes()[-MAX_LOG_TAIL:].decode(errors="replace")


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process has had, without the part of shared pages that others pay for; 0 once it is gone.

    That is the peak of its resident set less the difference of resident and proportional set as it is now.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
        peak = int(status.split("VmHWM:")[1].split()[0])
        resident, proportional = (int(rollup.split(f"\n{name}:")[1].split()[0]) for name in ("Rss", "Pss"))
    except (OSError, IndexError, ValueError):
        return 0.0
    return (peak - resident + proportional) * 1024 / BYTES_PER_MB


def proportional_memory_mb(pid: int) -> float:
    """The memory that a process has in use now, its part of shared pages alone; 0 once it is gone."""
    try:
        rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
        return int(rollup.split("\nPss:")[1].split()[0]) * 1024 / BYTES_PER_MB
    except (OSError, IndexError, ValueError):
        return 0.0


def resident_memory_mb(pid: int) -> float:
    """The memory that a process has in use now, shared pages in full; 0 once it is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() / BYTES_PER_MB
    except OSError:
        return 0.0
