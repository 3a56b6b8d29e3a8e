"""A curve through measured points: a straight line where that holds, else the one plain shape that fits best.

Weighted least squares for a constant and one coefficient.  A point's standard error is that of the mean of its repeats,
at least a hundredth part of the value (what a second run differs by); where points scatter more than that about the
curve, errors grow with it.  Half widths of 95% intervals use Student's quantile.
"""

from enum import StrEnum
from math import log2, sqrt
from statistics import fmean, stdev

import msgspec
import numpy

from ..bars import LEVEL, student

LEAST_PART = 0.01  # of a value: its standard error, whatever its repeats say
LEAST_OF_ALL = 0.002  # of the largest value: the same, for values near zero
CROOKED = 0.1  # a line that misses a point by so much of it, beyond twice the point's error, is none
BETTER = 3.0  # times as small the sum of squares has to be for another shape to be taken


class Shape(StrEnum):
    """What the coefficient is multiplied with."""

    LINE = "x"
    LOGARITHMIC = "x log2 x"
    SQUARE = "x^2"


TERMS = {
    Shape.LINE: lambda x: x,
    Shape.LOGARITHMIC: lambda x: x * log2(x) if x > 0 else 0.0,
    Shape.SQUARE: lambda x: x * x,
}


class Sample(msgspec.Struct, frozen=True):
    """One size and what each repeat gave there."""

    x: float
    values: tuple[float, ...]

    def mean(self) -> float:
        return fmean(self.values)

    def error(self, largest: float) -> float:
        """The standard error of the mean."""
        least = max(LEAST_PART * abs(self.mean()), LEAST_OF_ALL * largest, 1e-12)
        return max(least, stdev(self.values) / sqrt(len(self.values))) if len(self.values) > 1 else least


class Curve(msgspec.Struct, frozen=True):
    """`constant + growth * term(x)`; errors are half widths of 95% intervals.

    `worst` is the largest miss of a point, as a part of its value, `straight` whether a line holds; the covariance is
    that of the two, times the squared quantile.
    """

    shape: Shape
    constant: float
    growth: float
    constant_error: float
    growth_error: float
    covariance: float
    worst: float
    straight: bool

    def at(self, x: float) -> tuple[float, float]:
        """The value there and half the width of its 95% interval."""
        term = TERMS[self.shape](x)
        variance = self.constant_error**2 + 2 * term * self.covariance + (term * self.growth_error) ** 2
        return self.constant + self.growth * term, sqrt(max(0.0, variance))

    def grows(self) -> bool:
        """Whether the coefficient differs from zero beyond its error."""
        return abs(self.growth) > self.growth_error


def fit(samples: list[Sample]) -> Curve:
    """Raises ValueError for fewer than three sizes."""
    if len(samples) < 3:
        raise ValueError("a curve with an error needs three sizes at least")
    line, misfit = solve(samples, Shape.LINE, True)
    if not crooked(samples, line):
        return line
    others = [solve(samples, shape, False) for shape in Shape if shape != Shape.LINE]
    best, least = min(others, key=lambda each: each[1])
    if least * BETTER < misfit:
        return best
    return msgspec.structs.replace(line, straight=False)


def crooked(samples: list[Sample], curve: Curve) -> bool:
    """Whether the curve misses a point by more than chance and a tenth of it."""
    largest = max(abs(sample.mean()) for sample in samples)
    for sample in samples:
        miss = abs(curve.at(sample.x)[0] - sample.mean())
        if miss > max(CROOKED * abs(sample.mean()), 2 * sample.error(largest), 0.02 * largest):
            return True
    return False


def solve(samples: list[Sample], shape: Shape, straight: bool) -> tuple[Curve, float]:
    """The curve of that shape and its weighted sum of squares."""
    largest = max(abs(sample.mean()) for sample in samples)
    values = numpy.array([sample.mean() for sample in samples])
    weights = numpy.array([1 / sample.error(largest) for sample in samples])
    terms = numpy.array([TERMS[shape](sample.x) for sample in samples])
    scale = float(numpy.max(numpy.abs(terms))) or 1.0
    design = numpy.column_stack([numpy.ones(len(samples)), terms / scale])
    matrix = (design * weights[:, None]).T @ (design * weights[:, None])
    inverse = numpy.linalg.inv(matrix)
    constant, growth = inverse @ ((design * weights[:, None]).T @ (values * weights))
    missed = values - design @ numpy.array([constant, growth])
    misfit = float(numpy.sum((missed * weights) ** 2))
    freedom = len(samples) - 2
    spread = inverse * max(1.0, misfit / freedom) * student(LEVEL, freedom) ** 2
    floor = max(LEAST_OF_ALL * largest, 1e-12)
    worst = max(abs(miss) / max(abs(value), floor) for miss, value in zip(missed, values))
    curve = Curve(
        shape,
        float(constant),
        float(growth) / scale,
        sqrt(float(spread[0, 0])),
        sqrt(float(spread[1, 1])) / scale,
        float(spread[0, 1]) / scale,
        float(worst),
        straight,
    )
    return curve, misfit
