"""What the decision module is made of: chance, sums over time, the rank test's sums, what is known of units,
invocations and their shots, and the links of the chain.  Nothing is decided here."""

from collections import defaultdict
from collections.abc import Callable
from itertools import chain
from math import erfc, log, sqrt
from typing import Any


def stable_hash(*parts: int) -> int:
    """A hash that is the same in every instance."""
    state = 0x9E3779B97F4A7C15
    for part in parts:
        state = ((state ^ part) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
        state ^= state >> 29
    return state


class RandomGenerator:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = stable_hash(seed)

    def share(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 33) / (1 << 31)

    def pick(self, items: list["Unit"]) -> "Unit":
        return items[int(self.share() * len(items))]


class SlidingSum:
    """What is measured over time: sums in fixed buckets that are used again."""

    def __init__(self, span: int, buckets: int) -> None:
        self.span, self.width, self.size = span, max(1, -(-span // buckets)), buckets + 2
        self.sums, self.stamps = [0.0] * self.size, [-1] * self.size
        self.first, self.running = -1 << 60, 0.0  # the sum from that bucket on, kept up: it is asked for often

    def add(self, now: int, amount: float = 1) -> None:
        """Amounts are whole, so a sum that is kept up is the sum taken anew."""
        stamp = now // self.width
        place = stamp % self.size
        if self.stamps[place] != stamp:  # what was there is older than any span that is asked for from now on
            self.stamps[place], self.sums[place] = stamp, 0.0
        self.sums[place] += amount
        self.running += amount

    def total(self, now: int) -> float:
        """Over the last span, without the oldest bucket, which is only partly inside."""
        first = (now - self.span) // self.width + 1
        if first != self.first:
            self.first = first
            self.running = sum([amount for stamp, amount in zip(self.stamps, self.sums) if stamp >= first])
        return self.running


class Tries(SlidingSum):
    """Shots that invocations allow.  A window may begin anywhere inside its oldest bucket, so for each bucket
    it is kept how far the shots of its later part, wherever that begins, exceed what was allowed there."""

    def __init__(self, span: int, buckets: int) -> None:
        super().__init__(span, buckets)
        self.tails = [0.0] * self.size

    def add(self, now: int, amount: float = 1) -> None:
        """A shot, or below zero the part of one that an invocation allows."""
        stamp = now // self.width
        tail = self.tails[stamp % self.size] if self.stamps[stamp % self.size] == stamp else 0.0
        self.tails[stamp % self.size] = max(0.0, tail + amount)
        super().add(now, max(0.0, amount))

    def most(self, now: int) -> float:
        """The shots of the last span, over what the invocations of its oldest bucket allow."""
        first = (now - self.span) // self.width
        within = self.stamps[first % self.size] == first
        return self.total(now) + within * self.tails[first % self.size]


def rank_test(canary: list[int], baseline: list[int]) -> tuple[float, float]:
    """Mann-Whitney's U of the canary on bucket counts, over its mean, and its variance (ties corrected)."""
    n, m = sum(canary), sum(baseline)
    total, below, above, ties = n + m, 0, 0.0, 0
    for c, b in zip(canary, baseline):
        above += c * (below + b / 2)
        below += b
        ties += (c + b) ** 3 - (c + b)
    return above - n * m / 2, n * m / 12 * (total + 1 - ties / (total * (total - 1)))


def median(counts: list[int], edges: tuple[float, ...]) -> float:
    """The median of bucket counts, inside a bucket by the ratio of its edges."""
    half, edges = sum(counts) / 2, (edges[0] / 2, *edges, 2 * edges[-1], 2 * edges[-1])
    for place, count in enumerate(counts):
        if count and half <= count:
            return edges[place] * (edges[place + 1] / edges[place]) ** (half / count)
        half -= count
    return edges[-1]


def rank_sums(
    mine: list[list[int]], others: list[list[int]], edges: tuple[float, ...], least: int
) -> tuple[float, float, float, float]:
    """Over workloads with so many outcomes on both sides: the sums of the rank test, its variance, and the
    ratio of medians, weighted; and the weight.  A row is served, failed, then buckets, which need not hold all that
    was served: failures count in that proportion."""
    excess = spread = ratio = weight = 0.0
    for new, old in zip(mine, others):
        new, old = (row[2:] + [row[1] * sum(row[2:]) // row[0] if row[0] else row[1]] for row in (new, old))
        if min(sum(new), sum(old)) >= least:
            more, variance = rank_test(new, old)
            excess, spread = excess + more, spread + variance
            ratio, weight = ratio + sum(new) * median(new, edges) / median(old, edges), weight + sum(new)
    return excess, spread, ratio, weight


def slower(
    mine: list[list[int]], others: list[list[int]], edges: tuple[float, ...], least: int, margin: float, level: float
) -> bool:
    """The rank test, workload by workload, sums pooled; a failure ranks behind every answer."""
    excess, spread, ratio, weight = rank_sums(mine, others, edges, least // 4)
    return weight >= least and ratio > margin * weight and erfc(excess / sqrt(2 * spread)) / 2 < level


def unexplained(canary: list[list[int]], baseline: list[list[int]]) -> list[tuple[int, int, float]]:
    """For each workload and for all: outcomes of the canary, its failures, and how many are due by the baseline, at the
    rate of the workload or of all, whichever is more: what fails everywhere falls on few outcomes by chance."""
    new, old = ([*group, [sum(column) for column in zip(*group)]] for group in (canary, baseline))
    rates = [row[1] / max(1, row[0] + row[1]) for row in old]
    return [(row[0] + row[1], row[1], (row[0] + row[1]) * max(rate, rates[-1])) for row, rate in zip(new, rates)]


def lone(bad: dict[int, int], seen: dict[int, int], witnesses: int) -> bool:
    """Whether who told of most failures is alone with them: at its rate the others would have seen so many, and saw
    under a tenth."""
    accused = max(bad, key=bad.__getitem__)
    few, most = sum(bad.values()) - bad[accused], seen[accused]
    due = sum(min(most, many) for many in seen.values()) - most
    return bool(bad[accused]) and bad[accused] * due >= most * max(witnesses, 10 * few)


def beyond(canary: list[list[int]], others: list[list[int]]) -> float:
    """By how much the canary's failures, all rows', exceed their even share of all, on the scale of standard
    deviations: the signed root of the likelihood ratio, which keeps to it where failures are few (five for half of
    one expected are 3.7, and not 6.4: by chance one in some thousands, of looks that are many).  Source:
    Barndorff-Nielsen and Cox, Inference and Asymptotics, 1994."""
    (n, bad), (m, rest) = ([sum(row[at] for row in group) for at in (0, 1)] for group in (canary, others))
    even = (bad + rest) * (n + bad) / (n + bad + m + rest or 1)
    if not 0 < even < bad + rest:
        return 0.0
    ratio = sum(seen * log(seen / due) for seen, due in ((bad, even), (rest, bad + rest - even)) if seen)
    return sqrt(max(0.0, 2 * ratio)) * (1 if bad > even else -1)


def surplus(pool: list, latest: list) -> float:
    """Of all the canary's failures over the baseline's, or of its latest over all before, the latter less by
    as much as the baseline's latest rose."""
    before = [row for group in gained(pool, latest)[:2] for row in group]
    return max(beyond(*pool[:2]), beyond(latest[0], before) - max(0.0, beyond(latest[1], before)))


def gained(pool: list, old: list | None) -> list:
    """By how much each count of a pool is above that of an older one; all of it if there is none."""
    return (
        [[[max(0, new - past) for new, past in zip(*row)] for row in zip(*two)] for two in zip(pool, old)]
        if old
        else pool
    )


class Windows:
    """By how much a pool grew of late, looked at each beat: in its latest twelve beats, in as many as `brief` and in
    the latest minute, of which a pool is kept every ten beats."""

    SIZE = 12

    def __init__(self, brief: int) -> None:
        self.brief = brief
        self.past: list[Any] = [None] * self.SIZE
        self.slow: list[Any] = [None] * self.SIZE

    def take(self, beat: int, pool: list) -> tuple[list, list, list]:
        recent, brief = (gained(pool, self.past[at % self.SIZE]) for at in (beat, beat - self.brief))
        self.past[beat % self.SIZE] = pool
        if not beat % 10:
            self.slow[beat // 10 % self.SIZE] = pool
        return recent, brief, gained(pool, self.slow[(beat // 10 + 1) % self.SIZE])


class Workload:
    """What the settings say of one, and how long its answers take."""

    mean = deviation = 0.0

    def __init__(self, place: int, row: int, facts: dict[str, Any]) -> None:
        self.place, self.row = place, slice(place * row, (place + 1) * row)
        self.promised, self.effect, self.group = facts["promised"], facts["effect"], facts["group"]
        self.memory, self.payoff = facts["memory"], facts["payoff"]


class Unit:
    """A unit as this relay sees it.  A new start or another build makes a new Unit, cold again."""

    def __init__(self, number: int, build: int, started: int, even: float, order: int) -> None:
        self.number, self.build, self.started, self.order = number, build, started, order  # its place in a row
        self.credit, self.even = 1.0, even  # what it may get while cold, and up to when that is summed
        self.weight, self.open, self.zone, self.cell = 1.0, True, 0, 0
        self.open_shots, self.silent_since = 0, 0  # our shots out there, and since when with no answer at all
        self.met = -1 << 60  # when it last answered us
        self.pace, self.error_rate = 1.0, 0.0  # its latencies over the workload's, errors among its answers
        self.util, self.queue, self.load_at = 0.0, 0.0, 0
        self.ejected_until, self.rest = 0, 0
        # shots that broke off or found no connection since it last answered: one alone may be a connection's
        # fault (all units rested where connections broke everywhere); one that took long counts twice
        self.connection_failures = 0


def in_rows(ordered: list[Unit], on_trial: Callable[[int], bool]) -> tuple[list[Unit], list[Unit]]:
    """The units of earlier builds and those on trial, in order.  By build first: there are few, of thousands of
    units."""
    rows: dict[int, list[Unit]] = {}
    for unit in ordered:
        rows.setdefault(unit.build, []).append(unit)
    sides = ([row for build, row in rows.items() if on_trial(build) == new] for new in (False, True))
    old, new = (each[0] if len(each) == 1 else sorted(chain(*each), key=lambda unit: unit.order) for each in sides)
    return old, new


class Load:
    """What relays tell of their shots at one unit: by relay the count of its notes, its shots there, and when."""

    def __init__(self) -> None:
        self.by: dict[int, tuple[int, int, int]] = {}
        self.open_shots = 0  # shots there
        self.given: list[tuple[int, int]] = []  # to whom it was named (-1: and told of that shot), and when
        self.pace, self.error_rate = 1.0, 0.0  # as of a unit

    def tell(self, sender: int, count: int, open_shots: int, came: int, now: int) -> None:
        """The newer of two by their count, 16 bits that begin anew; notes may overtake each other.  What came of a
        shot is as in its note (tealsail/notes.py)."""
        before = self.by.get(sender)
        if before is None or (count - before[0]) & 0xFFFF < 0x8000:
            self.open_shots += open_shots - (before[1] if before else 0)
            self.by[sender] = count, open_shots, now
            if not came:  # sent: it is among those told now, and not to be counted twice
                self.given = [(-1, each[1]) if each[0] == sender else each for each in self.given]
        if came:
            self.error_rate += 0.15 * ((came == 255) - self.error_rate)
            self.pace += 0.1 * (min(8.0, came / 16) - self.pace) * (came < 255)

    def at_hand(self, since: int, told: float) -> float:
        """Shots there, and those that it was named for since then: of such as were told of, this part."""
        self.given = [each for each in self.given if each[1] > since]
        return self.open_shots + sum(told if sender < 0 else 1 for sender, _ in self.given)


def forget(loads: dict[int, Load], before: int) -> defaultdict[int, Load]:
    """Without relays not heard of since, dead or with another keeper, and units of which nobody tells."""
    kept = defaultdict(Load)
    for unit, load in loads.items():
        load.by = {sender: each for sender, each in load.by.items() if each[2] > before}
        load.open_shots = sum(open_shots for _, open_shots, _ in load.by.values())
        if load.by:
            kept[unit] = load
    return kept


def part(row: list[Unit], warm_from: int, warmth: Callable[[Unit], float]) -> tuple[float, float]:
    """Weights of a row's warm units, and what its cold ones can do at the least.  One pass: there may be thousands."""
    warm = warming = 0.0
    for unit in row:
        able = warmth(unit) if unit.started > warm_from and unit.started else 1.0
        if able >= 1:
            warm += unit.weight
        else:
            warming += unit.weight * able
    return warm, warming


class Invocation:
    def __init__(
        self, number: int, workload: Any, customer: int, key: str | None, give_up: int, size: float, repeat: bool
    ) -> None:
        self.number, self.workload, self.customer, self.key = number, workload, customer, key
        self.give_up, self.size, self.repeat = give_up, size, repeat
        self.shots: list[Shot] = []
        self.is_over, self.luck = False, 1.0  # the luck that decides whether a cold unit may get it
        self.tier: int | None = None  # drawn, where there are tiers of zones
        self.asked, self.near, self.best = 0, [], None  # for which shot, of which units, and the answer
        self.blamed = False  # failed by a unit of a build that is alone: counts if another serves it
        self.drawn: bool | None = None  # drawn for the build on trial, or not; None: a further shot

    def open_shots(self) -> int:
        return sum(not shot.ended for shot in self.shots)

    def may_have_run(self) -> "Shot | None":
        """The first shot that may have run, or may yet."""
        return next((shot for shot in self.shots if not shot.never_ran), None)


class Shot:
    def __init__(self, invocation: Invocation, unit: Unit, now: int, group: list[int] | None, warmth: float) -> None:
        self.invocation, self.unit, self.sent, self.group, self.warmth = invocation, unit, now, group, warmth
        self.ended = self.never_ran = False


class ChainStage:
    """A link of the chain: `forward` tells whether the invocation was sent or ended, `backward` hands on
    what came of a shot, the other way."""

    next: Any
    before: Any

    def __init__(self, relay: Any) -> None:
        self.relay, self.facts = relay, relay.facts

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        self.before.backward(shot, outcome, latency)


def link(*chain: ChainStage) -> None:
    for before, after in zip(chain, chain[1:]):
        before.next, after.before = after, before
