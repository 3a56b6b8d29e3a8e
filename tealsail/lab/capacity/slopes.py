"""The slopes of one run, measured points with the curves fitted to them, and the JSON file that keeps them."""

from collections.abc import Iterable
from math import hypot
from pathlib import Path
from typing import NamedTuple

import msgspec

from .fit import MAX_MISS, Curve, Sample, fit
from .points import Activity, Axis, Column, Cost, Point, Side

VERSION = 1  # of the file
STANDARD_ERRORS_OF_INTERVAL = 2.0  # half the width of a 95% interval where there is no fit


class SlopeKey(NamedTuple):
    """What the points of one slope have in common."""

    name: Activity
    axis: Axis
    column: Column
    cost: Cost
    side: Side


class Slope(msgspec.Struct, frozen=True):
    """All points of one cost along one axis, and the curve fitted to them.

    `base` is the value of the axis in measurements along the other axes, 0 where it does not occur in them.  `cause`
    names the line of code behind the part that grows.
    """

    name: Activity
    axis: Axis
    column: Column
    cost: Cost
    side: Side
    base: float
    samples: list[Sample]
    curve: Curve
    cause: str = ""

    def value_at(self, x: float) -> tuple[float, float]:
        """The value at size `x`, never below zero, and half the width of its 95% interval.

        Where a line does not hold, the value is interpolated between the points if no simple shape fits them either.
        Beyond the last point it continues the line through the last two.
        """
        is_beyond = x > self.largest_size()
        if self.curve.straight or (not is_beyond and self.curve.worst <= MAX_MISS):
            value, error = self.curve.value_at(x)
            return max(0.0, value), error
        return self.interpolate(x)

    def interpolate(self, x: float) -> tuple[float, float]:
        """The value on the straight line through the two neighbouring points, and the error by their scatter."""
        place = next((place for place, sample in enumerate(self.samples) if sample.x >= x), len(self.samples) - 1)
        before, after = self.samples[max(place, 1) - 1], self.samples[max(place, 1)]
        weight = (x - before.x) / (after.x - before.x)
        largest = abs(after.mean())
        error = hypot((1 - weight) * before.error(largest), weight * after.error(largest))
        value = (1 - weight) * before.mean() + weight * after.mean()
        return max(0.0, value), STANDARD_ERRORS_OF_INTERVAL * error

    def increase_over_base(self, x: float) -> tuple[float, float]:
        """By how much the value at size `x` exceeds that at the base, and half the width of its 95% interval."""
        value, error = self.value_at(x)
        return value - self.value_at(self.base)[0], error

    def largest_size(self) -> float:
        """The largest size that was measured."""
        return max(sample.x for sample in self.samples)


class Machine(msgspec.Struct, frozen=True):
    """The machine of a run, its load (averages over one minute), and the measured commit.

    `allowed` lists the processors that the run could use.
    """

    cores: int
    allowed: list[int]
    model: str
    python: str
    kernel: str
    load_before: float
    load_after: float
    date: str
    commit: str
    changed: bool  # whether the work tree differed from the commit


class Slopes(msgspec.Struct, frozen=True):
    """The results of one run; `seconds` is how long it took, `repeats` how often each size was measured."""

    version: int
    machine: Machine
    seconds: float
    repeats: int
    slopes: list[Slope]
    problems: list[str] = []  # measurements that gave no point
    disturbed: list[str] = []  # points that were kept although the machine's host took much of the processor time

    def find(
        self, name: Activity, axis: Axis, cost: Cost, column: Column = Column.PROCESS, side: Side | None = None
    ) -> Slope | None:
        """The slope of that cost, of any side if none is given; None if it was not measured."""
        for each in self.slopes:
            is_same = (each.name, each.axis, each.cost, each.column) == (name, axis, cost, column)
            if is_same and side in (None, each.side):
                return each
        return None


def group_samples(points: Iterable[Point]) -> dict[SlopeKey, list[Sample]]:
    """The samples of each slope, in order of size; repeats of one size make one sample."""
    values: dict[SlopeKey, dict[float, list[float]]] = {}
    for point in points:
        key = SlopeKey(point.name, point.axis, point.column, point.cost, point.side)
        values.setdefault(key, {}).setdefault(point.x, []).append(point.value)
    return {
        key: [Sample(x, tuple(repeats)) for x, repeats in sorted(by_size.items())] for key, by_size in values.items()
    }


def fit_slopes(points: Iterable[Point], bases: dict[Axis, float], causes: dict[tuple, str]) -> list[Slope]:
    """A slope for each cost along each axis that was measured at three sizes or more."""
    return [
        Slope(
            *key,
            bases.get(key.axis, 0.0),
            samples,
            fit(samples),
            causes.get((key.name, key.axis, key.cost), ""),
        )
        for key, samples in group_samples(points).items()
        if len(samples) > 2
    ]


def read(path: str | Path) -> Slopes:
    """Reads the file of a run; raises ValueError if it is of another version or malformed."""
    found = msgspec.json.decode(Path(path).read_bytes(), type=Slopes)
    if found.version != VERSION:
        raise ValueError(f"{path}: version {found.version}, expected {VERSION}")
    return found


def write(path: str | Path, slopes: Slopes) -> None:
    """Writes the file of a run."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")
