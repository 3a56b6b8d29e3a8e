"""What was measured, the curves fitted through it, and the file of JSON that keeps both."""

from collections.abc import Iterable
from math import hypot
from pathlib import Path
from typing import NamedTuple

import msgspec

from .fit import Curve, Sample, fit
from .points import Axis, Column, Cost, Name, Point, Side

VERSION = 1
TWO_ERRORS = 2.0  # standard errors that stand for a 95% interval where there is no fit


class Key(NamedTuple):
    """Which slope."""

    name: Name
    axis: Axis
    column: Column
    cost: Cost
    side: Side


class Slope(msgspec.Struct, frozen=True):
    """All points of one cost along one axis, and the curve through them.

    `cause` names the line of code behind the part that grows; `base` is the value of the axis in measurements along the
    other axes, 0 where it does not occur there.
    """

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
        if x > self.measured_to() and not self.curve.straight:
            return self.beyond(x)
        value, error = self.curve.at(x)
        return max(0.0, value), error

    def beyond(self, x: float) -> tuple[float, float]:
        """Past the last point of what is no line: on as between the last two points, whose scatter is the error."""
        before, last = self.samples[-2:]
        steps = (x - last.x) / (last.x - before.x)
        largest = abs(last.mean())
        error = hypot((1 + steps) * last.error(largest), steps * before.error(largest))
        return max(0.0, last.mean() + steps * (last.mean() - before.mean())), TWO_ERRORS * error

    def more(self, x: float) -> tuple[float, float]:
        """By how much the value there exceeds that of the base."""
        value, error = self.at(x)
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
    problems: list[str] = []  # measurements that gave no point
    disturbed: list[str] = []  # points that were kept though the machine's host took much of their time

    def find(
        self, name: Name, axis: Axis, cost: Cost, column: Column = Column.PROCESS, side: Side | None = None
    ) -> Slope | None:
        """The slope, of any side if none is given; None: not measured."""
        for each in self.slopes:
            same = (each.name, each.axis, each.cost, each.column) == (name, axis, cost, column)
            if same and side in (None, each.side):
                return each
        return None


def gather(points: Iterable[Point]) -> dict[Key, list[Sample]]:
    """Repeats of one size together, in order of size."""
    values: dict[Key, dict[float, list[float]]] = {}
    for point in points:
        key = Key(point.name, point.axis, point.column, point.cost, point.side)
        values.setdefault(key, {}).setdefault(point.x, []).append(point.value)
    return {
        key: [Sample(x, tuple(repeats)) for x, repeats in sorted(by_size.items())] for key, by_size in values.items()
    }


def through(points: Iterable[Point], bases: dict[Axis, float], causes: dict[tuple, str]) -> list[Slope]:
    """A slope for each cost along each axis that was measured at three sizes or more."""
    return [
        Slope(
            *key,
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
