"""What a trial's director and its parts tell each other: one typed value each, as JSON lines where a part has a process of
its own."""

from typing import Any, Union

import msgspec


class Word(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """What all have."""


class Cast(Word, tag="cast"):
    """The first to a process: which part it plays, as which of how many, of what day; `record` is the file to write."""

    part: str
    place: int
    many: int
    scenario: dict[str, Any]
    seed: int
    port: int
    record: str


class Begin(Word, tag="begin"):
    """The day's zero, in seconds of CLOCK_MONOTONIC."""

    zero: float


class Stand(Word, tag="stand"):
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


class Net(Word, tag="net"):
    """All that is wrong with the network (Network.plain)."""

    plain: list[Any]


class Relays(Word, tag="relays"):
    """Those that answer, and those that have been told to end and run yet."""

    ready: list[int]
    ending: list[int]


class Close(Word, tag="close"):
    """The last arrival has been: say when all is answered."""


class Stop(Word, tag="stop"):
    """The trial is over."""


class Fell(Word, tag="fell"):
    """A unit fell over under what it was sent."""

    name: str


class Wrong(Word, tag="wrong"):
    text: str


class Answered(Word, tag="answered"):
    """A part's clients have their answers."""


class Over(Word, tag="over"):
    """The last of a part: how late its arrivals were sent (tenths of a ms -> how many), which relay that was up lost an
    invocation and when, its processor time in seconds, and (relay, number) of what was sent anew since that relay ended."""

    late: dict[int, int]
    lost_alive: list[tuple[int, int]]
    cpu: float
    resent: list[tuple[int, int]] = []


Said = Union[Cast, Begin, Stand, Net, Relays, Close, Stop, Fell, Wrong, Answered, Over]
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(Said)


def encode(word: Word) -> bytes:
    return ENCODER.encode(word) + b"\n"


def decode(line: bytes) -> Said:
    """Raises msgspec.DecodeError."""
    return DECODER.decode(line)
