"""The relays of a trial, one process each: their JSON configurations, what the script does to them, and their logs."""

import json
import os
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol, Protocol
from twisted.python.failure import Failure

from ...net import messages
from ...record.lines import EntryReceived, Log, RelayEvent, StageReceived
from ...world.day import Day, RelayCommand
from .addresses import LIST, PLATFORM
from .clock_offset import CLOCK_FILE
from .control_plane import endpoint_list, rollout_state
from .trial_setup import TrialSetup

ACCEPTING_S = 0.4  # after SIGTERM, in which clients still open new connections
END_TIMEOUT_S = 8.0  # after SIGTERM, in which a relay has to end
PROBE_TIMEOUT_S = 5.0  # for a connection that tests whether a relay answers
PROBE_INTERVAL_S = 1.0
MAX_DUTY_HOLDERS = 3  # relays that share a duty
MAX_LOG_BYTES = 64 * 1024 * 1024  # of one relay's log that are kept
MAX_PARTIAL_LINE = 10_000  # bytes of a line of the log that has not come whole
MAX_RECORDED_LINE = 300  # characters of a line of the log that go into the record
CHECKOUT = Path(__file__).parents[3]  # the checkout that this program belongs to
LISTENING = b" serving name="  # in a relay's log: from now on it accepts connections
RECORDED = (b"module: verdict", b"duties ")  # lines of a relay's log that go into the record


def toml(tree: dict[str, Any], path: str = "") -> str:
    """A document of tables and plain values, as TOML.  Keys are quoted; text has JSON's escapes, as TOML allows."""
    plain = {name: value for name, value in tree.items() if not isinstance(value, dict)}
    lines = [f"[{path}]"] * bool(path) + [f"{json.dumps(name)} = {json.dumps(value)}" for name, value in plain.items()]
    for name, value in tree.items():
        if isinstance(value, dict):
            lines.append(toml(value, f"{path}.{json.dumps(name)}" if path else json.dumps(name)))
    return "\n".join(lines) + "\n"


def read_duties(text: str) -> dict[str, list[int]]:
    """The relays by duty, from a log line such as `duties keeper=3 judges=1,2,4`."""
    fields = (field.partition("=") for field in text.split()[1:])
    return {name: [int(each) for each in value.split(",") if each.lstrip("-").isdigit()] for name, _, value in fields}


class RelayProcess(ProcessProtocol):
    """One relay process; its log goes to a file, and what matters of it into the record."""

    def __init__(self, fleet: "ProcessFleet", relay: int, log: Path) -> None:
        self.fleet, self.relay = fleet, relay
        self.log, self.written, self.buffer = open(log, "ab"), 0, b""
        self.is_wanted = True  # False once it has been told to end
        self.is_ready = self.is_stopped = False  # whether it answers; whether SIGSTOP has stopped it
        self.starts_again = False  # whether it is started anew once it has ended
        self.has_been_up = False  # whether the record says that it came up
        self.duties: dict[str, list[int]] = {}  # relays by duty, as it logged last

    def childDataReceived(self, number: int, data: bytes) -> None:
        if self.written < MAX_LOG_BYTES:
            self.log.write(data)
            self.written += len(data)
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        self.buffer = self.buffer[-MAX_PARTIAL_LINE:]
        for line in lines:
            self.read_log(line)

    def read_log(self, line: bytes) -> None:
        """Probe the relay once it listens, record what matters, and report errors."""
        if LISTENING in line:
            self.fleet.probe(self)
        for mark in RECORDED:
            if mark in line:
                self.record_log(
                    line[line.index(mark) :].removeprefix(b"module: ").decode(errors="replace")[:MAX_RECORDED_LINE]
                )
        if b" ERROR " in line or b"module: fault" in line:
            text = line.decode(errors="replace")[:MAX_RECORDED_LINE]
            self.fleet.setup.report_violation(f"relay {self.relay}: {text}")

    def record_log(self, text: str) -> None:
        setup = self.fleet.setup
        setup.record_line(Log(setup.now(), self.relay, text))
        if text.startswith("duties "):
            self.duties = read_duties(text)

    def processEnded(self, reason: Failure) -> None:
        self.log.close()
        self.is_ready = False
        if self.is_wanted:
            self.fleet.setup.report_violation(f"relay {self.relay} ended by itself: {reason.getErrorMessage()}")
        self.fleet.process_ended(self)


class ReadinessProbe(Protocol):
    """Asks a relay that has just begun to listen; it is ready once it answers."""

    def __init__(self, fleet: "ProcessFleet", running: RelayProcess) -> None:
        self.fleet, self.running = fleet, running

    def connectionMade(self) -> None:
        self.transport.write(messages.startup(b"backend", b"store") + messages.query(b""))

    def dataReceived(self, data: bytes) -> None:
        if messages.EMPTY_QUERY_RESPONSE in data and not self.running.is_ready:
            self.fleet.mark_ready(self.running)
            self.transport.loseConnection()


class ProcessFleet:
    """Starts, stops, kills and ends relay processes.

    `on_change` is called when one is ready or leaves, `on_empty` when none is left; `port_number` gives a backend's
    number by its name."""

    def __init__(
        self,
        setup: TrialSetup,
        day: Day,
        folder: Path,
        port_number: Callable[[str], int],
        on_change: Callable[[], None],
        on_empty: Callable[[], None],
    ) -> None:
        self.setup, self.day, self.folder, self.port_number = setup, day, folder, port_number
        self.on_change, self.on_empty = on_change, on_empty
        self.running: dict[int, tuple[RelayProcess, Any]] = {}
        self.killed_at: dict[int, list[int]] = {}  # by relay: when it was killed, in tenths of a ms of the day
        self.is_over = False
        table = setup.scenario.trial
        self.other_checkout = Path(table.beside) if table.beside else CHECKOUT
        self.of_other_checkout = set(range(round(table.beside_part * setup.relays)))  # relays
        self.has_clock_faults = any(fault.kind in ("step clocks", "run clocks") for fault in day.parts.faults)

    def is_up(self, relay: int) -> bool:
        return relay in self.running and self.running[relay][0].is_ready

    def ready(self) -> list[int]:
        return [relay for relay, (running, _) in self.running.items() if running.is_ready]

    def ending(self) -> list[int]:
        """Those that have been told to end, in order, and still run."""
        return [relay for relay, (running, _) in self.running.items() if not running.is_wanted]

    def duty_holders(self, name: str) -> list[int]:
        """The relays that act as the keeper (the load tracker), the judge or the judges, by the logs of most relays."""
        duty, most = ("judges", 1) if name == "judge" else (name, MAX_DUTY_HOLDERS)
        named: Counter[int] = Counter()
        for running, _ in self.running.values():
            named.update(running.duties.get(duty, [])[:most])
        best = sorted((relay for relay in named if relay >= 0), key=lambda relay: (-named[relay], relay))
        return best[: MAX_DUTY_HOLDERS if name == "judges" else 1]

    def clock_file(self, relay: int) -> Path:
        """The file with the offset of the relay's clocks (clock_offset.py)."""
        return self.folder / f"relay-{relay}.clock"

    def start(self, relay: int) -> None:
        path = self.folder / f"relay-{relay}.json"
        path.write_text(json.dumps(self.configuration(relay)))
        running = RelayProcess(self, relay, self.folder / f"relay-{relay}.log")
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        checkout = self.other_checkout if relay in self.of_other_checkout else CHECKOUT
        process = self.setup.reactor.spawnProcess(
            running,
            sys.executable,
            [sys.executable, "-B", *self.program(relay), "serve", *self.document_option()],
            environment | {"EDGE_CONFIG": str(path)},
            str(checkout),
            childFDs={0: "w", 1: "r", 2: "r"},
        )
        self.running[relay] = running, process

    def program(self, relay: int) -> list[str]:
        """What Python runs, before `serve`."""
        if not self.has_clock_faults:
            return ["-m", "tealsail"]
        self.set_clock(relay)
        return [str(Path(__file__).with_name("clock_offset.py")), str(self.clock_file(relay))]

    def document_option(self) -> list[str]:
        """The operator's document, written to a file, if the scenario has one."""
        if not self.setup.scenario.document:
            return []
        document = self.folder / "tealsail.toml"
        document.write_text(toml(self.setup.scenario.document))
        return [f"--document={document}"]

    def configuration(self, relay: int) -> dict[str, Any]:
        setup, addresses = self.setup, self.setup.addresses
        roster, state = self.day.roster, self.day.platform.state
        entries = roster.whole(roster.agent_versions[relay])
        now = setup.now()
        for entry in entries:
            setup.record_line(EntryReceived(now, relay, entry.name, entry.build, entry.state, entry.started))
        setup.record_line(StageReceived(now, relay, state.build, state.stage, state.phase, state.cap))
        own = addresses.relay(relay)
        return {
            "name": f"n{relay}",
            "listen": str(own),
            "discovery": str(addresses.at(LIST, relay)),
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": str(own),
            "peers": [
                str(addresses.peer(relay, other)) if other != relay else str(own) for other in range(setup.relays)
            ],
            "peers_all": str(addresses.broadcast(relay)),
            "rollouts": {"address": str(addresses.at(PLATFORM, relay)), "news": rollout_state(setup, state)},
            "known": endpoint_list(setup, self.port_number, relay, roster.agent_versions[relay], True, entries),
            "settings": setup.scenario.relay_settings(relay),
        }

    def probe(self, running: RelayProcess) -> None:
        """Connect to a relay that listens, every PROBE_INTERVAL_S until it answers."""
        if self.running.get(running.relay, (None,))[0] is running and not running.is_ready and not self.is_over:
            address, reactor = self.setup.addresses.relay(running.relay), self.setup.reactor
            connectProtocol(
                TCP4ClientEndpoint(reactor, address.host, address.port, PROBE_TIMEOUT_S), ReadinessProbe(self, running)
            ).addErrback(lambda _: None)
            reactor.callLater(PROBE_INTERVAL_S, self.probe, running)

    def mark_ready(self, running: RelayProcess) -> None:
        """It answers; ignored if it was killed while its first answer was on the way."""
        if self.running.get(running.relay, (None,))[0] is running and running.is_wanted:
            running.is_ready = running.has_been_up = True
            self.setup.record_line(RelayEvent(self.setup.now(), running.relay, "up"))
            self.on_change()

    # what the script does
    def execute(self, order: RelayCommand) -> None:
        running, process = self.running.get(order.relay, (None, None))
        match order.what:
            case "down" if running:
                self.kill(order.relay)
            case "up" if not running:
                self.start(order.relay)
            case "restart" if running:
                self.restart(running, process)
            case "switch" if running:
                self.of_other_checkout ^= {order.relay}
                self.restart(running, process)
            case "stop" | "on" if running and running.is_stopped != (order.what == "stop"):
                running.is_stopped = order.what == "stop"
                os.kill(process.pid, signal.SIGSTOP if running.is_stopped else signal.SIGCONT)
                self.setup.record_line(
                    RelayEvent(self.setup.now(), order.relay, "stopped" if running.is_stopped else "on")
                )
            case "rate":
                self.set_clock(order.relay, rate=order.amount)
            case "step":
                self.set_clock(order.relay, step=order.amount)

    def set_clock(self, relay: int, rate: float | None = None, step: float = 0.0) -> None:
        """Change the rate of a relay's clocks, or step its wall clock, from what they show now."""
        path, now = self.clock_file(relay), time.monotonic()
        before = path.read_bytes()[: CLOCK_FILE.size] if path.exists() else CLOCK_FILE.pack(1.0, now, 0.0, 0.0)
        earlier, since, lead, stepped = CLOCK_FILE.unpack(before)
        lead += (now - since) * (earlier - 1)
        after = CLOCK_FILE.pack(earlier if rate is None else rate, now, lead, stepped + step)
        with open(path, "r+b" if path.exists() else "wb") as file:
            file.write(2 * after)

    def kill(self, relay: int) -> None:
        running, process = self.running.pop(relay)
        running.is_wanted = running.is_ready = False
        self.killed_at.setdefault(relay, []).append(self.setup.now())
        self.record_down(running)
        self.on_change()
        process.signalProcess("KILL")

    def record_down(self, running: RelayProcess) -> None:
        """Record that a relay is down, unless it had not come up yet."""
        if running.has_been_up:
            self.setup.record_line(RelayEvent(self.setup.now(), running.relay, "down"))

    def restart(self, running: RelayProcess, process: Any) -> None:
        """A planned restart: tell the relay to end, and start it anew once it has."""
        if running.is_wanted:
            running.is_wanted, running.starts_again = False, True
            self.on_change()
            self.resume(running, process)
            process.signalProcess("TERM")
            self.setup.reactor.callLater(ACCEPTING_S, self.mark_unready, running)
            self.setup.reactor.callLater(END_TIMEOUT_S, self.kill_late, running, process)

    def resume(self, running: RelayProcess, process: Any) -> None:
        """Continue a relay that is stopped, since it could not end."""
        if running.is_stopped:
            running.is_stopped = False
            os.kill(process.pid, signal.SIGCONT)

    def mark_unready(self, running: RelayProcess) -> None:
        """From now on clients open no new connections to it."""
        running.is_ready = False
        self.on_change()

    def end(self) -> None:
        """End all relays by SIGTERM, and by SIGKILL after END_TIMEOUT_S."""
        self.is_over = True
        for running, process in self.running.values():
            running.is_wanted = False
            self.resume(running, process)
            process.signalProcess("TERM")
            self.setup.reactor.callLater(END_TIMEOUT_S, self.kill_late, running, process)
        self.on_change()
        if not self.running:
            self.on_empty()

    def kill_all(self) -> None:
        """Kill all relays, since none may outlive the coordinator, even if that ends early."""
        for _, process in self.running.values():
            try:
                process.signalProcess("KILL")
            except ProcessExitedAlready:
                continue

    def kill_late(self, running: RelayProcess, process: Any) -> None:
        """Kill a relay that has not ended in time, and report it."""
        if not running.log.closed:
            self.setup.report_violation(f"relay {running.relay} did not end when told to")
            process.signalProcess("KILL")

    def process_ended(self, running: RelayProcess) -> None:
        for relay, (each, _) in list(self.running.items()):
            if each is running:
                del self.running[relay]
                if running.starts_again and not self.is_over:
                    self.record_down(running)
                    self.on_change()
                    self.start(relay)
        if self.is_over and not self.running:
            self.on_empty()

    def costs(self) -> dict[str, float]:
        """Mean and most of the relays that run: memory (PSS, in MB) and processor time (s)."""
        memory, cpu = [], []
        ticks_per_second = os.sysconf("SC_CLK_TCK")
        for _, process in self.running.values():
            try:
                smaps = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
                memory.append(int(smaps.split("\nPss:")[1].split()[0]) / 1024)
                stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                cpu.append((int(stat[11]) + int(stat[12])) / ticks_per_second)
            except (OSError, IndexError, ValueError):  # it has just ended
                continue
        found = {}
        for name, values in (("relay_mb", memory), ("relay_cpu", cpu)):
            if values:
                found |= {f"{name}.mean": sum(values) / len(values), f"{name}.most": max(values)}
        return found
