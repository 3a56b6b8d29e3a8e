"""The real relays of a scale run: processes of `tealsail serve`, with clients and backends on sockets."""

import os
import re
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...net import messages, statements
from ...record.lines import ConnectionOpened, StageReceived
from ..loopback.backends import ANSWERS
from ..loopback.clients import ClientPool
from ..loopback.process_fleet import ProcessFleet
from ..loopback.trial_setup import TrialSetup
from .addresses import backend_number
from .backends import Backends, Load

CLOCK = Path(__file__).with_name("slow_clock.py")  # the program that runs a module on a slow clock
COUNTERS = re.compile(r"counters (.*)")  # in a relay's log
KB_PER_MB = 1024


class ProcessCost(msgspec.Struct, array_like=True, frozen=True):
    """What one relay's process cost in the day: processor seconds, memory in MB, and its counters' growth by name."""

    relay: int
    cpu: float
    memory_mb: float
    counts: dict[str, int]


class RealRelays(ProcessFleet):
    """Starts, stops, kills and ends relay processes as a trial does, on the run's clock."""

    clock_rate, clock_start = 1.0, 0.0  # as in `Plan`; with a rate of 1 processes have the system's clock

    def program(self, relay: int) -> list[str]:
        if self.clock_rate == 1.0:
            return ["-m", "tealsail"]
        return [str(CLOCK), repr(self.clock_rate), repr(self.clock_start), "tealsail"]

    def configuration(self, relay: int) -> dict[str, Any]:
        """Record nothing of the list that it starts with: the checker needs only the ends of backends."""
        record_line, self.setup.record_line = (
            self.setup.record_line,
            lambda line: record_line(line) if isinstance(line, StageReceived) else None,
        )
        try:
            return super().configuration(relay)
        finally:
            self.setup.record_line = record_line

    def request_counters(self) -> None:
        """Make all relays write their counters into their logs."""
        for _, process in self.running.values():
            os.kill(process.pid, signal.SIGUSR1)

    def usage(self) -> dict[int, tuple[float, float]]:
        """Processor seconds so far and memory in MB, by relay that runs."""
        ticks_per_second, found = os.sysconf("SC_CLK_TCK"), {}
        for relay, (_, process) in self.running.items():
            try:
                stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                smaps = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
            except OSError:  # it has just ended
                continue
            memory = int(smaps.split("\nPss:")[1].split()[0]) / KB_PER_MB
            found[relay] = (int(stat[11]) + int(stat[12])) / ticks_per_second, memory
        return found

    def read_counters(self, relay: int) -> list[dict[str, int]]:
        """Its counters by name, each time that it wrote them into its log, in order."""
        log = self.folder / f"relay-{relay}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        return [
            {name: int(count) for name, _, count in (pair.partition("=") for pair in found.split()) if count.isdigit()}
            for found in COUNTERS.findall(text)
        ]


class RealClients(ClientPool):
    """Clients of the real relays; those of hollow relays are in the processes of hollow relays."""

    def __init__(self, setup: TrialSetup, relays: list[int]) -> None:
        super().__init__(setup, 0, 1)
        self.relays = set(relays)

    def take_arrivals(self) -> None:
        """Send the requests that are due by now, and pass over those for hollow relays."""
        clients, now = self.clients, self.setup.now()
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay in self.relays:
                self.dispatch(arrival)
        self.schedule_arrivals()


class PendingAttempt:
    """One attempt that a backend has (`backends.Attempt`), and the connection that waits for its answer."""

    def __init__(self, connection: "BackendConnection", relay: int, number: int, index: int, backend: str) -> None:
        self.connection, self.relay, self.number, self.index, self.backend = connection, relay, number, index, backend
        self.is_over = False

    def on_answer(self, outcome: str, load: Load) -> None:
        if not self.is_over:
            self.is_over = True
            self.connection.answer(outcome, load)


class BackendConnection(Protocol):
    """One connection of a real relay to a backend; one query at a time, as the relay keeps it."""

    def __init__(self, listener: "BackendListener") -> None:
        self.listener, self.splitter = listener, messages.MessageSplitter(typed=False)
        self.backend = ""  # its name
        self.attempt: PendingAttempt | None = None

    def connectionMade(self) -> None:
        """Reset connections to a backend that does not run: it has no port of its own that could refuse them."""
        self.transport.setTcpNoDelay(True)
        self.backend = self.listener.backend_name(backend_number(self.transport.getHost().host))
        if not self.listener.backends.running(self.backend):
            return self.transport.abortConnection()
        self.listener.connections.setdefault(self.backend, {})[self] = None
        setup = self.listener.backends.setup
        setup.record_line(ConnectionOpened(setup.now(), -1, self.backend))

    def dataReceived(self, data: bytes) -> None:
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if self.splitter.typed:
                    self.handle(messages.parse_client_message(kind, body))
                else:
                    messages.parse_first_message(body)
                    self.splitter.typed = True
                    self.transport.write(messages.STARTUP_RESPONSE)
        except (messages.ProtocolError, statements.StatementError) as problem:
            self.listener.backends.setup.report_violation(f"a relay wrote what can't be read: {problem}")
            self.transport.abortConnection()

    def handle(self, message: Any) -> None:
        match message:
            case messages.Query(text) if not text.strip():
                self.transport.write(messages.EMPTY_QUERY_RESPONSE)
            case messages.Query(text):
                self.run_query(statements.read(text))
            case messages.Terminate():
                self.transport.loseConnection()

    def run_query(self, statement: statements.Statement) -> None:
        backends, number = self.listener.backends, int(statement.id)
        relay = self.listener.serving_relay(number)
        attempt = self.attempt = PendingAttempt(self, relay, number, backends.next_index(number), self.backend)
        request_class = backends.setup.class_numbers[statement.workload]
        if not backends.take(attempt, request_class, int(statement.wait * 10)):
            self.transport.abortConnection()

    def answer(self, outcome: str, load: Load) -> None:
        self.attempt = None
        if outcome == "reset":
            return self.transport.abortConnection()
        report = b""
        if load:
            text = ",".join(f"{name}={figure:.3f}" for name, figure in load.items()).encode()
            report = messages.message(b"S", b"stats\0" + text + b"\0")
        self.transport.write(ANSWERS[outcome] + report + messages.READY_FOR_QUERY)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.listener.connections.get(self.backend, {}).pop(self, None)
        attempt, self.attempt = self.attempt, None
        if attempt and not attempt.is_over:
            attempt.is_over = True
            self.listener.backends.cancel(attempt)


class BackendListener(Factory):
    """One port for all backends.

    `backend_name` gives a backend's name by its number, an empty one for an unknown number; `serving_relay` gives the
    relay that serves a request by its number, -1 for none."""

    noisy = False

    def __init__(
        self, backends: Backends, backend_name: Callable[[int], str], serving_relay: Callable[[int], int]
    ) -> None:
        self.backends, self.backend_name, self.serving_relay = backends, backend_name, serving_relay
        self.connections: dict[str, dict[BackendConnection, None]] = {}  # by backend

    def buildProtocol(self, address: Any) -> BackendConnection:
        return BackendConnection(self)

    def reset_connections(self, name: str) -> None:
        """Reset the connections to a backend whose process has ended."""
        for connection in list(self.connections.pop(name, {})):
            connection.transport.abortConnection()
