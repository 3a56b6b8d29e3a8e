"""What a trial's director and its parts tell each other: one typed value each, as JSON lines where a part has a process of
its own."""

from typing import Any

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """What all have."""


class RoleAssignment(Message, tag="cast"):
    """The first to a process: which part it plays, as which of how many, of what day; `record` is the file to write."""

    part: str
    place: int
    many: int
    scenario: dict[str, Any]
    seed: int
    port: int
    record: str


class DayBegin(Message, tag="begin"):
    """The day's zero, in seconds of CLOCK_MONOTONIC."""

    zero: float


class BackendState(Message, tag="stand"):
    """A unit as the director has it: a new one, or what has changed of one."""

    name: str
    number: int  # of its port
    mark: int
    build: int
    speed: float
    zone: str
    cell: int
    started: int
    hung: bool
    slow: float
    errors: float
    draining: bool
    dead: bool


class NetworkState(Message, tag="net"):
    """All that is wrong with the network (Network.plain)."""

    plain: list[Any]


class RelayStates(Message, tag="relays"):
    """Those that answer, and those that have been told to end and run yet."""

    ready: list[int]
    ending: list[int]


class ArrivalsOver(Message, tag="close"):
    """The last arrival has been: say when all is answered."""


class Stop(Message, tag="stop"):
    """The trial is over."""


class BackendCrashed(Message, tag="fell"):
    """A unit fell over under what it was sent."""

    name: str


class Violation(Message, tag="wrong"):
    text: str


class AllAnswered(Message, tag="answered"):
    """A part's clients have their answers."""


class FinalReport(Message, tag="over"):
    """The last of a part: how late its arrivals were sent (tenths of a ms -> how many), which relay that was up lost an
    invocation and when, its processor time in seconds, and (relay, number) of what was sent anew since that relay ended."""

    late: dict[int, int]
    lost_alive: list[tuple[int, int]]
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
    return ENCODER.encode(message) + b"\n"


def decode(line: bytes) -> AnyMessage:
    """Raises msgspec.DecodeError."""
    return DECODER.decode(line)
