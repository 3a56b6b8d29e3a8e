"""What was measured, the curves fitted through it, and the file of JSON that keeps both."""

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

import msgspec

from .fit import Curve, Sample, fit

VERSION = 1


class Column(StrEnum):
    """On what a point was measured."""

    PROCESS = "process"  # `tealsail serve` with real sockets on loopback
    FACADE = "facade"  # the decisions alone, in a process of their own


class Axis(StrEnum):
    """What grows."""

    UNITS = "units"
    RELAYS = "relays"
    TENANTS = "tenants"
    REQUESTS = "requests a second"
    MESSAGES = "messages a second"
    LIST_CHANGES = "list changes"
    WHOLE_LISTS = "whole lists"
    SETTINGS = "settings changes"


class Side(StrEnum):
    """Whom the cost is for."""

    SERVING = "serving"
    CONTROL = "control"


class Cost(StrEnum):
    """What is counted; bytes are those of the application, without headers of TCP, UDP and IP."""

    PROCESSOR = "processor ms"
    MEMORY = "memory MB"
    BYTES_IN = "bytes in"
    BYTES_OUT = "bytes out"
    DATAGRAMS_IN = "datagrams in"
    DATAGRAMS_OUT = "datagrams out"


class Name(StrEnum):
    """Of what the cost is: one event, one second, or the standing state."""

    STANDING = "standing state"
    IDLE = "idle second"
    CHANGE = "changed entry"
    WHOLE = "whole list"
    RELOAD = "settings change"
    REQUEST = "request"
    REQUESTS = "second of requests"
    ASKING = "second of requests, tracker asked"
    TRACKING = "second of a tracker's messages"
    TRACKED = "tracker's message"
    COUNTS = "second of a judge's messages"
    JUDGING = "judge's idle second"
    CHANGES = "changed entries in a row"
    WHOLES = "whole lists in a row"
    RELOADS = "settings changes in a row"


class Point(msgspec.Struct, frozen=True):
    """One measured cost at one size."""

    name: Name
    axis: Axis
    column: Column
    cost: Cost
    x: float
    value: float


class Key(NamedTuple):
    """Which slope."""

    name: Name
    axis: Axis
    column: Column
    cost: Cost


class Slope(msgspec.Struct, frozen=True):
    """All points of one cost along one axis, and the curve through them.  `cause` names the line of code behind the part
    that grows, `base` the value of the axis in measurements along the other axes (0: it does not occur there)."""

    name: Name
    axis: Axis
    column: Column
    cost: Cost
    side: Side
    base: float
    samples: list[Sample]
    curve: Curve
    cause: str = ""

    def at(self, x: float) -> tuple[float, float]:
        """The value there, never under zero, and half the width of its 95% interval."""
        value, error = self.curve.at(x)
        return max(0.0, value), error

    def more(self, x: float) -> tuple[float, float]:
        """By how much the value there exceeds that of the base."""
        value, error = self.curve.at(x)
        return value - self.curve.at(self.base)[0], error

    def measured_to(self) -> float:
        return max(sample.x for sample in self.samples)


class Machine(msgspec.Struct, frozen=True):
    """Where a run was made, and how busy the machine was."""

    cores: int
    allowed: list[int]
    model: str
    python: str
    kernel: str
    load_before: float
    load_after: float
    date: str
    commit: str
    changed: bool  # whether the tree differed from the commit


class Slopes(msgspec.Struct, frozen=True):
    """One run of the command."""

    version: int
    machine: Machine
    seconds: float
    repeats: int
    slopes: list[Slope]

    def find(self, name: Name, axis: Axis, cost: Cost, column: Column = Column.PROCESS) -> Slope | None:
        """None: not measured."""
        key = Key(name, axis, column, cost)
        return next((each for each in self.slopes if (each.name, each.axis, each.column, each.cost) == key), None)


def gather(points: Iterable[Point]) -> dict[Key, list[Sample]]:
    """Repeats of one size together, in order of size."""
    values: dict[Key, dict[float, list[float]]] = {}
    for point in points:
        key = Key(point.name, point.axis, point.column, point.cost)
        values.setdefault(key, {}).setdefault(point.x, []).append(point.value)
    return {
        key: [Sample(x, tuple(repeats)) for x, repeats in sorted(by_size.items())] for key, by_size in values.items()
    }


def through(points: Iterable[Point], sides: dict[Name, Side], bases: dict[Axis, float], causes: dict) -> list[Slope]:
    """A slope for each cost along each axis that was measured at three sizes or more."""
    return [
        Slope(
            *key,
            sides[key.name],
            bases.get(key.axis, 0.0),
            samples,
            fit(samples),
            causes.get((key.name, key.axis, key.cost), ""),
        )
        for key, samples in gather(points).items()
        if len(samples) > 2
    ]


def read(path: str | Path) -> Slopes:
    """Raises ValueError for a file that is none of this version's."""
    found = msgspec.json.decode(Path(path).read_bytes(), type=Slopes)
    if found.version != VERSION:
        raise ValueError(f"{path}: version {found.version}, not {VERSION}")
    return found


def write(path: str | Path, slopes: Slopes) -> None:
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")
