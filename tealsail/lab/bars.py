"""Error bars: prediction intervals for one more day, confidence intervals of means, and differences of two options.

A bar of a figure is a prediction interval for one day, over days of different seeds and, where parameters were fitted,
of different bootstrap draws, so it includes both kinds of variation.  From 39 days on it goes from the r-th smallest to
the r-th largest of n values, r = (n + 1) * (1 - level) / 2 rounded down: one more day lies outside with probability
2 r / (n + 1) for any distribution, even for one with two peaks (a build sent back early or late).  Fewer days need an
assumption: the interval is the mean plus and minus the t quantile times s * sqrt(1 + 1 / n), for a normal sample.  A
paired difference is taken day by day on the same random numbers; its bar is a confidence interval of its mean.

Sources: S. S. Wilks, "Determination of sample sizes for setting tolerance limits" (Ann. Math. Stat. 12, 1941) for
ordered values; the usual formulas for a normal sample of unknown variance; Student's quantile by Hill's expansion
(Algorithm 396, 1970).
"""

from math import sqrt
from statistics import NormalDist
from typing import NamedTuple

LEVEL = 0.95  # of all intervals
# beginnings of figures' names
HIGHER_IS_BETTER = ("service", "within", "released", "lowest")  # of figures in neither list, lower is better
NEUTRAL = ("at_trial", "shots", "released_s", "back_s")


class Bar(NamedTuple):
    """Bar of a figure over `many` days: prediction interval `low` to `high` for one more day, and `known`, the half
    width of the mean's confidence interval."""

    mean: float
    low: float
    high: float
    known: float
    spread: float  # standard deviation between days
    many: int

    def holds(self, value: float) -> bool:
        """Whether the value of one more day lies in the interval."""
        return self.low <= value <= self.high


class Difference(NamedTuple):
    """B minus A of one figure, paired by day: the mean, its confidence interval, the number of days, and which option
    is better."""

    mean: float
    low: float
    high: float
    many: int
    better: str  # A, B, or can't tell


def student(level: float, degrees: int) -> float:
    """The two-sided quantile of Student's t for that many degrees of freedom.  Raises ValueError for less than one."""
    if degrees < 1:
        raise ValueError("the spread of a single value is unknown")
    if degrees == 1:
        from math import pi, tan

        return tan(pi * level / 2)
    if degrees == 2:
        return level * sqrt(2 / (1 - level * level))
    z, n = NormalDist().inv_cdf((1 + level) / 2), float(degrees)
    terms = (
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92_160,
    )
    return z + sum(term / n ** (place + 1) for place, term in enumerate(terms))


def is_share(name: str) -> bool:
    """Whether a figure is a share, at most 1."""
    return not any(word in name for word in ("_ms", "_s.", "shots", "spill_peak", "overshoot", "recover_s", "out_s"))


def bar(name: str, values: list[float], level: float = LEVEL) -> Bar:
    """The bar of one figure's values, one for each day.  Raises ValueError for fewer than two."""
    many = len(values)
    if many < 2:
        raise ValueError(f"{name}: a bar needs at least two days")
    mean = sum(values) / many
    spread = sqrt(sum((each - mean) ** 2 for each in values) / (many - 1))
    quantile = student(level, many - 1)
    rank = int((many + 1) * (1 - level) / 2 + 1e-9)
    if rank:
        ordered = sorted(values)
        low, high = ordered[rank - 1], ordered[-rank]
    else:
        margin = quantile * spread * sqrt(1 + 1 / many)
        low, high = max(0.0, mean - margin), mean + margin
    return Bar(mean, low, min(1.0, high) if is_share(name) else high, quantile * spread / sqrt(many), spread, many)


def bars(days: list[dict[str, float]]) -> dict[str, Bar]:
    """Bars of the figures that at least two days have, in the order in which they appear; NaN counts as missing."""
    names = dict.fromkeys(name for day in days for name in day)
    values_by_name = {name: [day[name] for day in days if name in day and day[name] == day[name]] for name in names}
    return {name: bar(name, values) for name, values in values_by_name.items() if len(values) > 1}


def differences(first: list[dict[str, float]], second: list[dict[str, float]]) -> dict[str, Difference]:
    """By figure, `second` (B) minus `first` (A), with days paired by their places in the lists."""
    found = {}
    for name in dict.fromkeys(name for day in first for name in day):
        pairs = [(a[name], b[name]) for a, b in zip(first, second) if name in a and name in b]
        gaps = [b - a for a, b in pairs if a == a and b == b]
        if len(gaps) < 2:
            continue
        # the name "_ms" is not a share's, so the bar is not cut at 1
        gap_bar = bar("_ms", gaps)._replace(mean=sum(gaps) / len(gaps))
        low, high = gap_bar.mean - gap_bar.known, gap_bar.mean + gap_bar.known
        better = "can't tell"
        if (low > 0 or high < 0) and not any(name.startswith(each) for each in NEUTRAL):
            is_higher = low > 0
            better = "B" if is_higher == any(name.startswith(each) for each in HIGHER_IS_BETTER) else "A"
        found[name] = Difference(gap_bar.mean, low, high, len(gaps), better)
    return found
