"""Fits a curve to measured points: a straight line where it holds, else the one simple shape that fits best.

The fit is weighted least squares for a constant and one coefficient.  A point's standard error is that of the mean of
its repeats, and at least a hundredth of the value, by which a second run differs.  Where points scatter about the curve
by more than their errors, the errors of the curve grow with the scatter.  Half widths of 95% intervals use the quantile
of Student's t.
"""

from enum import StrEnum
from math import log2, sqrt
from statistics import fmean, stdev

import msgspec
import numpy

from ..bars import LEVEL, student

MIN_RELATIVE_ERROR = 0.01  # least standard error of a mean, as a fraction of its value
SINGLE_REPEAT_RELATIVE_ERROR = 0.05  # the same for a single repeat: runs on one machine have differed by so much
MIN_ERROR_OF_LARGEST = 0.002  # least standard error, as a fraction of the largest value: for values near zero
MAX_MISS = 0.1  # a line that misses a point by more than this fraction of its value, and twice its error, does not hold
MIN_IMPROVEMENT = 3.0  # another shape is taken if its sum of squares is smaller by more than this factor


class Shape(StrEnum):
    """The term that the coefficient is multiplied with."""

    LINE = "x"
    LOGARITHMIC = "x log2 x"
    SQUARE = "x^2"


TERMS = {
    Shape.LINE: lambda x: x,
    Shape.LOGARITHMIC: lambda x: x * log2(x) if x > 0 else 0.0,
    Shape.SQUARE: lambda x: x * x,
}


class Sample(msgspec.Struct, frozen=True):
    """The values of all repeats at one size."""

    x: float
    values: tuple[float, ...]

    def mean(self) -> float:
        return fmean(self.values)

    def error(self, largest: float) -> float:
        """The standard error of the mean; `largest` is the largest mean among the samples of the curve."""
        least = max(MIN_RELATIVE_ERROR * abs(self.mean()), MIN_ERROR_OF_LARGEST * largest, 1e-12)
        if len(self.values) < 2:
            return max(least, SINGLE_REPEAT_RELATIVE_ERROR * abs(self.mean()))
        return max(least, stdev(self.values) / sqrt(len(self.values)))


class Curve(msgspec.Struct, frozen=True):
    """`constant + growth * term(x)`; errors are half widths of 95% intervals.

    `covariance` is that of constant and growth, times the square of the quantile.  `worst` is the largest distance of a
    point from the curve, as a fraction of the point's value.  `straight` says whether a line holds.
    """

    shape: Shape
    constant: float
    growth: float
    constant_error: float
    growth_error: float
    covariance: float
    worst: float
    straight: bool

    def value_at(self, x: float) -> tuple[float, float]:
        """The value at size `x`, and half the width of its 95% interval."""
        term = TERMS[self.shape](x)
        variance = self.constant_error**2 + 2 * term * self.covariance + (term * self.growth_error) ** 2
        return self.constant + self.growth * term, sqrt(max(0.0, variance))

    def has_growth(self) -> bool:
        """Whether the coefficient differs from zero by more than its error."""
        return abs(self.growth) > self.growth_error


def fit(samples: list[Sample]) -> Curve:
    """Fits the curve to samples of different sizes; raises ValueError for fewer than three."""
    if len(samples) < 3:
        raise ValueError("a curve with an error needs at least three sizes")
    line, misfit = fit_shape(samples, Shape.LINE, True)
    if not misses_points(samples, line):
        return line
    others = [fit_shape(samples, shape, False) for shape in Shape if shape != Shape.LINE]
    best, least = min(others, key=lambda each: each[1])
    if least * MIN_IMPROVEMENT < misfit:
        return best
    return msgspec.structs.replace(line, straight=False)


def misses_points(samples: list[Sample], curve: Curve) -> bool:
    """Whether the curve misses a point by over a tenth of its value, two standard errors, and 2% of the largest."""
    largest = max(abs(sample.mean()) for sample in samples)
    for sample in samples:
        miss = abs(curve.value_at(sample.x)[0] - sample.mean())
        if miss > max(MAX_MISS * abs(sample.mean()), 2 * sample.error(largest), 0.02 * largest):
            return True
    return False


def fit_shape(samples: list[Sample], shape: Shape, straight: bool) -> tuple[Curve, float]:
    """The best curve of that shape, and its weighted sum of squares."""
    largest = max(abs(sample.mean()) for sample in samples)
    values = numpy.array([sample.mean() for sample in samples])
    weights = numpy.array([1 / sample.error(largest) for sample in samples])
    terms = numpy.array([TERMS[shape](sample.x) for sample in samples])
    scale = float(numpy.max(numpy.abs(terms))) or 1.0
    design = numpy.column_stack([numpy.ones(len(samples)), terms / scale])
    matrix = (design * weights[:, None]).T @ (design * weights[:, None])
    inverse = numpy.linalg.inv(matrix)
    constant, growth = inverse @ ((design * weights[:, None]).T @ (values * weights))
    residuals = values - design @ numpy.array([constant, growth])
    misfit = float(numpy.sum((residuals * weights) ** 2))
    degrees_of_freedom = len(samples) - 2
    spread = inverse * max(1.0, misfit / degrees_of_freedom) * student(LEVEL, degrees_of_freedom) ** 2
    floor = max(MIN_ERROR_OF_LARGEST * largest, 1e-12)
    worst = max(abs(residual) / max(abs(value), floor) for residual, value in zip(residuals, values))
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
