"""What a relay's machine offers it: the agent of the list of units (HTTP/1.1), and the platform (JSON-RPC lines)."""
import json
import re
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...record.lines import News, Told
from ...world.desk import State
from ...world.roster import Entry

if TYPE_CHECKING:
    from .theatre import Theatre

LONGEST_HEAD, LONGEST_LINE = 16 * 1024, 8 * 1024
LONGEST_WAIT = 60.0                              # seconds of a watch
ASKED = re.compile(rb"GET /catalog/members(?:\?after=(\d{1,12})&wait_ms=(\d{1,9}))? HTTP/1\.1\r\n")
STATES = {"open": "ready", "draining": "draining", "gone": "gone"}
PHASES = {"on trial": "canary", "going back": "reverting", "released": "stable", "withdrawn": "reverted"}
VERDICTS = {"blank": "none", "go": "on", "stay": "hold", "stop": "back"}
ERRORS = {"moot": "STALE", "full": "BUSY", "error": "FAILED"}
PING = 1.0                                       # seconds


def listing(theatre: "Theatre", relay: int, version: int, whole: bool, entries: list[Entry]) -> dict[str, Any]:
    """In the list's form, with the addresses at which that relay reaches the units."""
    return {"generation": version, "reset": whole, "instances": [
        {"instanceId": each.name, "hostPort": str(theatre.addresses.unit(relay, theatre.unit_number(each.name))),
         "zone": each.zone, "cell": each.cell, "lifecycle": STATES[each.state], "weight": each.weight,
         "startedAtMs": theatre.unix_ms(each.started) if each.started else 0, "build": each.build}
        for each in entries]}


def standing(theatre: "Theatre", state: State) -> dict[str, Any]:
    return {"Revision": state.build, "Wave": state.stage, "State": PHASES[state.phase], "MaxShare": state.cap,
            "AgeMs": max(0, (theatre.now() - state.since) // 10)}


class ListWire(Protocol):
    """One connection to the agent; one call at a time."""

    def __init__(self, agent: "ListAgent") -> None:
        self.agent, self.held = agent, b""
        self.waiting: Any = None                 # the end of a watch's wait

    def dataReceived(self, data: bytes) -> None:
        self.held += data
        if len(self.held) > LONGEST_HEAD:
            return self.transport.abortConnection()
        while b"\r\n\r\n" in self.held:
            head, _, self.held = self.held.partition(b"\r\n\r\n")
            match = ASKED.match(head + b"\r\n")
            if not match:
                self.agent.theatre.wrong(f"a call to the list that can't be read: {head[:60]!r}")
                return self.transport.abortConnection()
            self.asked(match)

    def asked(self, match: re.Match) -> None:
        agent, theatre = self.agent, self.agent.theatre
        if match[1] is None:
            roster = theatre.day.roster
            return self.answer(roster.told[agent.relay], True, roster.whole(roster.told[agent.relay]))
        after = int(match[1])
        if after < theatre.day.roster.told[agent.relay]:
            return self.changed(after)
        wait = min(LONGEST_WAIT, int(match[2]) / 1000)
        self.after = after
        self.waiting = theatre.reactor.callLater(wait, self.changed, after)
        agent.watching[self] = None

    def changed(self, after: int) -> None:
        """Answers a watch with what there is, perhaps nothing."""
        self.rest()
        agent, roster = self.agent, self.agent.theatre.day.roster
        version = roster.told[agent.relay]
        last = {entry.name: entry for entry in roster.log[after:version]}
        self.answer(version, False, list(last.values()))

    def answer(self, version: int, whole: bool, entries: list[Entry]) -> None:
        theatre, relay = self.agent.theatre, self.agent.relay
        for entry in entries:
            theatre.tell(Told(theatre.now(), relay, entry.name, entry.build, entry.state, entry.started))
        body = json.dumps(listing(theatre, relay, version, whole, entries)).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)

    def rest(self) -> None:
        self.agent.watching.pop(self, None)
        if self.waiting and self.waiting.active():
            self.waiting.cancel()
        self.waiting = None

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.rest()


class ListAgent(Factory):
    """The list as one relay's agent has it."""
    noisy = False

    def __init__(self, theatre: "Theatre", relay: int) -> None:
        self.theatre, self.relay = theatre, relay
        self.watching: dict[ListWire, None] = {}

    def buildProtocol(self, address: Any) -> ListWire:
        return ListWire(self)

    def news(self, version: int) -> None:
        """The agent has been sent the list up to that version."""
        _, entries = self.theatre.day.roster.news(self.relay, version)
        if entries:
            for wire in list(self.watching):
                wire.changed(wire.after)


class PlatformWire(Protocol):
    """One connection to the platform."""

    def __init__(self, desk: "PlatformAgent") -> None:
        self.desk, self.held, self.subscribed = desk, b"", False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.desk.wires[self] = None

    def dataReceived(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        if len(self.held) >= LONGEST_LINE:
            return self.transport.abortConnection()
        for line in lines:
            try:
                call = json.loads(line)
                self.called(call["id"], call["method"], call.get("params") or {})
            except (ValueError, LookupError, TypeError, AttributeError) as problem:
                self.desk.theatre.wrong(f"a call to the platform that can't be read: {problem}")
                return self.transport.abortConnection()

    def called(self, number: int, method: str, params: dict[str, Any]) -> None:
        theatre, relay = self.desk.theatre, self.desk.relay
        if theatre.now() < theatre.day.desk.silent_until:
            return
        if method == "subscribe":
            self.subscribed = True
            self.say({"id": number, "result": True})
            return self.stood()
        if method != "release.vote":
            return self.say({"id": number, "error": {"code": -32602, "message": "SYNTAX"}})
        answer = theatre.vote(relay, int(params["Revision"]), int(params["Wave"]), VERDICTS[params["Decision"]])
        if answer == "ok":
            self.say({"id": number, "result": standing(theatre, theatre.day.desk.state)})
        elif answer != "nothing":
            self.say({"id": number, "error": {"code": -32602, "message": ERRORS[answer]}})

    def stood(self) -> None:
        theatre, state = self.desk.theatre, self.desk.theatre.day.desk.state
        theatre.tell(News(theatre.now(), self.desk.relay, state.build, state.stage, state.phase, state.cap))
        self.say({"method": "stage", "params": standing(theatre, state)})

    def say(self, tree: dict[str, Any]) -> None:
        self.transport.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.desk.wires.pop(self, None)


class PlatformAgent(Factory):
    """The platform as one relay reaches it."""
    noisy = False

    def __init__(self, theatre: "Theatre", relay: int) -> None:
        self.theatre, self.relay = theatre, relay
        self.wires: dict[PlatformWire, None] = {}

    def buildProtocol(self, address: Any) -> PlatformWire:
        return PlatformWire(self)

    def heard(self) -> list[PlatformWire]:
        quiet = self.theatre.now() < self.theatre.day.desk.silent_until
        return [] if quiet else [wire for wire in self.wires if wire.subscribed]

    def news(self) -> None:
        for wire in self.heard():
            wire.stood()

    def ping(self) -> None:
        for wire in self.heard():
            wire.say({"method": "ping"})
