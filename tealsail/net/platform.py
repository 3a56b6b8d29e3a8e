"""The platform, over JSON-RPC 2.0 with one object a line: states of the newest build's rollout, and votes on it."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ..choices.backoff import Backoff
from .connections import OutgoingConnection, PersistentConnection, cancel
from .counters import Counters

MAX_LINE_BYTES = 8 * 1024
SILENCE_TIMEOUT_S = 3.5  # without any message from the platform
LINE_TIMEOUT_S = 0.5  # for the rest of a line that has begun
# By the platform's state.
PHASES = {
    "canary": "on trial",
    "reverting": "going back",
    "stable": "released",
    "reverted": "withdrawn",
}
DECISIONS = {"none": "blank", "on": "go", "hold": "stay", "back": "stop"}  # by the decision module's verdict
VOTE_ERRORS = {"BUSY": "full", "STALE": "moot", "FAILED": "error", "SYNTAX": "error"}  # by the platform's message


class Unreadable(Exception):
    """A line that is not an object of the protocol."""


class PlatformState(NamedTuple):
    """The state of the newest build's rollout, and its age."""

    build: int
    stage: int
    phase: str  # a value of PHASES
    cap: float  # the largest share of traffic that the build may have, 0 to 1
    age: float  # of this state, in milliseconds


class CallResult(NamedTuple):
    """The response to a call; `state` is None if the call failed or its result holds none."""

    call: int
    state: PlatformState | None
    error: str


class Notification(NamedTuple):
    """A notification; `state` is None for a heartbeat or any method other than `stage`."""

    state: PlatformState | None


def read_state(tree: Any) -> PlatformState:
    """From decoded JSON; raises Unreadable."""
    try:
        state = PlatformState(
            int(tree["Revision"]),
            int(tree["Wave"]),
            PHASES[tree["State"]],
            float(tree["MaxShare"]),
            float(tree.get("AgeMs", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise Unreadable(f"malformed rollout state: {type(problem).__name__} {problem}") from None
    # The ranges of the fields of messages between relays; each comparison is false for NaN too.
    if not (0 <= state.build < 1 << 16 and 0 <= state.stage < 256 and 0 <= state.cap <= 1 and 0 <= state.age < 1e12):
        raise Unreadable("rollout state out of range")
    return state


def read(line: bytes) -> CallResult | Notification:
    """One line from the platform; raises Unreadable."""
    try:
        tree = json.loads(line)
    except (ValueError, RecursionError):
        raise Unreadable("not JSON") from None
    if not isinstance(tree, dict):
        raise Unreadable("not an object")
    if "method" in tree:
        return Notification(read_state(tree.get("params")) if tree["method"] == "stage" else None)
    error, result = tree.get("error"), tree.get("result")
    text = str(error.get("message", "")) if isinstance(error, dict) else str(error or "")
    if not isinstance(tree.get("id"), int):
        raise Unreadable("response without a call's id")
    return CallResult(tree["id"], read_state(result) if isinstance(result, dict) else None, text)


def encode_call(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    """A call as one line of JSON-RPC."""
    tree: dict[str, Any] = {"jsonrpc": "2.0", "id": number, "method": method}
    return json.dumps(tree | ({"params": params} if params else {}), separators=(",", ":")).encode() + b"\n"


class PlatformConnection(OutgoingConnection):
    """One connection to the platform: a subscription, then calls without waiting for the response of the one before."""

    def __init__(self, platform: "Platform") -> None:
        self.platform, self.buffer = platform, b""  # the buffer holds an unfinished line

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        try:
            for line in lines:
                if line.strip():
                    self.platform.on_message(self, read(line))
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise Unreadable("line too long")
            if self.buffer and self is self.platform.connection:
                self.platform.expect_data_within(LINE_TIMEOUT_S)
        except Unreadable as problem:
            self.platform.counters.add("platform.unreadable")
            logger.warning("platform: {}", problem)
            self.end("unreadable")

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        self.platform.counters.connection_ended("platform", self.why(reason), self.platform.address)
        self.platform.on_disconnect(self)


class Platform(PersistentConnection):
    """A subscription that is made again when it is lost, and at most one vote at a time over the same connection.

    `on_state` gets each state of the rollout.  `on_vote_answer` gets the result of each vote: ok, moot, full, error
    (not carried out) or timeout (perhaps carried out).
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        vote_wait: float,
        counters: Counters,
        on_state: Callable[[PlatformState], None],
        on_vote_answer: Callable[[str], None],
        backoff: Backoff,
    ) -> None:
        super().__init__(reactor, address, counters, backoff)
        self.vote_wait, self.on_state, self.on_vote_answer = vote_wait, on_state, on_vote_answer  # wait in seconds
        self.last_call = 0  # the id of the newest call
        self.vote_call: int | None = None  # the id of the call of the pending vote
        self.vote_connection: PlatformConnection | None = None  # the one that the pending vote was written to
        self.vote_timer: Any = None

    def new_connection(self) -> PlatformConnection:
        return PlatformConnection(self)

    def start_session(self, connection: PlatformConnection) -> None:
        self.last_call += 1
        self.counters.add("platform.subscribed")
        connection.transport.write(encode_call(self.last_call, "subscribe"))
        self.expect_data_within(SILENCE_TIMEOUT_S)

    def retire(self, connection: PlatformConnection) -> None:
        """End a replaced connection, unless it may still carry the answer to the pending vote."""
        if connection is not self.vote_connection:
            super().retire(connection)

    def on_message(self, connection: PlatformConnection, message: CallResult | Notification) -> None:
        """Take a message; from a replaced connection only the answer to the pending vote counts."""
        if isinstance(message, CallResult) and connection is self.vote_connection and message.call == self.vote_call:
            self.end_vote("ok" if message.state else VOTE_ERRORS.get(message.error, "timeout"))
        if connection is not self.connection:
            return
        self.backoff.reset()
        self.expect_data_within(SILENCE_TIMEOUT_S)
        if isinstance(message, Notification):
            self.counters.add("platform.news" if message.state else "platform.alive")
        if message.state:
            self.on_state(message.state)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Send a vote; `on_vote_answer` gets its result later, within `vote_wait` seconds."""
        self.last_call += 1
        self.counters.add("platform.votes")
        self.vote_call = self.last_call
        if not self.connection or self.connection.code:  # nothing was written, so it was not carried out
            self.reactor.callLater(0, self.end_vote, "error")
            return
        self.vote_connection = self.connection
        self.vote_timer = self.reactor.callLater(self.vote_wait, self.end_vote, "timeout")
        self.connection.transport.write(
            encode_call(
                self.last_call, "release.vote", {"Revision": build, "Wave": stage, "Decision": DECISIONS[verdict]}
            )
        )

    def end_vote(self, answer: str) -> None:
        """Report the pending vote's result, if there is a pending vote."""
        if self.vote_call is None:
            return
        connection, self.vote_call, self.vote_connection = self.vote_connection, None, None
        cancel(self.vote_timer)
        self.counters.add(f"platform.vote.{answer}")
        if connection and connection is not self.connection:
            self.retire(connection)
        self.on_vote_answer(answer)

    def on_disconnect(self, connection: PlatformConnection) -> None:
        if connection is self.vote_connection:
            self.end_vote("timeout")  # it may have been carried out
        super().on_disconnect(connection)
