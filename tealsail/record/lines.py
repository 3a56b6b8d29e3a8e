"""What a record is made of: one small typed value for each line, and their one encoding.

A record is a head and then lines in the order of their times, as JSON arrays whose first item names the kind.  All
times (`at` and others) are whole tenths of a millisecond of one clock; a record's own zero is in its head.
"""

from typing import Any

import msgspec

VERSION = 1
ANSWERS = ("served", "wrong", "rejected", "forfeited", "left", "lost")  # lost: with a relay that died


class Line(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=True):
    """What all lines have."""

    at: int


class Head(Line, tag="head"):
    """First in each record.  `facts` are the settings in the module's names (tealsail/settings.py); `day` tells
    what was played, for whoever wants to play it again."""

    version: int
    source: str  # model, trial, relay or import
    name: str
    seed: int
    facts: dict[str, Any]
    day: dict[str, Any] = {}


class InvocationTaken(Line, tag="take"):
    """A relay took an invocation.  `intended`: when its client meant to send it; `first`: the number of the
    client's first try (its own, but for repeats); `give_up`: the abandon time."""

    relay: int
    number: int
    intended: int
    workload: int
    customer: int
    key: str
    give_up: int
    first: int


class ShotSent(Line, tag="shot"):
    """A relay sent one; `wait`: its time-out."""

    relay: int
    number: int
    place: int
    unit: str
    build: int
    wait: int


class ConnectionOpened(Line, tag="met"):
    """A relay made a new connection to a unit."""

    relay: int
    unit: str


class ShotEnded(Line, tag="came"):
    """A shot ended for its relay; the words are the facade's (tealsail/facade.py, Outcome)."""

    relay: int
    number: int
    place: int
    outcome: str


class InvocationEnded(Line, tag="end"):
    """The final answer, one of ANSWERS, as the relay gave it (left: its client had gone)."""

    relay: int
    number: int
    answer: str


class ShotStarted(Line, tag="ran"):
    """A unit took a shot in; `work`: tenths of a ms of one core of speed one.  It may have an effect."""

    relay: int
    number: int
    place: int
    unit: str
    work: int


class ShotAnswered(Line, tag="done"):
    """A unit gave its answer: served, wrong, error, full or reset."""

    relay: int
    number: int
    place: int
    unit: str
    outcome: str


class Unit(Line, tag="unit"):
    """A unit's life, by `event`: launched, runs, drains, dies, fell, gone, hangs, silent, mends.  `capacity`: cores
    times speed; from `cold_from` of that it warms evenly over `warm_up`."""

    unit: str
    build: int
    zone: str
    event: str
    capacity: float
    cold_from: float
    warm_up: int


class EntryReceived(Line, tag="told"):
    """A relay was told of one entry of the list; `state`: open, draining or gone."""

    relay: int
    unit: str
    build: int
    state: str
    started: int


class News(Line, tag="news"):
    """A relay was told where the newest build stands."""

    relay: int
    build: int
    stage: int
    phase: str
    cap: float


class Vote(Line, tag="vote"):
    """A relay's vote as it came in, and what the platform said: ok, moot, full, error, or nothing."""

    relay: int
    build: int
    stage: int
    verdict: str
    answer: str


class StageChanged(Line, tag="stage"):
    """The platform's truth, when it changed."""

    build: int
    stage: int
    phase: str
    cap: float


class RelayEvent(Line, tag="life"):
    """A relay's: up, down, stopped or on (its process does not run, runs again)."""

    relay: int
    event: str


class Fault(Line, tag="fault"):
    """A line of the scenario's script was carried out."""

    text: str


class Log(Line, tag="log"):
    """A line of a relay's log."""

    relay: int
    text: str


class Close(Line, tag="close"):
    """Last in a whole record: so many lines came before, and `late` is by how much its clients ran late at worst."""

    lines: int
    late: int = 0


AnyLine = (
    Head
    | InvocationTaken
    | ShotSent
    | ConnectionOpened
    | ShotEnded
    | InvocationEnded
    | ShotStarted
    | ShotAnswered
    | Unit
    | EntryReceived
    | News
    | Vote
    | StageChanged
    | RelayEvent
    | Fault
    | Log
    | Close
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyLine)


class InvalidRecord(Exception):
    """A line or a record that is not of this format, in one sentence."""


def encode(line: Line) -> bytes:
    """One line, with its end."""
    return ENCODER.encode(line) + b"\n"


def decode(text: bytes) -> AnyLine:
    """Raises Unreadable."""
    try:
        return DECODER.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise InvalidRecord(f"no line of a record: {problem}") from None
