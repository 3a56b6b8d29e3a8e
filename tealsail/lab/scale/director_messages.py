"""The messages between the director of a scale run and its processes of hollow relays: typed values as JSON lines."""

from typing import Any

import msgspec

from ...world.unit_list import Entry


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """A JSON array: the tag, then the fields in their order."""


class ProcessAssignment(Message, tag="cast"):
    """The first message to a process: which of how many it is, the scenario, and its hollow relays; `record` is a file
    to write."""

    index: int
    count: int
    scenario: dict[str, Any]
    seed: int
    port: int
    record: str
    relays: list[int]


class DayBegin(Message, tag="begin"):
    """The day's start, in seconds of the run's clock."""

    start: float


class BackendState(Message, tag="backend"):
    """A backend as the director has it: a new one, or one that has changed.  `started` is in tenths of a ms."""

    name: str
    identity: int
    build: int
    speed: float
    zone: str
    cell: int
    started: int
    is_hung: bool
    slowdown: float
    errors: float
    is_draining: bool
    is_dead: bool


class ListUpdate(Message, tag="listed"):
    """A new version of the endpoint list; `entries` has the last state of each unit that changed since the one
    before."""

    version: int
    entries: list[Entry]


class RolloutUpdate(Message, tag="rollout"):
    """The rollout state of the newest build; `since` is a time of the day in tenths of a ms."""

    build: int
    stage: int
    phase: str
    cap: float
    since: int


class KillRelay(Message, tag="kill"):
    """A hollow relay is killed."""

    relay: int


class StartRelay(Message, tag="start"):
    """A relay that was killed comes up again, with the endpoint list of now."""

    relay: int


class VoteAnswer(Message, tag="voted"):
    """The platform's answer to a relay's vote."""

    relay: int
    answer: str


class ArrivalsOver(Message, tag="close"):
    """The last request has arrived: report when all are answered."""


class Stop(Message, tag="stop"):
    """The run is over: send the final report and end."""


class RelaysReady(Message, tag="ready"):
    """All hollow relays of this process are up."""


class Vote(Message, tag="vote"):
    """A hollow relay's vote for the platform."""

    relay: int
    build: int
    stage: int
    verdict: str


class BackendCrashed(Message, tag="fell"):
    """A backend crashed under its load."""

    name: str


class Violation(Message, tag="wrong"):
    """What went wrong in a process, apart from the rules, in one sentence."""

    text: str


class AllAnswered(Message, tag="answered"):
    """All clients of this process have their answers."""


class Traffic(Message, tag="traffic"):
    """Datagrams that this process's relays sent and received in one second of the day."""

    second: int
    sent: int
    received: int


class RelayCost(msgspec.Struct, array_like=True, frozen=True):
    """What one hollow relay cost: processor seconds by kind of work, datagrams and bytes at its socket.

    `lived` is in seconds; `shed` counts datagrams that it dropped, since there were too many or nobody it knew had sent
    them."""

    relay: int
    lived: float
    cpu: dict[str, float]
    sent: int
    received: int
    bytes_out: int
    bytes_in: int
    shed: int


class FinalReport(Message, tag="over"):
    """The last message of a process.

    `cpu` is in seconds; `memory_mb` is the process's memory at the end and `initial_mb` that before its relays were
    built; `lateness` counts arrivals by how late they were served, in tenths of a ms.  `peer_traffic` has by other
    relay the datagrams and bytes received of it, and the datagrams and bytes sent to it.  `stalls` are the spans, in
    tenths of a ms of the day, in which nothing of the process ran in time, since the machine had no time for it or its
    event loop too much to do."""

    costs: list[RelayCost]
    cpu: float
    memory_mb: float
    initial_mb: float
    lateness: dict[int, int]
    peer_traffic: dict[int, tuple[int, int, int, int]]
    stalls: list[tuple[int, int]]


AnyMessage = (
    ProcessAssignment
    | DayBegin
    | BackendState
    | ListUpdate
    | RolloutUpdate
    | KillRelay
    | StartRelay
    | VoteAnswer
    | ArrivalsOver
    | Stop
    | RelaysReady
    | Vote
    | BackendCrashed
    | Violation
    | AllAnswered
    | Traffic
    | FinalReport
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """One line, with its end."""
    return ENCODER.encode(message) + b"\n"


def decode(line: bytes) -> AnyMessage:
    """Raises msgspec.DecodeError."""
    return DECODER.decode(line)
