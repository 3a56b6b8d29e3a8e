"""The real relays of a scale run: processes of `serve` on the run's clock, their clients and backends on sockets."""

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
from ...record.lines import Met, News
from ..loopback.backends import VALUES
from ..loopback.clients import ClientPool
from ..loopback.process_fleet import ProcessFleet
from ..loopback.trial_setup import TrialSetup
from .addresses import backend_number
from .backends import Backends, Load

CLOCK = Path(__file__).with_name("slow_clock.py")
COUNTERS = re.compile(r"counters (.*)")
MB = 1024  # kilobytes


class ProcessCost(msgspec.Struct, array_like=True, frozen=True):
    """What one relay's process cost in the day: processor seconds, memory in MB, and its counters' growth."""

    relay: int
    cpu: float
    memory_mb: float
    counts: dict[str, int]


class RealRelays(ProcessFleet):
    """Starts, stops, kills and ends relay processes as a trial does, on the run's clock."""

    rate, zero = 1.0, 0.0  # of the run's clock; 1: the system's own

    def program(self, relay: int) -> list[str]:
        if self.rate == 1.0:
            return ["-m", "tealsail"]
        return [str(CLOCK), repr(self.rate), repr(self.zero), "tealsail"]

    def configuration(self, relay: int) -> dict[str, Any]:
        """What was listed before the day is not recorded: the checker needs what ended alone."""
        tell, self.setup.record_line = (
            self.setup.record_line,
            lambda line: tell(line) if isinstance(line, News) else None,
        )
        try:
            return super().configuration(relay)
        finally:
            self.setup.record_line = tell

    def count(self) -> None:
        """All write their counters into their logs."""
        for _, process in self.running.values():
            os.kill(process.pid, signal.SIGUSR1)

    def spent(self) -> dict[int, tuple[float, float]]:
        """Processor seconds and memory in MB of each that runs, so far."""
        tick, found = os.sysconf("SC_CLK_TCK"), {}
        for relay, (_, process) in self.running.items():
            try:
                used = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                kept = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
            except OSError:  # it has just ended
                continue
            memory = int(kept.split("\nPss:")[1].split()[0]) / MB
            found[relay] = (int(used[11]) + int(used[12])) / tick, memory
        return found

    def counters(self, relay: int) -> list[dict[str, int]]:
        """All that its log has of its counters, in order."""
        log = self.folder / f"relay-{relay}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        return [
            {name: int(count) for name, _, count in (pair.partition("=") for pair in found.split()) if count.isdigit()}
            for found in COUNTERS.findall(text)
        ]


class RealClients(ClientPool):
    """Clients of the real relays alone; hollow ones are served where they are."""

    def __init__(self, setup: TrialSetup, relays: list[int]) -> None:
        super().__init__(setup, 0, 1)
        self.relays = set(relays)

    def take_arrivals(self) -> None:
        clients, now = self.clients, self.setup.now()
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay in self.relays:
                self.dispatch(arrival)
        self.schedule_arrivals()


class Held:
    """One attempt in a backend's hands, and the connection that waits for it."""

    def __init__(self, wire: "BackendWire", relay: int, number: int, place: int, name: str) -> None:
        self.wire, self.relay, self.number, self.place, self.name = wire, relay, number, place, name
        self.over = False

    def answered(self, outcome: str, load: Load) -> None:
        if not self.over:
            self.over = True
            self.wire.answer(outcome, load)


class BackendWire(Protocol):
    """One connection of a real relay to a backend; one query at a time, as the relay keeps it."""

    def __init__(self, listener: "BackendListener") -> None:
        self.listener, self.splitter = listener, messages.MessageSplitter(typed=False)
        self.name = ""
        self.held: Held | None = None

    def connectionMade(self) -> None:
        """A backend that does not run resets who connects: it has no port of its own that could refuse."""
        self.transport.setTcpNoDelay(True)
        self.name = self.listener.name(backend_number(self.transport.getHost().host))
        if not self.listener.backends.running(self.name):
            return self.transport.abortConnection()
        self.listener.wires.setdefault(self.name, {})[self] = None
        setup = self.listener.backends.setup
        setup.record_line(Met(setup.now(), -1, self.name))

    def dataReceived(self, data: bytes) -> None:
        self.splitter.feed(data)
        try:
            for kind, body in self.splitter:
                if self.splitter.typed:
                    self.came(messages.parse_client_message(kind, body))
                else:
                    messages.parse_first_message(body)
                    self.splitter.typed = True
                    self.transport.write(messages.STARTUP_RESPONSE)
        except (messages.ProtocolError, statements.StatementError) as problem:
            self.listener.backends.setup.report_violation(f"a relay wrote what can't be read: {problem}")
            self.transport.abortConnection()

    def came(self, what: Any) -> None:
        match what:
            case messages.Query(text) if not text.strip():
                self.transport.write(messages.EMPTY_QUERY_RESPONSE)
            case messages.Query(text):
                self.asked(statements.read(text))
            case messages.Terminate():
                self.transport.loseConnection()

    def asked(self, statement: statements.Statement) -> None:
        backends, number = self.listener.backends, int(statement.id)
        relay = self.listener.relay_of(number)
        held = self.held = Held(self, relay, number, backends.next_place(number), self.name)
        request_class = backends.setup.class_numbers[statement.workload]
        if not backends.take(held, request_class, int(statement.wait * 10)):
            self.transport.abortConnection()

    def answer(self, outcome: str, load: Load) -> None:
        self.held = None
        if outcome == "reset":
            return self.transport.abortConnection()
        report = b""
        if load:
            text = ",".join(f"{name}={figure:.3f}" for name, figure in load.items()).encode()
            report = messages.message(b"S", b"stats\0" + text + b"\0")
        self.transport.write(VALUES[outcome] + report + messages.READY_FOR_QUERY)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.listener.wires.get(self.name, {}).pop(self, None)
        held, self.held = self.held, None
        if held and not held.over:
            held.over = True
            self.listener.backends.stop(held)


class BackendListener(Factory):
    """One port for all backends.  `name` gives a backend's by its number, `relay_of` who serves a request."""

    noisy = False

    def __init__(self, backends: Backends, name: Callable[[int], str], relay_of: Callable[[int], int]) -> None:
        self.backends, self.name, self.relay_of = backends, name, relay_of
        self.wires: dict[str, dict[BackendWire, None]] = {}  # backend -> connections to it

    def buildProtocol(self, address: Any) -> BackendWire:
        return BackendWire(self)

    def ended(self, name: str) -> None:
        """Its process has ended: its connections are reset."""
        for wire in list(self.wires.pop(name, {})):
            wire.transport.abortConnection()
