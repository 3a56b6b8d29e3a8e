"""Stand-ins for the control plane: discovery of the endpoint list (HTTP/1.1) and the platform (JSON-RPC lines).

Each has one listener for all relays; the address that was connected to tells which relay calls.
"""

import json
import re
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...record.lines import EntryReceived, StageReceived
from ...world.day import Day
from ...world.platform import RolloutState
from ...world.unit_list import Entry
from .addresses import calling_relay
from .trial_setup import TrialSetup

MAX_HEAD_BYTES = 16 * 1024  # of an HTTP request
MAX_LINE_BYTES = 8 * 1024  # of a JSON-RPC call
MAX_WATCH_S = 60.0
LIST_REQUEST = re.compile(rb"GET /catalog/members(?:\?after=(\d{1,12})&wait_ms=(\d{1,9}))? HTTP/1\.1\r\n")
# names on the wire, by those of the simulation
LIFECYCLES = {"open": "ready", "draining": "draining", "gone": "gone"}
PHASES = {"on trial": "canary", "going back": "reverting", "released": "stable", "withdrawn": "reverted"}
VERDICTS = {"blank": "none", "go": "on", "stay": "hold", "stop": "back"}  # of the simulation, by those on the wire
ERRORS = {"moot": "STALE", "full": "BUSY", "error": "FAILED"}
PING_INTERVAL_S = 1.0


def endpoint_list(
    setup: TrialSetup, port_number: Callable[[str], int], relay: int, version: int, whole: bool, entries: list[Entry]
) -> dict[str, Any]:
    """The list as JSON, with the addresses at which that relay reaches the backends; `port_number` gives a backend's
    number by its name."""
    return {
        "generation": version,
        "reset": whole,
        "instances": [
            {
                "instanceId": each.name,
                "hostPort": str(setup.addresses.backend(relay, port_number(each.name))),
                "zone": each.zone,
                "cell": each.cell,
                "lifecycle": LIFECYCLES[each.state],
                "weight": each.weight,
                "startedAtMs": setup.unix_ms(each.started) if each.started else 0,
                "build": each.build,
            }
            for each in entries
        ],
    }


def rollout_state(setup: TrialSetup, state: RolloutState) -> dict[str, Any]:
    """The rollout state in JSON, as the platform sends it."""
    return {
        "Revision": state.build,
        "Wave": state.stage,
        "State": PHASES[state.phase],
        "MaxShare": state.cap,
        "AgeMs": max(0, (setup.now() - state.since) // 10),
    }


class ServiceConnection(Protocol):
    """One connection of a relay to a service.

    Once it is cut off, nothing goes in or out and the relay learns nothing of it."""

    service = ""

    def __init__(self, owner: Any) -> None:
        self.owner, self.buffer, self.relay, self.is_cut_off = owner, b"", -1, False

    def connectionMade(self) -> None:
        self.relay = calling_relay(self.transport.getHost().host)
        if not 0 <= self.relay < self.owner.setup.relays:
            return self.transport.abortConnection()
        self.transport.setTcpNoDelay(True)
        self.owner.connections[self] = None
        self.is_reachable()

    def is_reachable(self) -> bool:
        """Whether the relay is not cut off from this service; once it is, the connection stays so."""
        if not self.is_cut_off and not self.owner.day.network.reaches_service(
            self.owner.setup.now(), self.relay, self.service
        ):
            self.is_cut_off = True
            self.transport.pauseProducing()
        return not self.is_cut_off

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.owner.connections.pop(self, None)


class ControlPlaneService(Factory):
    """What the two services have in common: the connections of relays."""

    noisy = False
    connection: type[ServiceConnection] = ServiceConnection

    def __init__(self, setup: TrialSetup, day: Day) -> None:
        self.setup, self.day = setup, day
        self.connections: dict[Any, None] = {}

    def buildProtocol(self, address: Any) -> Any:
        return self.connection(self)

    def reset_cut_off(self) -> None:
        """Reset connections that were cut off where the relay reaches the service again."""
        for connection in [
            connection
            for connection in self.connections
            if connection.is_cut_off
            and self.day.network.reaches_service(self.setup.now(), connection.relay, connection.service)
        ]:
            connection.transport.abortConnection()


class DiscoveryConnection(ServiceConnection):
    """One connection to discovery; one call at a time."""

    service = "list"

    def __init__(self, owner: "DiscoveryService") -> None:
        super().__init__(owner)
        self.watch_timer: Any = None  # at its end the watch is answered
        self.after = -1  # the version that the watching relay has

    def dataReceived(self, data: bytes) -> None:
        if not self.is_reachable():
            return
        self.buffer += data
        if len(self.buffer) > MAX_HEAD_BYTES:
            return self.transport.abortConnection()
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            match = LIST_REQUEST.match(head + b"\r\n")
            if not match:
                self.owner.setup.report_violation(f"a call to the list that can't be read: {head[:60]!r}")
                return self.transport.abortConnection()
            self.handle_request(match)

    def handle_request(self, match: re.Match) -> None:
        setup, roster = self.owner.setup, self.owner.day.roster
        if match[1] is None:
            return self.answer(roster.agent_versions[self.relay], True, roster.whole(roster.agent_versions[self.relay]))
        after = int(match[1])
        if after < roster.agent_versions[self.relay]:
            return self.answer_watch(after)
        wait = min(MAX_WATCH_S, int(match[2]) / 1000)
        self.after = after
        self.watch_timer = setup.reactor.callLater(wait, self.answer_watch, after)

    def answer_watch(self, after: int) -> None:
        """Answer with the changes since that version, perhaps none."""
        self.stop_watch()
        if not self.is_reachable():
            return
        roster = self.owner.day.roster
        version = roster.agent_versions[self.relay]
        last = {entry.name: entry for entry in roster.log[after:version]}
        self.answer(version, False, list(last.values()))

    def answer(self, version: int, whole: bool, entries: list[Entry]) -> None:
        setup, owner, relay = self.owner.setup, self.owner, self.relay
        for entry in entries:
            setup.record_line(EntryReceived(setup.now(), relay, entry.name, entry.build, entry.state, entry.started))
        body = json.dumps(endpoint_list(setup, owner.port_number, relay, version, whole, entries)).encode()
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )

    def stop_watch(self) -> None:
        if self.watch_timer and self.watch_timer.active():
            self.watch_timer.cancel()
        self.watch_timer = None

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.stop_watch()
        super().connectionLost(reason)


class DiscoveryService(ControlPlaneService):
    """The endpoint list, as far as each relay may know it."""

    connection = DiscoveryConnection

    def __init__(self, setup: TrialSetup, day: Day, port_number: Callable[[str], int]) -> None:
        super().__init__(setup, day)
        self.port_number = port_number

    def publish(self, relay: int, version: int) -> None:
        """Let a relay know the list up to that version from now on, and answer its watch if anything has changed."""
        now, roster = self.setup.now(), self.day.roster
        if roster.is_frozen(now, relay) or not self.day.network.reaches_service(now, relay, "list"):
            return  # it learns of the changes once its list moves again, or the cut is over
        _, entries = roster.take_changes(relay, version)
        if entries:
            for connection in [
                connection for connection in self.connections if connection.relay == relay and connection.watch_timer
            ]:
                connection.answer_watch(connection.after)


class PlatformConnection(ServiceConnection):
    """One connection to the platform."""

    service = "platform"
    is_subscribed = False

    def dataReceived(self, data: bytes) -> None:
        if not self.is_reachable():
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        if len(self.buffer) >= MAX_LINE_BYTES:
            return self.transport.abortConnection()
        for line in lines:
            try:
                call = json.loads(line)
                self.handle_call(call["id"], call["method"], call.get("params") or {})
            except (ValueError, LookupError, TypeError, AttributeError) as problem:
                self.owner.setup.report_violation(f"a call to the platform that can't be read: {problem}")
                return self.transport.abortConnection()

    def handle_call(self, number: int, method: str, params: dict[str, Any]) -> None:
        setup, day = self.owner.setup, self.owner.day
        if setup.now() < day.platform.silent_until:
            return
        if method == "subscribe":
            self.is_subscribed = True
            self.send({"id": number, "result": True})
            return self.send_state()
        if method != "release.vote":
            return self.send({"id": number, "error": {"code": -32602, "message": "SYNTAX"}})
        answer = self.owner.vote(self.relay, int(params["Revision"]), int(params["Wave"]), VERDICTS[params["Decision"]])
        if answer == "ok":
            self.send({"id": number, "result": rollout_state(setup, day.platform.state)})
        elif answer != "nothing":
            self.send({"id": number, "error": {"code": -32602, "message": ERRORS[answer]}})

    def send_state(self) -> None:
        if not self.is_reachable():
            return
        setup, state = self.owner.setup, self.owner.day.platform.state
        setup.record_line(StageReceived(setup.now(), self.relay, state.build, state.stage, state.phase, state.cap))
        self.send({"method": "stage", "params": rollout_state(setup, state)})

    def send(self, tree: dict[str, Any]) -> None:
        if self.is_reachable():
            self.transport.write(json.dumps({"jsonrpc": "2.0"} | tree).encode() + b"\n")


class PlatformService(ControlPlaneService):
    """The platform; `vote` takes (relay, build, stage, verdict) and returns its answer."""

    connection = PlatformConnection

    def __init__(self, setup: TrialSetup, day: Day, vote: Callable[[int, int, int, str], str]) -> None:
        super().__init__(setup, day)
        self.vote = vote

    def subscribers(self) -> list[PlatformConnection]:
        is_silent = self.setup.now() < self.day.platform.silent_until
        return [] if is_silent else [connection for connection in self.connections if connection.is_subscribed]

    def publish(self) -> None:
        """Send the rollout state to all who subscribed."""
        for connection in self.subscribers():
            connection.send_state()

    def ping(self) -> None:
        for connection in self.subscribers():
            connection.send({"method": "ping"})
