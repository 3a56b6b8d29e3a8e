"""What the director of a scale run and its processes of hollow relays tell each other: typed values as JSON lines."""

from typing import Any

import msgspec

from ...world.roster import Entry


class Word(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """What all have."""


class Cast(Word, tag="cast"):
    """The first to a process: its place among how many, the day, the file of its record, and its hollow relays."""

    place: int
    many: int
    scenario: dict[str, Any]
    seed: int
    port: int
    record: str
    relays: list[int]


class Begin(Word, tag="begin"):
    """The day's zero, in seconds of the run's clock."""

    zero: float


class Backend(Word, tag="backend"):
    """A backend as the director has it: a new one, or what has changed of one."""

    name: str
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


class Listed(Word, tag="listed"):
    """The endpoint list has come to this version; `entries` are the last word on what changed since the one before."""

    version: int
    entries: list[Entry]


class Rollout(Word, tag="rollout"):
    """Where the newest build stands, and since when."""

    build: int
    stage: int
    phase: str
    cap: float
    since: int


class Kill(Word, tag="kill"):
    relay: int


class Start(Word, tag="start"):
    """A relay that was killed comes up again, with what its machine knows of the list by now."""

    relay: int


class Voted(Word, tag="voted"):
    """The platform's answer to a relay's vote."""

    relay: int
    answer: str


class Close(Word, tag="close"):
    """The last arrival has been: say when all is answered."""


class Stop(Word, tag="stop"):
    """The run is over."""


class Ready(Word, tag="ready"):
    """All hollow relays of this process are up."""


class Vote(Word, tag="vote"):
    relay: int
    build: int
    stage: int
    verdict: str


class Fell(Word, tag="fell"):
    """A backend fell over under what it was sent."""

    name: str


class Wrong(Word, tag="wrong"):
    text: str


class Answered(Word, tag="answered"):
    """This process's clients have their answers."""


class Traffic(Word, tag="traffic"):
    """Datagrams of this process's relays in one second of the day."""

    second: int
    sent: int
    received: int


class RelayCost(msgspec.Struct, array_like=True, frozen=True):
    """What one hollow relay cost: processor seconds by kind of work, datagrams at its socket; `lived` in seconds."""

    relay: int
    lived: float
    cpu: dict[str, float]
    sent: int
    received: int
    bytes_out: int
    bytes_in: int
    shed: int


class Over(Word, tag="over"):
    """The last of a process.  `memory_mb` is at the end and `bare_mb` before its relays; `late` counts arrivals by how
    many tenths of a ms late they were; `heard_of` has, by other relay,
    datagrams and bytes received of it, datagrams and bytes sent to it.  `stalls`: from when to when, in tenths of a ms,
    nothing of the process ran in time, since the machine had no time for it or its loop too much to do."""

    costs: list[RelayCost]
    cpu: float
    memory_mb: float
    bare_mb: float
    late: dict[int, int]
    heard_of: dict[int, tuple[int, int, int, int]]
    stalls: list[tuple[int, int]]


Said = (
    Cast
    | Begin
    | Backend
    | Listed
    | Rollout
    | Kill
    | Start
    | Voted
    | Close
    | Stop
    | Ready
    | Vote
    | Fell
    | Wrong
    | Answered
    | Traffic
    | Over
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(Said)


def encode(word: Word) -> bytes:
    return ENCODER.encode(word) + b"\n"


def decode(line: bytes) -> Said:
    """Raises msgspec.DecodeError."""
    return DECODER.decode(line)
