"""Error bars: what one more day would show, how well a mean is known, and which of two options is better.

A bar of a figure is a prediction interval for one day, over days of different seeds and, where parameters were fitted,
of different bootstrap draws of them, so it holds both.  From 39 days on it goes from the r-th smallest to the r-th
largest of n, r = (n + 1) * (1 - level) / 2 rounded down: one more day lies outside with probability 2 r / (n + 1)
whatever the distribution, so days of two kinds (a build sent back early or late) are no trouble.  Fewer days can't say
that much without a shape: then mean and t quantile times s * sqrt(1 + 1 / n), for a normal sample.  A paired
difference is taken day by day on the same random numbers; its bar is a confidence interval of its mean.  Sources: S. S.
Wilks, "Determination of sample sizes for setting tolerance limits" (Ann. Math. Stat. 12, 1941) for ordered values; the
usual formulas for a normal sample of unknown variance; Student's quantile by Hill's expansion (Algorithm 396, 1970).
"""

from math import sqrt
from statistics import NormalDist
from typing import NamedTuple

LEVEL = 0.95
HIGHER = ("service", "within", "released", "lowest")  # better if more; what is not listed here is better if less
NEUTRAL = ("at_trial", "shots", "released_s", "back_s")


class Bar(NamedTuple):
    """Of one figure over `many` days: one more day lies in low to high; the mean is known to within `known`."""

    mean: float
    low: float
    high: float
    known: float
    spread: float  # standard deviation between days
    many: int

    def holds(self, value: float) -> bool:
        return self.low <= value <= self.high


class Difference(NamedTuple):
    """B over A of one figure, day by day."""

    mean: float
    low: float
    high: float
    many: int
    better: str  # A, B, or can't tell


def student(level: float, freedom: int) -> float:
    """The two-sided quantile of Student's t.  Raises ValueError for no degrees of freedom."""
    if freedom < 1:
        raise ValueError("no spread from one value")
    if freedom == 1:
        from math import pi, tan

        return tan(pi * level / 2)
    if freedom == 2:
        return level * sqrt(2 / (1 - level * level))
    z, n = NormalDist().inv_cdf((1 + level) / 2), float(freedom)
    terms = (
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92_160,
    )
    return z + sum(term / n ** (place + 1) for place, term in enumerate(terms))


def bounded(name: str) -> bool:
    """Whether a figure is a share."""
    return not any(word in name for word in ("_ms", "_s.", "shots", "spill_peak", "overshoot", "recover_s", "out_s"))


def bar(name: str, values: list[float], level: float = LEVEL) -> Bar:
    """Raises ValueError for fewer than two values."""
    many = len(values)
    if many < 2:
        raise ValueError(f"{name}: a bar needs two days at least")
    mean = sum(values) / many
    spread = sqrt(sum((each - mean) ** 2 for each in values) / (many - 1))
    times = student(level, many - 1)
    rank = int((many + 1) * (1 - level) / 2 + 1e-9)
    if rank:
        ordered = sorted(values)
        low, high = ordered[rank - 1], ordered[-rank]
    else:
        reach = times * spread * sqrt(1 + 1 / many)
        low, high = max(0.0, mean - reach), mean + reach
    return Bar(mean, low, min(1.0, high) if bounded(name) else high, times * spread / sqrt(many), spread, many)


def bars(days: list[dict[str, float]]) -> dict[str, Bar]:
    """Of each figure that at least two days have, in the order of the first."""
    names = dict.fromkeys(name for day in days for name in day)
    seen = {name: [day[name] for day in days if name in day and day[name] == day[name]] for name in names}
    return {name: bar(name, values) for name, values in seen.items() if len(values) > 1}


def differences(first: list[dict[str, float]], second: list[dict[str, float]]) -> dict[str, Difference]:
    """B over A; days are paired by their places."""
    found = {}
    for name in dict.fromkeys(name for day in first for name in day):
        pairs = [(a[name], b[name]) for a, b in zip(first, second) if name in a and name in b]
        gaps = [b - a for a, b in pairs if a == a and b == b]
        if len(gaps) < 2:
            continue
        whole = bar("_ms", gaps)._replace(mean=sum(gaps) / len(gaps))
        low, high = whole.mean - whole.known, whole.mean + whole.known
        better = "can't tell"
        if (low > 0 or high < 0) and not any(name.startswith(each) for each in NEUTRAL):
            more = low > 0
            better = "B" if more == any(name.startswith(each) for each in HIGHER) else "A"
        found[name] = Difference(whole.mean, low, high, len(gaps), better)
    return found
