"""The lines of a record: a typed value for each kind, and their encoding.

A record is a head, lines in the order of their times, and a close.  A line is a JSON array: its tag, then the fields of
its class in their order.  All times are whole tenths of a millisecond of one clock.  They count from the record's own
zero; the head of a relay's record has its Unix time.

Fields that several lines have: `relay` is the relay's index, `number` the invocation's number, `place` the index of the
shot among those of its invocation, and `unit` the unit's name.
"""

from typing import Any

import msgspec

VERSION = 1  # of the format, written in the head
# Answers to invocations.  left: the client had gone; lost: the relay died with it.
ANSWERS = ("served", "wrong", "rejected", "forfeited", "left", "lost")


class Line(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=True):
    """The base of all lines."""

    at: int  # time of the event


class Head(Line, tag="head"):
    """The first line of each record."""

    version: int
    source: str  # model, trial, relay or import
    name: str  # of the scenario, the relay or the imported file
    seed: int
    settings: dict[str, Any]  # the settings under the decision module's names (tealsail/settings.py)
    day: dict[str, Any] = {}  # what was played, so that it can be played again


class InvocationTaken(Line, tag="take"):
    """A relay accepted an invocation from a client."""

    relay: int
    number: int
    intended: int  # time at which the client meant to send it
    workload: int  # index among the head's workloads
    customer: int  # index among the head's customers
    key: str
    deadline: int  # time at which the client abandons it
    first: int  # number of the client's first try: `number` itself unless this is a repeat; -1: not known


class ShotSent(Line, tag="shot"):
    """A relay sent a shot to a unit."""

    relay: int
    number: int
    place: int
    unit: str
    build: int
    wait: int  # time-out of the shot


class ConnectionOpened(Line, tag="met"):
    """A relay opened a connection to a unit."""

    relay: int
    unit: str


class ShotEnded(Line, tag="came"):
    """A shot ended for its relay; `outcome` is as in `Outcome` of tealsail/facade.py."""

    relay: int
    number: int
    place: int
    outcome: str


class InvocationEnded(Line, tag="end"):
    """A relay gave the final answer to an invocation."""

    relay: int
    number: int
    answer: str  # one of ANSWERS


class ShotStarted(Line, tag="ran"):
    """A unit took a shot in, which may have an effect from then on."""

    relay: int
    number: int
    place: int
    unit: str
    work: int  # tenths of a millisecond on one core of speed 1


class ShotAnswered(Line, tag="done"):
    """A unit answered a shot."""

    relay: int
    number: int
    place: int
    unit: str
    outcome: str  # served, wrong, error, full or reset


class UnitEvent(Line, tag="unit"):
    """A unit changed its state."""

    unit: str
    build: int
    zone: str
    event: str  # launched, runs, drains, dies, fell, gone, hangs, silent or mends
    capacity: float  # cores times speed
    cold_from: float  # share of the capacity that a cold unit starts with; it grows linearly
    warm_up: int  # time until it has its whole capacity


class EntryReceived(Line, tag="told"):
    """A relay received one entry of the list of units."""

    relay: int
    unit: str
    build: int
    state: str  # open, draining or gone
    started: int  # time of the unit's start; 0: long ago


class StageReceived(Line, tag="news"):
    """A relay received the rollout stage of the newest build."""

    relay: int
    build: int
    stage: int
    phase: str
    cap: float


class Vote(Line, tag="vote"):
    """A relay's vote arrived at the platform."""

    relay: int
    build: int
    stage: int
    verdict: str
    answer: str  # the platform's: ok, moot, full, error or nothing


class StageChanged(Line, tag="stage"):
    """The platform changed the rollout stage of the newest build."""

    build: int
    stage: int
    phase: str
    cap: float


class RelayEvent(Line, tag="life"):
    """A relay changed its state."""

    relay: int
    event: str  # up, down, stopped (its process does not run) or on (it runs again)


class FaultInjected(Line, tag="fault"):
    """A line of the scenario's script of faults was carried out."""

    text: str


class Log(Line, tag="log"):
    """A relay wrote a line to its log."""

    relay: int
    text: str


class RecordEnd(Line, tag="close"):
    """The last line of a complete record."""

    lines: int  # number of lines before this one
    late: int = 0  # how late the clients of a trial sent: the 99th percentile


AnyLine = (
    Head
    | InvocationTaken
    | ShotSent
    | ConnectionOpened
    | ShotEnded
    | InvocationEnded
    | ShotStarted
    | ShotAnswered
    | UnitEvent
    | EntryReceived
    | StageReceived
    | Vote
    | StageChanged
    | RelayEvent
    | FaultInjected
    | Log
    | RecordEnd
)
ENCODER, DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyLine)


class InvalidRecord(Exception):
    """A line or file that is not of this format; the text is one sentence."""


def encode(line: Line) -> bytes:
    """Encodes a line as JSON, with a line feed at its end."""
    return ENCODER.encode(line) + b"\n"


def decode(text: bytes) -> AnyLine:
    """Decodes a line.  Raises InvalidRecord."""
    try:
        return DECODER.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise InvalidRecord(f"not a line of a record: {problem}") from None
