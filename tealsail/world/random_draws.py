"""Random numbers of the simulation, which depend on what they are for and not on the order in which they are drawn.

A draw is a hash of the day's seed, its purpose and the keys of what it is for.  So two options are compared on the same
random numbers, and a day that sends one shot more does not shift all later draws.
"""

from bisect import bisect_right
from math import exp, log
from statistics import NormalDist
from typing import NamedTuple

from ..parts import stable_hash

QUANTILE_STEPS = 512  # steps between the quantiles of a table
(
    ARRIVALS,  # workload, customer and key of an arrival
    WORK,  # work of an invocation
    OUTCOME,  # errors and wrong answers of a faulty build
    SPEED,  # speed of a machine
    DELAYS,  # delays of the unit list and of launches
    NOTES,  # delay and loss of a relay's note to another
    RETRY,  # wait before a client's repeat
    FAULT_AGE,  # age at which a build's fault begins
    SELECTION,  # units, machines and relays that a fault or a launch hits
    UNIT_ERRORS,  # a unit's own errors, whatever build it runs
) = range(1, 11)  # purposes of draws


def uniform(seed: int, purpose: int, *keys: int) -> float:
    """Uniform in [0, 1), the same for the same arguments on any machine."""
    return (stable_hash(seed, purpose, *keys, 0) >> 11) / (1 << 53)


class QuantileTable(NamedTuple):
    """A distribution as its evenly spaced quantiles, as integers.

    Fits and formulas give the same kind of table, and it is the same on any machine, whatever the last bit of its
    mathematical library's results.
    """

    quantiles: tuple[int, ...]

    def at(self, probability: float) -> int:
        """The quantile of `probability` (0 to 1), interpolated linearly."""
        position = probability * (len(self.quantiles) - 1)
        low = int(position)
        if low >= len(self.quantiles) - 1:
            return self.quantiles[-1]
        first, second = self.quantiles[low], self.quantiles[low + 1]
        return first + int((second - first) * (position - low))

    @property
    def mean(self) -> float:
        """Mean of the interpolated distribution (trapezoidal rule)."""
        inner = sum(self.quantiles[1:-1]) + (self.quantiles[0] + self.quantiles[-1]) / 2
        return inner / (len(self.quantiles) - 1)

    def scaled(self, factor: float) -> "QuantileTable":
        """All quantiles times `factor`, rounded and at least 1."""
        return QuantileTable(tuple(max(1, round(each * factor)) for each in self.quantiles))


def lognormal(mean: float, cv: float) -> QuantileTable:
    """Log-normal distribution of that mean and coefficient of variation.

    Its ends are taken a quarter of a step inside 0 and 1; the table is then scaled to restore the mean.
    """
    sigma = log(1 + cv * cv) ** 0.5
    normal = NormalDist(log(mean) - sigma * sigma / 2, sigma or 1e-9)
    probabilities = [
        min(max(step / QUANTILE_STEPS, 0.25 / QUANTILE_STEPS), 1 - 0.25 / QUANTILE_STEPS)
        for step in range(QUANTILE_STEPS + 1)
    ]
    table = QuantileTable(tuple(max(1, round(exp(normal.inv_cdf(probability)))) for probability in probabilities))
    return table.scaled(mean / table.mean)


def empirical(values: list[int]) -> QuantileTable:
    """Quantiles of observed values.  Raises ValueError if there are none."""
    if not values:
        raise ValueError("a distribution needs at least one value")
    ordered, steps = sorted(values), min(QUANTILE_STEPS, max(1, len(values) - 1))
    return QuantileTable(tuple(max(1, ordered[round(step * (len(ordered) - 1) / steps)]) for step in range(steps + 1)))


class WeightedChoice:
    """Draws an index by weights."""

    def __init__(self, weights: list[float]) -> None:
        total, self.cumulative = sum(weights) or 1.0, []
        for weight in weights:
            self.cumulative.append((self.cumulative[-1] if self.cumulative else 0.0) + weight / total)

    def at(self, probability: float) -> int:
        """The index for a uniform draw in [0, 1)."""
        return min(len(self.cumulative) - 1, bisect_right(self.cumulative, probability))


class PoissonGaps:
    """Gaps between the events of a Poisson process with one event per unit of time, from a generator of its own."""

    MASK = (1 << 64) - 1

    def __init__(self, *seed: int) -> None:
        self.state = stable_hash(*seed, 0)

    def uniform(self) -> float:
        """Uniform in [0, 1), by a linear congruential generator with the constants of Knuth's MMIX."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & self.MASK
        return (self.state >> 33) / (1 << 31)

    def gap(self) -> float:
        """The next gap; rounded, since the last bit of a logarithm differs between machines."""
        return round(-log(1 - self.uniform()), 9)
