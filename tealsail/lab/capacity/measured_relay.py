"""The measured process: `tealsail serve` as it is, started, read from /proc, and ended."""

import json
import os
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from .events import PAGE_BYTES, Setup, settings

ROOT = Path(__file__).parents[3]
# The relay ends with the process that started it, whatever ends that: PR_SET_PDEATHSIG outlives exec.
FIRST = (
    "import ctypes, os, sys; ctypes.CDLL(None).prctl(1, 9); os.execv(sys.executable, [sys.executable, *sys.argv[1:]])"
)
KEPT_ERRORS = 4_000  # bytes of its log, for a message of ours


def configuration(setup: Setup, listen: str, stand_ins: dict[str, str], peers: list[str]) -> dict[str, Any]:
    """The file that EDGE_CONFIG names; `stand_ins` holds addresses by name."""
    return {
        "name": "measured",
        "listen": listen,
        "discovery": stand_ins["list"],
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 2048},
        "peer_listen": peers[setup.index],
        "peers": peers,
        "peers_all": stand_ins["everyone"],
        "rollouts": {"address": stand_ins["platform"]},
        "settings": settings(setup),
    }


class Subject(ProcessProtocol):
    """One relay in a process of its own; `ended` fires once it has ended."""

    def __init__(self, reactor: Any, path: Path) -> None:
        self.ended: Deferred[None] = Deferred()
        self.log, self.wanted, self.over = b"", b"", False
        self.found: Deferred[None] | None = None
        environment = {name: text for name, text in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {"EDGE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        serve = ["-B", "-m", "tealsail", "serve", f"--document={path}.none"]
        arguments = [sys.executable, "-c", FIRST, *serve]
        reactor.spawnProcess(self, sys.executable, arguments, environment, childFDs={0: "w", 1: "r", 2: "r"})
        self.process = self.transport.pid

    def says(self, words: bytes) -> Deferred[None]:
        """Fires once a line of its log holds these; fails if it ends before."""
        self.wanted, self.found = words, Deferred()
        if self.over:
            self.fail()
        return self.found

    def errReceived(self, data: bytes) -> None:
        self.log = (self.log + data)[-KEPT_ERRORS:]
        if self.found and self.wanted in self.log:
            found, self.found, self.log = self.found, None, b""
            found.callback(None)

    def fail(self) -> None:
        if self.found:
            found, self.found = self.found, None
            found.errback(ValueError(f"the measured relay ended: {self.log.decode(errors='replace')[-300:]}"))

    def processEnded(self, reason: Failure) -> None:
        self.over = True
        self.fail()
        self.ended.callback(None)

    def signal(self, name: str) -> None:
        try:
            self.transport.signalProcess(name)
        except ProcessExitedAlready:
            pass

    def processor_ms(self) -> float:
        """Of all its threads so far."""
        tasks = Path(f"/proc/{self.process}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1e6

    def memory_mb(self) -> float:
        """Resident, 1 MB = 10^6 bytes."""
        return int(Path(f"/proc/{self.process}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def save(path: Path, tree: dict[str, Any]) -> None:
    """In one step, so that nobody reads half of it."""
    part = path.with_suffix(".part")
    part.write_text(json.dumps(tree))
    part.replace(path)
