"""The relays of a trial: one process each, told by a JSON file as the platform tells them, and what is done to them."""

import json
import os
import secrets
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol, Protocol
from twisted.python.failure import Failure

from ...net import messages
from ...record.lines import Life, Log, News, Told
from ...world.day import Day, Order
from .addresses import LIST, PLATFORM
from .clock_offset import SHAPE
from .control_plane import endpoint_list, rollout_state
from .trial_setup import TrialSetup

LINGER = 0.4  # seconds after SIGTERM in which new connections still come
FORCE = 8.0  # seconds after it in which a relay has to end
LOG_MOST = 64 * 1024 * 1024  # bytes of one relay's log that are kept
HOME = Path(__file__).parents[3]  # the checkout that this program is of
LIVE = b" serving name="
TOLD_OF = (b"module: verdict", b"duties ")  # lines of a relay's log that go into the record


def toml(tree: dict[str, Any], path: str = "") -> str:
    """A document of tables and plain values, as TOML.  Keys are quoted; text has JSON's escapes, which are TOML's."""
    plain = {name: value for name, value in tree.items() if not isinstance(value, dict)}
    lines = [f"[{path}]"] * bool(path) + [f"{json.dumps(name)} = {json.dumps(value)}" for name, value in plain.items()]
    for name, value in tree.items():
        if isinstance(value, dict):
            lines.append(toml(value, f"{path}.{json.dumps(name)}" if path else json.dumps(name)))
    return "\n".join(lines) + "\n"


class RelayProcess(ProcessProtocol):
    """One relay process; its log goes to a file."""

    def __init__(self, fleet: "ProcessFleet", relay: int, log: Path) -> None:
        self.fleet, self.relay = fleet, relay
        self.log, self.written, self.rest = open(log, "ab"), 0, b""
        self.wanted = True  # False: it has been told to end
        self.ready = self.again = self.stopped = False  # it answers; it is to start anew once it has ended; SIGSTOP
        self.lived = False  # it has been told of as up
        self.duties: dict[str, list[int]] = {}  # who acts for the fleet, by its word

    def childDataReceived(self, number: int, data: bytes) -> None:
        if self.written < LOG_MOST:
            self.log.write(data)
            self.written += len(data)
        *lines, self.rest = (self.rest + data).split(b"\n")
        self.rest = self.rest[-10_000:]
        for line in lines:
            self.said(line)

    def said(self, line: bytes) -> None:
        setup = self.fleet.setup
        if LIVE in line:
            self.fleet.try_out(self)
        for mark in TOLD_OF:
            if mark in line:
                text = line[line.index(mark) :].removeprefix(b"module: ").decode(errors="replace")[:300]
                setup.record_line(Log(setup.now(), self.relay, text))
                if mark == b"duties ":
                    self.duties = {
                        name: [int(each) for each in value.split(",") if each.lstrip("-").isdigit()]
                        for name, _, value in (word.partition("=") for word in text.split()[1:])
                    }
        if b" ERROR " in line or b"module: fault" in line:
            setup.report_violation(f"relay {self.relay}: {line.decode(errors='replace')[:300]}")

    def processEnded(self, reason: Failure) -> None:
        self.log.close()
        self.ready = False
        if self.wanted:
            self.fleet.setup.report_violation(f"relay {self.relay} ended by itself: {reason.getErrorMessage()}")
        self.fleet.ended(self)


class ReadinessProbe(Protocol):
    """Asks a relay that has just begun to listen; it is ready once it answers."""

    def __init__(self, fleet: "ProcessFleet", running: RelayProcess) -> None:
        self.fleet, self.running = fleet, running

    def connectionMade(self) -> None:
        self.transport.write(messages.startup(b"backend", b"store") + messages.query(b""))

    def dataReceived(self, data: bytes) -> None:
        if messages.EMPTY in data and not self.running.ready:
            self.fleet.came_up(self.running)
            self.transport.loseConnection()


class ProcessFleet:
    """Starts, stops, kills and ends relay processes.  `changed` is called when one is ready or leaves, `gone` when
    none is left; `numbers` gives a unit's number by its name."""

    def __init__(
        self,
        setup: TrialSetup,
        day: Day,
        folder: Path,
        numbers: Callable[[str], int],
        changed: Callable[[], None],
        gone: Callable[[], None],
    ) -> None:
        self.setup, self.day, self.folder, self.numbers, self.changed, self.gone = (
            setup,
            day,
            folder,
            numbers,
            changed,
            gone,
        )
        self.running: dict[int, tuple[RelayProcess, Any]] = {}
        self.downs: dict[int, list[int]] = {}  # relay -> when it was killed
        self.over = False
        table = setup.scenario.trial
        self.beside = Path(table.beside) if table.beside else HOME
        self.others = set(range(round(table.beside_part * setup.relays)))  # relays of the other checkout
        self.moved = any(fault.kind in ("step clocks", "run clocks") for fault in day.parts.faults)

    def up(self, relay: int) -> bool:
        return relay in self.running and self.running[relay][0].ready

    def ready(self) -> list[int]:
        return [relay for relay, (running, _) in self.running.items() if running.ready]

    def ending(self) -> list[int]:
        """Those that have been told to end, in order, and run yet."""
        return [relay for relay, (running, _) in self.running.items() if not running.wanted]

    def acting(self, name: str) -> list[int]:
        """Who acts for the fleet as that, by the word of most relays."""
        words: dict[int, int] = {}
        for running, _ in self.running.values():
            for each in running.duties.get("judges" if name == "judge" else name, ())[: 1 if name == "judge" else 3]:
                words[each] = words.get(each, 0) + 1
        best = sorted((each for each in words if each >= 0), key=lambda each: (-words[each], each))
        return best[: 3 if name == "judges" else 1]

    def clock(self, relay: int) -> Path:
        return self.folder / f"relay-{relay}.clock"

    def start(self, relay: int) -> None:
        setup = self.setup
        path = self.folder / f"relay-{relay}.json"
        path.write_text(json.dumps(self.told(relay)))
        running = RelayProcess(self, relay, self.folder / f"relay-{relay}.log")
        document = []
        if setup.scenario.document:
            (self.folder / "tealsail.toml").write_text(toml(setup.scenario.document))
            document = [f"--document={self.folder / 'tealsail.toml'}"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        home = self.beside if relay in self.others else HOME
        process = setup.reactor.spawnProcess(
            running,
            sys.executable,
            [sys.executable, "-B", *self.program(relay), "serve", *document],
            environment | {"EDGE_CONFIG": str(path)},
            str(home),
            childFDs={0: "w", 1: "r", 2: "r"},
        )
        self.running[relay] = running, process

    def program(self, relay: int) -> list[str]:
        """What Python runs, before `serve`."""
        if not self.moved:
            return ["-m", "tealsail"]
        self.move_clock(relay)
        return [str(Path(__file__).with_name("clock_offset.py")), str(self.clock(relay))]

    def told(self, relay: int) -> dict[str, Any]:
        setup, addresses = self.setup, self.setup.addresses
        roster, state = self.day.roster, self.day.desk.state
        entries = roster.whole(roster.told[relay])
        now = setup.now()
        for entry in entries:
            setup.record_line(Told(now, relay, entry.name, entry.build, entry.state, entry.started))
        setup.record_line(News(now, relay, state.build, state.stage, state.phase, state.cap))
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
            "peers_all": str(addresses.everyone(relay)),
            "rollouts": {"address": str(addresses.at(PLATFORM, relay)), "news": rollout_state(setup, state)},
            "known": endpoint_list(setup, self.numbers, relay, roster.told[relay], True, entries),
            "settings": setup.scenario.relay_settings(relay),
        }

    def try_out(self, running: RelayProcess) -> None:
        if self.running.get(running.relay, (None,))[0] is running and not running.ready and not self.over:
            place, reactor = self.setup.addresses.relay(running.relay), self.setup.reactor
            connectProtocol(
                TCP4ClientEndpoint(reactor, place.host, place.port, 5.0), ReadinessProbe(self, running)
            ).addErrback(lambda _: None)
            reactor.callLater(1.0, self.try_out, running)

    def came_up(self, running: RelayProcess) -> None:
        if self.running.get(running.relay, (None,))[0] is running and running.wanted:
            running.ready = running.lived = True  # else it was killed while its first answer was on the way
            self.setup.record_line(Life(self.setup.now(), running.relay, "up"))
            self.changed()

    # what the script does
    def carry_out(self, order: Order) -> None:
        running, process = self.running.get(order.relay, (None, None))
        match order.what:
            case "down" if running:
                self.kill(order.relay)
            case "up" if not running:
                self.start(order.relay)
            case "restart" if running:
                self.restart(running, process)
            case "switch" if running:
                self.others ^= {order.relay}
                self.restart(running, process)
            case "stop" | "on" if running and running.stopped != (order.what == "stop"):
                running.stopped = order.what == "stop"
                os.kill(process.pid, signal.SIGSTOP if running.stopped else signal.SIGCONT)
                self.setup.record_line(Life(self.setup.now(), order.relay, "stopped" if running.stopped else "on"))
            case "rate":
                self.move_clock(order.relay, rate=order.amount)
            case "step":
                self.move_clock(order.relay, step=order.amount)

    def move_clock(self, relay: int, rate: float | None = None, step: float = 0.0) -> None:
        """From what its clocks show now."""
        path, now = self.clock(relay), time.monotonic()
        before = path.read_bytes()[: SHAPE.size] if path.exists() else SHAPE.pack(1.0, now, 0.0, 0.0)
        earlier, since, lead, stepped = SHAPE.unpack(before)
        lead += (now - since) * (earlier - 1)
        after = SHAPE.pack(earlier if rate is None else rate, now, lead, stepped + step)
        with open(path, "r+b" if path.exists() else "wb") as file:
            file.write(2 * after)

    def kill(self, relay: int) -> None:
        running, process = self.running.pop(relay)
        running.wanted = running.ready = False
        self.downs.setdefault(relay, []).append(self.setup.now())
        self.down(running)
        self.changed()
        process.signalProcess("KILL")

    def down(self, running: RelayProcess) -> None:
        """One that had not come up yet is not told of."""
        if running.lived:
            self.setup.record_line(Life(self.setup.now(), running.relay, "down"))

    def restart(self, running: RelayProcess, process: Any) -> None:
        """Planned: told to end, and started anew once it has."""
        if running.wanted:
            running.wanted, running.again = False, True
            self.changed()
            self.wake(running, process)
            process.signalProcess("TERM")
            self.setup.reactor.callLater(LINGER, self.unready, running)
            self.setup.reactor.callLater(FORCE, self.force, running, process)

    def wake(self, running: RelayProcess, process: Any) -> None:
        """One that is stopped can't end."""
        if running.stopped:
            running.stopped = False
            os.kill(process.pid, signal.SIGCONT)

    def unready(self, running: RelayProcess) -> None:
        """The front sends it no new connections."""
        running.ready = False
        self.changed()

    def end(self) -> None:
        """In order: SIGTERM, and SIGKILL for what does not heed it."""
        self.over = True
        for running, process in self.running.values():
            running.wanted = False
            self.wake(running, process)
            process.signalProcess("TERM")
            self.setup.reactor.callLater(FORCE, self.force, running, process)
        self.changed()
        if not self.running:
            self.gone()

    def abandon(self) -> None:
        """The director ends, perhaps early: no relay outlives it."""
        for _, process in self.running.values():
            try:
                process.signalProcess("KILL")
            except ProcessExitedAlready:
                continue

    def force(self, running: RelayProcess, process: Any) -> None:
        if not running.log.closed:
            self.setup.report_violation(f"relay {running.relay} did not end when told to")
            process.signalProcess("KILL")

    def ended(self, running: RelayProcess) -> None:
        for relay, (each, _) in list(self.running.items()):
            if each is running:
                del self.running[relay]
                if running.again and not self.over:
                    self.down(running)
                    self.changed()
                    self.start(relay)
        if self.over and not self.running:
            self.gone()

    def costs(self) -> dict[str, float]:
        """Memory and processor time of the relays that run: means and the most, in MB (what each has for itself, with
        its part of what is shared) and seconds."""
        memory, cpu = [], []
        tick = os.sysconf("SC_CLK_TCK")
        for _, process in self.running.values():
            try:
                kept = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
                memory.append(int(kept.split("\nPss:")[1].split()[0]) / 1024)
                used = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                cpu.append((int(used[11]) + int(used[12])) / tick)
            except (OSError, IndexError, ValueError):  # it has just ended
                continue
        found = {}
        for name, values in (("relay_mb", memory), ("relay_cpu", cpu)):
            if values:
                found |= {f"{name}.mean": sum(values) / len(values), f"{name}.most": max(values)}
        return found
