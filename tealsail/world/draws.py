"""Chance for the stand-ins: draws that depend on what they are for, not on the order in which they are made.

Two options are compared on the same random numbers: a draw is a hash of the day's seed, its purpose and whom it is
for, so a day that sends one shot more does not shift all later draws.
"""

from bisect import bisect_right
from math import exp, log
from statistics import NormalDist
from typing import NamedTuple

from ..parts import stable_hash

POINTS = 512  # parts of a table
ARRIVALS, WORK, FATE, SPEED, LIST, NOTES, RETRY, TURNS, PICKS, OWN = range(1, 11)  # what draws are for


def share(seed: int, purpose: int, *whom: int) -> float:
    """Evenly between 0 and 1, the same for the same arguments on any machine."""
    return (stable_hash(seed, purpose, *whom, 0) >> 11) / (1 << 53)


class Table(NamedTuple):
    """A distribution as its quantiles in whole units, evenly spaced: what a fit finds and what a formula gives
    alike, and the same on any machine whatever its mathematical library does in the last bit."""

    quantiles: tuple[int, ...]

    def at(self, part: float) -> int:
        """The quantile of `part` (0 to 1), by straight lines between the table's."""
        place = part * (len(self.quantiles) - 1)
        low = int(place)
        if low >= len(self.quantiles) - 1:
            return self.quantiles[-1]
        first, second = self.quantiles[low], self.quantiles[low + 1]
        return first + int((second - first) * (place - low))

    @property
    def mean(self) -> float:
        inner = sum(self.quantiles[1:-1]) + (self.quantiles[0] + self.quantiles[-1]) / 2
        return inner / (len(self.quantiles) - 1)

    def times(self, factor: float) -> "Table":
        return Table(tuple(max(1, round(each * factor)) for each in self.quantiles))


def lognormal(mean: float, cv: float) -> Table:
    """Of that mean and coefficient of variation; the ends are cut at half of a table's part."""
    sigma = log(1 + cv * cv) ** 0.5
    normal = NormalDist(log(mean) - sigma * sigma / 2, sigma or 1e-9)
    parts = [min(max(place / POINTS, 0.25 / POINTS), 1 - 0.25 / POINTS) for place in range(POINTS + 1)]
    table = Table(tuple(max(1, round(exp(normal.inv_cdf(part)))) for part in parts))
    return table.times(mean / table.mean)  # what the cut took away


def empirical(seen: list[int]) -> Table:
    """The quantiles of what was seen.  Raises ValueError for nothing."""
    if not seen:
        raise ValueError("a distribution needs at least one value")
    ordered, most = sorted(seen), min(POINTS, max(1, len(seen) - 1))
    return Table(tuple(max(1, ordered[round(place * (len(ordered) - 1) / most)]) for place in range(most + 1)))


class Sorts:
    """Draws one of several by weights."""

    def __init__(self, weights: list[float]) -> None:
        total, self.edges = sum(weights) or 1.0, []
        for weight in weights:
            self.edges.append((self.edges[-1] if self.edges else 0.0) + weight / total)

    def at(self, part: float) -> int:
        return min(len(self.edges) - 1, bisect_right(self.edges, part))


class Gaps:
    """The gaps of a Poisson stream of one event a unit of time, from a generator of its own."""

    MASK = (1 << 64) - 1

    def __init__(self, *seed: int) -> None:
        self.state = stable_hash(*seed, 0)

    def share(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & self.MASK
        return (self.state >> 33) / (1 << 31)

    def gap(self) -> float:
        return round(-log(1 - self.share()), 9)  # rounded: the last bit differs between machines
