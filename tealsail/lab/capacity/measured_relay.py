"""The measured relay: runs `tealsail serve` unchanged and reads its processor time and memory from /proc."""

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
# prctl(PR_SET_PDEATHSIG, SIGKILL), which outlives exec: the relay is killed when this process ends for any reason.
DIE_WITH_PARENT = (
    "import ctypes, os, sys; ctypes.CDLL(None).prctl(1, 9); os.execv(sys.executable, [sys.executable, *sys.argv[1:]])"
)
MAX_LOG_BYTES = 4_000  # kept of the end of the relay's log, for error messages


def configuration(setup: Setup, listen: str, stand_ins: dict[str, str], peers: list[str]) -> dict[str, Any]:
    """The content of the file that EDGE_CONFIG names.

    `stand_ins` holds the addresses of the list, the platform and all peers together; `peers` holds those of all relays.
    """
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


class MeasuredRelay(ProcessProtocol):
    """A relay in a process of its own; `ended` fires when the process has ended."""

    def __init__(self, reactor: Any, path: Path) -> None:
        self.ended: Deferred[None] = Deferred()
        self.log = b""
        self.awaited_text = b""
        self.has_ended = False
        self.text_logged: Deferred[None] | None = None
        environment = {name: text for name, text in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {"EDGE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        serve = ["-B", "-m", "tealsail", "serve", f"--document={path}.none"]
        arguments = [sys.executable, "-c", DIE_WITH_PARENT, *serve]
        reactor.spawnProcess(self, sys.executable, arguments, environment, childFDs={0: "w", 1: "r", 2: "r"})
        self.process_id = self.transport.pid

    def wait_for_log(self, text: bytes) -> Deferred[None]:
        """Fires when the log holds the text; fails with ValueError if the relay ends before."""
        self.awaited_text, self.text_logged = text, Deferred()
        if self.has_ended:
            self.fail()
        return self.text_logged

    def errReceived(self, data: bytes) -> None:
        self.log = (self.log + data)[-MAX_LOG_BYTES:]
        if self.text_logged and self.awaited_text in self.log:
            text_logged, self.text_logged, self.log = self.text_logged, None, b""
            text_logged.callback(None)

    def fail(self) -> None:
        """Fails the wait for a text in the log, if there is one."""
        if self.text_logged:
            text_logged, self.text_logged = self.text_logged, None
            text_logged.errback(ValueError(f"the measured relay ended: {self.log.decode(errors='replace')[-300:]}"))

    def processEnded(self, reason: Failure) -> None:
        self.has_ended = True
        self.fail()
        self.ended.callback(None)

    def signal(self, name: str) -> None:
        """Sends a signal, unless the process has ended."""
        try:
            self.transport.signalProcess(name)
        except ProcessExitedAlready:
            pass

    def processor_ms(self) -> float:
        """The processor time of all threads so far."""
        tasks = Path(f"/proc/{self.process_id}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1e6

    def memory_mb(self) -> float:
        """The resident memory; 1 MB = 10^6 bytes."""
        return int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def save(path: Path, tree: dict[str, Any]) -> None:
    """Writes JSON and renames the file into place, so that nobody reads half of it."""
    partial = path.with_suffix(".part")
    partial.write_text(json.dumps(tree))
    partial.replace(path)
