"""The messages between a trial's coordinator and the members of its process group.

They are typed values, one JSON line each where a member has a process of its own.
"""

from typing import Any

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """A JSON array: the tag, then the fields in their order."""


class RoleAssignment(Message, tag="cast"):
    """The first message to a process: its role, which of how many members it is, the scenario; `record` is a file to
    write."""

    role: str
    index: int
    count: int
    scenario: dict[str, Any]
    seed: int
    port: int
    record: str


class DayBegin(Message, tag="begin"):
    """The day's start, in seconds of CLOCK_MONOTONIC."""

    start: float


class BackendState(Message, tag="stand"):
    """A backend as the coordinator has it: a new one, or one that has changed.  `started` is in tenths of a ms."""

    name: str
    number: int  # of its port
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


class NetworkState(Message, tag="net"):
    """All faults of the network (`Network.plain`)."""

    plain: list[Any]


class RelayStates(Message, tag="relays"):
    """The relays that answer, and those that have been told to end and still run."""

    ready: list[int]
    ending: list[int]


class ArrivalsOver(Message, tag="close"):
    """The last request has arrived: report when all are answered."""


class Stop(Message, tag="stop"):
    """The trial is over."""


class BackendCrashed(Message, tag="fell"):
    """A backend crashed under its load."""

    name: str


class Violation(Message, tag="wrong"):
    """What a relay did that no rule has a name for, in one sentence."""

    text: str


class AllAnswered(Message, tag="answered"):
    """All clients of a member have their answers."""


class FinalReport(Message, tag="over"):
    """The last message of a member.

    `lateness` counts arrivals by how late they were sent (tenths of a ms); `lost_while_up` is which relay lost a
    request while it was up, and when; `cpu` the processor time in seconds; `resent` the relay and number of each
    request that was sent anew since that relay ended."""

    lateness: dict[int, int]
    lost_while_up: list[tuple[int, int]]
    cpu: float
    resent: list[tuple[int, int]] = []


AnyMessage = (
    RoleAssignment
    | DayBegin
    | BackendState
    | NetworkState
    | RelayStates
    | ArrivalsOver
    | Stop
    | BackendCrashed
    | Violation
    | AllAnswered
    | FinalReport
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """One line, with its end."""
    return ENCODER.encode(message) + b"\n"


def decode(line: bytes) -> AnyMessage:
    """Raises msgspec.DecodeError."""
    return DECODER.decode(line)
