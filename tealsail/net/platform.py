"""The platform: its news of the newest build, and votes, as JSON-RPC 2.0 with one object to a line."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.pauses import Pauses
from .connections import OutgoingConnection, PersistentConnection, cancel
from .counters import Counters

LONGEST = 8 * 1024
SILENT, PART = 3.5, 0.5  # seconds with no sign of life; for the rest of a line
PHASES = {"canary": "on trial", "reverting": "going back", "stable": "released", "reverted": "withdrawn"}
VERDICTS = {"none": "blank", "on": "go", "hold": "stay", "back": "stop"}
ERRORS = {"BUSY": "full", "STALE": "moot", "FAILED": "error", "SYNTAX": "error"}


class Unreadable(Exception):
    """A line that is no object of the protocol."""


class State(NamedTuple):
    """Where the newest build stands; `age` in milliseconds."""

    build: int
    stage: int
    phase: str
    cap: float
    age: float


class Answer(NamedTuple):
    """To a call of ours; `state` is None where it failed or tells nothing."""

    call: int
    state: State | None
    error: str


class Told(NamedTuple):
    """A notification; `state` is None for a sign of life or another kind."""

    state: State | None


def read_state(tree: Any) -> State:
    try:
        state = State(
            int(tree["Revision"]),
            int(tree["Wave"]),
            PHASES[tree["State"]],
            float(tree["MaxShare"]),
            float(tree.get("AgeMs", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise Unreadable(f"no state: {type(problem).__name__} {problem}") from None
    if not (
        0 <= state.build < 1 << 16 and 0 <= state.stage < 256 and 0 <= state.cap <= 1 and 0 <= state.age < 1e12
    ):  # what notes have room for; no nan either
        raise Unreadable("no state: beyond bounds")
    return state


def read(line: bytes) -> Answer | Told:
    try:
        tree = json.loads(line)
    except (ValueError, RecursionError):
        raise Unreadable("not JSON") from None
    if not isinstance(tree, dict):
        raise Unreadable("not an object")
    if "method" in tree:
        return Told(read_state(tree.get("params")) if tree["method"] == "stage" else None)
    error, result = tree.get("error"), tree.get("result")
    text = str(error.get("message", "")) if isinstance(error, dict) else str(error or "")
    if not isinstance(tree.get("id"), int):
        raise Unreadable("an answer to nothing")
    return Answer(tree["id"], read_state(result) if isinstance(result, dict) else None, text)


def call(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    tree: dict[str, Any] = {"jsonrpc": "2.0", "id": number, "method": method}
    return json.dumps(tree | ({"params": params} if params else {}), separators=(",", ":")).encode() + b"\n"


class Caller(OutgoingConnection):
    """One connection; it subscribes first, and calls go behind each other."""

    def __init__(self, platform: "Platform") -> None:
        self.platform, self.held = platform, b""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        *lines, self.held = (self.held + data).split(b"\n")
        try:
            for line in lines:
                if line.strip():
                    self.platform.came(self, read(line))
            if len(self.held) >= LONGEST:
                raise Unreadable("a line beyond bounds")
            if self.held and self is self.platform.connection:
                self.platform.expect_data_within(PART)  # what began must end soon
        except Unreadable as problem:
            self.platform.counters.add("platform.unreadable")
            logger.warning("platform: {}", problem)
            self.end("unreadable")

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.platform.counters.ended("platform", self.why(reason), self.platform.address)
        self.platform.on_disconnect(self)


class Platform(PersistentConnection):
    """The subscription, kept up, and one vote at a time over the same connection."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        vote_wait: float,
        counters: Counters,
        tell: Callable[[State], None],
        counted: Callable[[str], None],
        pauses: Pauses,
    ) -> None:
        super().__init__(reactor, address, counters, pauses)
        self.vote_wait, self.tell, self.counted = vote_wait, tell, counted
        self.calls = 0
        self.voting: int | None = None  # the call of the vote that is out
        self.ballot: Caller | None = None  # the connection that it was written to
        self.vote_timer: Any = None

    def new_connection(self) -> Caller:
        return Caller(self)

    def start_session(self, connection: Caller) -> None:
        self.calls += 1
        self.counters.add("platform.subscribed")
        connection.transport.write(call(self.calls, "subscribe"))
        self.expect_data_within(SILENT)

    def retire(self, connection: Caller) -> None:
        """A vote that is out there may still get its answer."""
        if connection is not self.ballot:
            super().retire(connection)

    def came(self, connection: Caller, what: Answer | Told) -> None:
        if isinstance(what, Answer) and connection is self.ballot and what.call == self.voting:
            self.voted("ok" if what.state else ERRORS.get(what.error, "timeout"))
        if connection is not self.connection:  # news comes over the connection that counts
            return
        self.pauses.reset()
        self.expect_data_within(SILENT)
        if isinstance(what, Told):
            self.counters.add("platform.news" if what.state else "platform.alive")
        if what.state:
            self.tell(what.state)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.calls += 1
        self.counters.add("platform.votes")
        self.voting = self.calls
        if not self.connection or self.connection.code:  # nothing was written: it was not carried out
            self.reactor.callLater(0, self.voted, "error")
            return
        self.ballot = self.connection
        self.vote_timer = self.reactor.callLater(self.vote_wait, self.voted, "timeout")
        self.connection.transport.write(
            call(self.calls, "release.vote", {"Revision": build, "Wave": stage, "Decision": VERDICTS[verdict]})
        )

    def voted(self, answer: str) -> None:
        if self.voting is None:
            return
        connection, self.voting, self.ballot = self.ballot, None, None
        cancel(self.vote_timer)
        self.counters.add(f"platform.vote.{answer}")
        if connection and connection is not self.connection:
            self.retire(connection)
        self.counted(answer)

    def on_disconnect(self, connection: Caller) -> None:
        if connection is self.ballot:
            self.voted("timeout")  # it may have been carried out
        super().on_disconnect(connection)
