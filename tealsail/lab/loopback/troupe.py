"""The relays of a trial: one process each, told by a JSON file as the platform tells them, and their notes."""
import json
import os
import secrets
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol, ProcessProtocol
from twisted.python.failure import Failure

from ...net import messages
from ...record.lines import Life, Log, News, Told
from .addresses import Place
from .agents import listing, standing

if TYPE_CHECKING:
    from .theatre import Theatre

LINGER = 0.4                                     # seconds after SIGTERM in which new connections still come
LOG_MOST = 64 * 1024 * 1024                      # bytes of one relay's log that are kept


def toml(tree: dict[str, Any], path: str = "") -> str:
    """A document of tables and plain values, as TOML.  Keys are quoted; text has JSON's escapes, which are TOML's."""
    plain = {name: value for name, value in tree.items() if not isinstance(value, dict)}
    lines = [f"[{path}]"] * bool(path) + [f"{json.dumps(name)} = {json.dumps(value)}" for name, value in plain.items()]
    for name, value in tree.items():
        if isinstance(value, dict):
            lines.append(toml(value, f"{path}.{json.dumps(name)}" if path else json.dumps(name)))
    return "\n".join(lines) + "\n"


class Running(ProcessProtocol):
    """One relay process; its log goes to a file."""

    def __init__(self, troupe: "Troupe", relay: int, log: Path) -> None:
        self.troupe, self.relay = troupe, relay
        self.log, self.written, self.rest = open(log, "ab"), 0, b""
        self.wanted = True                       # False: it has been told to end
        self.ready = self.again = False          # it answers; it is to start anew once it has ended

    def childDataReceived(self, number: int, data: bytes) -> None:
        if self.written < LOG_MOST:
            self.log.write(data)
            self.written += len(data)
        *lines, self.rest = (self.rest + data).split(b"\n")
        self.rest = self.rest[-10_000:]
        for line in lines:
            _, told, text = line.partition(b" module: ")
            if told and text.startswith(b"verdict"):
                theatre = self.troupe.theatre
                theatre.tell(Log(theatre.now(), self.relay, text.decode(errors="replace")[:300]))
            if b" ERROR " in line or b"module: fault" in line:
                self.troupe.theatre.wrong(f"relay {self.relay}: {line.decode(errors='replace')[:300]}")

    def processEnded(self, reason: Failure) -> None:
        self.log.close()
        self.ready = False
        if self.wanted:
            self.troupe.theatre.wrong(f"relay {self.relay} ended by itself: {reason.getErrorMessage()}")
        self.troupe.ended(self)


class Proxy(DatagramProtocol):
    """The address at which `relay` finds `other`: what arrives goes on, late or not at all, as the network has it."""
    noisy = False

    def __init__(self, notes: "Notes", relay: int, other: int) -> None:
        self.notes, self.relay, self.other = notes, relay, other

    def datagramReceived(self, data: bytes, address: Any) -> None:
        if len(data) > 256:
            self.notes.theatre.wrong(f"relay {self.relay} sent a note of {len(data)} bytes")
        targets = [self.other] if self.other >= 0 else [each for each in range(self.notes.theatre.relays)
                                                        if each != self.relay]
        for target in targets:
            self.notes.carry(self.relay, target, data)


class Notes:
    """Relays' datagrams: each pair has an address of its own on either side."""

    def __init__(self, theatre: "Theatre") -> None:
        self.theatre = theatre
        self.ports: list[Any] = []
        self.proxies: dict[tuple[int, int], Proxy] = {}

    def open(self) -> None:
        theatre = self.theatre
        for relay in range(theatre.relays):
            for other in [*range(theatre.relays), -1]:
                if other != relay:
                    proxy = self.proxies[relay, other] = Proxy(self, relay, other)
                    place = theatre.addresses.peer(relay, other) if other >= 0 else theatre.addresses.everyone(relay)
                    self.ports.append(theatre.reactor.listenUDP(place.port, proxy, place.host, 2048))

    def carry(self, sender: int, to: int, data: bytes) -> None:
        wait = self.theatre.day.network.note(self.theatre.now(), sender, to)
        if wait >= 0:
            self.theatre.reactor.callLater(wait / 10_000, self.deliver, sender, to, data)

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        place = self.theatre.addresses.relay(to)
        transport = self.proxies[to, sender].transport           # from the address at which `to` knows the sender
        if transport:
            try:
                transport.write(data, (place.host, place.port))
            except OSError:                      # nobody listens: lost, as notes may be
                pass


class Troupe:
    """Starts, kills and ends relay processes."""

    def __init__(self, theatre: "Theatre", folder: Path) -> None:
        self.theatre, self.folder = theatre, folder
        self.running: dict[int, tuple[Running, Any]] = {}
        self.all: list[Running] = []

    def up(self, relay: int) -> bool:
        return relay in self.running and self.running[relay][0].ready

    def stays(self, relay: int) -> bool:
        """Whether it has not been told to end."""
        return relay in self.running and self.running[relay][0].wanted

    def start(self, relay: int) -> None:
        theatre = self.theatre
        path = self.folder / f"relay-{relay}.json"
        path.write_text(json.dumps(self.told(relay)))
        running = Running(self, relay, self.folder / f"relay-{relay}.log")
        document = []
        if theatre.scenario.document:
            (self.folder / "tealsail.toml").write_text(toml(theatre.scenario.document))
            document = [f"--document={self.folder / 'tealsail.toml'}"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        process = theatre.reactor.spawnProcess(
            running, sys.executable, [sys.executable, "-B", "-m", "tealsail", "serve", *document],
            environment | {"EDGE_CONFIG": str(path)}, childFDs={0: "w", 1: "r", 2: "r"})
        self.running[relay] = running, process
        self.all.append(running)
        theatre.reactor.callLater(0.1, self.try_out, running)

    def told(self, relay: int) -> dict[str, Any]:
        theatre, addresses = self.theatre, self.theatre.addresses
        roster, state = theatre.day.roster, theatre.day.desk.state
        entries = roster.whole(roster.told[relay])
        now = theatre.now()
        for entry in entries:
            theatre.tell(Told(now, relay, entry.name, entry.build, entry.state, entry.started))
        theatre.tell(News(now, relay, state.build, state.stage, state.phase, state.cap))
        own = addresses.relay(relay)
        return {"name": f"n{relay}", "listen": str(own), "discovery": str(addresses.list_of(relay)),
                "seed": secrets.token_hex(8), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": str(own),
                "peers": [str(addresses.peer(relay, other)) if other != relay else str(own)
                          for other in range(theatre.relays)],
                "peers_all": str(addresses.everyone(relay)),
                "rollouts": {"address": str(addresses.platform_of(relay)), "news": standing(theatre, state)},
                "known": listing(theatre, relay, roster.told[relay], True, entries),
                "settings": theatre.scenario.relay_settings(relay)}

    def try_out(self, running: Running) -> None:
        """A relay is ready once it answers."""
        from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
        from twisted.internet.protocol import Protocol
        theatre, troupe = self.theatre, self

        class Tryer(Protocol):
            def connectionMade(self) -> None:
                self.transport.write(messages.startup(b"backend", b"store") + messages.query(b""))

            def dataReceived(self, data: bytes) -> None:
                if messages.EMPTY in data and not running.ready:
                    running.ready = True
                    theatre.tell(Life(theatre.now(), running.relay, "up"))
                    theatre.came_up()
                    self.transport.loseConnection()

        if self.running.get(running.relay, (None,))[0] is running and not running.ready and not theatre.over:
            place: Place = theatre.addresses.relay(running.relay)
            connectProtocol(TCP4ClientEndpoint(theatre.reactor, place.host, place.port, 1.0), Tryer()).addErrback(
                lambda _: None)
            theatre.reactor.callLater(0.1, troupe.try_out, running)

    def kill(self, relay: int) -> None:
        running, process = self.running.pop(relay, (None, None))
        if running:
            running.wanted = running.ready = False
            self.theatre.tell(Life(self.theatre.now(), relay, "down"))
            process.signalProcess("KILL")

    def restart(self, relay: int) -> None:
        """Planned: told to end, and started anew once it has."""
        running, process = self.running.get(relay, (None, None))
        if running and running.wanted:
            running.wanted, running.again = False, True
            process.signalProcess("TERM")
            self.theatre.reactor.callLater(LINGER, self.unready, running)
            self.theatre.reactor.callLater(8.0, self.force, running, process)

    def unready(self, running: Running) -> None:
        """The front sends it no new connections."""
        running.ready = False

    def end(self) -> None:
        """In order: SIGTERM, and SIGKILL for what does not heed it."""
        for running, process in self.running.values():
            running.wanted = False
            process.signalProcess("TERM")
            self.theatre.reactor.callLater(8.0, self.force, running, process)

    def force(self, running: Running, process: Any) -> None:
        if not running.log.closed:
            self.theatre.wrong(f"relay {running.relay} did not end when told to")
            process.signalProcess("KILL")

    def ended(self, running: Running) -> None:
        for relay, (each, _) in list(self.running.items()):
            if each is running:
                del self.running[relay]
                if running.again and not self.theatre.over:
                    self.theatre.tell(Life(self.theatre.now(), relay, "down"))
                    self.start(relay)
        if self.theatre.over and not self.running:
            self.theatre.done()
