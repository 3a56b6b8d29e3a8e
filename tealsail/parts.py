"""Building blocks of the decision module (tealsail/policy.py).

Random numbers, sums over time, the statistics that a judge uses, the records of units, invocations and shots, and the
links of the chain of stages.  Nothing is decided here.  Times are whole tenths of a millisecond.

Counts of outcomes have one shape everywhere.  The counts of one workload are a list `[served, failed, bucket, ...]`,
the buckets being a histogram of latencies over the latency target.  A group (canary, baseline, or before the trial)
is a list of such lists, one a workload; a pool is a list of the three groups.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from itertools import chain
from math import erfc, log, sqrt
from typing import Any


def stable_hash(*parts: int) -> int:
    """A 64-bit hash of integers that is the same in every process."""
    state = 0x9E3779B97F4A7C15
    for part in parts:
        state = ((state ^ part) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
        state ^= state >> 29
    return state


class RandomGenerator:
    """A seeded linear congruential generator of 64 bits, of which the high 31 bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = stable_hash(seed)

    def share(self) -> float:
        """A uniform draw from [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 33) / (1 << 31)

    def pick(self, items: list["Unit"]) -> "Unit":
        """One of the items, each as likely as the others."""
        return items[int(self.share() * len(items))]


class SlidingSum:
    """The sum of what was added during the last `span`, in a ring of `buckets` buckets of equal width."""

    def __init__(self, span: int, buckets: int) -> None:
        self.span = span
        self.bucket_width = max(1, -(-span // buckets))
        self.size = buckets + 2
        self.sums = [0.0] * self.size
        self.stamps = [-1] * self.size  # number of the bucket's interval, counted from time 0
        self.first_stamp = -1 << 60  # where `running_total` begins
        self.running_total = 0.0  # kept up to date, since totals are asked for often

    def add(self, now: int, amount: float = 1) -> None:
        """Adds an amount.  Amounts are whole, so that the running total equals a sum taken anew."""
        stamp = now // self.bucket_width
        index = stamp % self.size
        if self.stamps[index] != stamp:  # the bucket's old content is older than any span asked for from now on
            self.stamps[index], self.sums[index] = stamp, 0.0
        self.sums[index] += amount
        self.running_total += amount

    def total(self, now: int) -> float:
        """The sum over the last span, without the oldest bucket, which lies only partly inside."""
        first = (now - self.span) // self.bucket_width + 1
        if first != self.first_stamp:
            self.first_stamp = first
            self.running_total = sum([amount for stamp, amount in zip(self.stamps, self.sums) if stamp >= first])
        return self.running_total


class ExposureSum(SlidingSum):
    """Shots at a build on trial, less what the invocations taken meanwhile allow of them.

    A window of one span may begin anywhere inside its oldest bucket.  For each bucket `tails` therefore holds by how
    much the shots of a later part of it, wherever that part begins, exceed what was allowed in that part at the most.
    """

    def __init__(self, span: int, buckets: int) -> None:
        super().__init__(span, buckets)
        self.tails = [0.0] * self.size

    def add(self, now: int, amount: float = 1) -> None:
        """Adds a shot, or, with an amount below zero, the part of a shot that one invocation allows."""
        stamp = now // self.bucket_width
        tail = self.tails[stamp % self.size] if self.stamps[stamp % self.size] == stamp else 0.0
        self.tails[stamp % self.size] = max(0.0, tail + amount)
        super().add(now, max(0.0, amount))

    def remove(self, at: int) -> None:
        """Takes back a shot that was added at `at` and will not be written; the tail of its bucket stays as it is."""
        stamp = at // self.bucket_width
        if self.stamps[stamp % self.size] == stamp:
            self.sums[stamp % self.size] -= 1
            self.running_total -= stamp >= self.first_stamp

    def upper_bound(self, now: int) -> float:
        """The shots of a window of one span that ends now, wherever in its oldest bucket it begins.

        What that bucket's invocations allow is taken off.
        """
        first = (now - self.span) // self.bucket_width
        within = self.stamps[first % self.size] == first
        return self.total(now) + within * self.tails[first % self.size]


class ArrivalBalance:
    """Shots at a build on trial, each added when it is written, against what the invocations taken meanwhile allow.

    A shot that is written long after its invocation was taken may fall into windows that do not hold the invocation.
    So every window of at most one span that ends now counts here, wherever it begins; invocations of up to `lag` before
    a window count as taken in it.
    """

    STEPS_PER_LAG = 25  # invocations that are taken in one such step are kept as one

    def __init__(self, span: int, buckets: int, lag: int) -> None:
        self.lag, self.step = lag, max(1, lag // self.STEPS_PER_LAG)
        self.bucket_width = max(1, -(-span // buckets))
        self.size = buckets + 2
        self.stamps = [-1] * self.size  # number of the bucket's interval, counted from time 0
        self.sums = [0.0] * self.size  # shots less what is allowed
        self.tails = [0.0] * self.size  # the largest such sum of a later part of the bucket, wherever it begins
        self.recent: deque[tuple[int, float]] = deque()  # when invocations were taken, and what they allow, by steps

    def allow(self, now: int, amount: float) -> None:
        """Adds the part of a shot that an invocation allows which is taken now."""
        self.enter_recent(now)
        if self.recent and now - self.recent[-1][0] < self.step:
            at, earlier = self.recent.pop()
            self.recent.append((at, earlier + amount))
        else:
            self.recent.append((now, amount))

    def add_shot(self, now: int) -> None:
        """Adds a shot that is written now."""
        self.enter_recent(now)
        self.enter(now, 1.0)

    def excess(self, now: int) -> float:
        """By how much shots exceed what is allowed in the window for which that is most; below zero if none do."""
        self.enter_recent(now)
        since_bucket, largest = 0.0, 0.0
        newest = now // self.bucket_width
        for stamp in range(newest, newest - self.size, -1):
            index = stamp % self.size
            if self.stamps[index] == stamp:
                largest = max(largest, since_bucket + self.tails[index])
                since_bucket += self.sums[index]
        return largest - sum(amount for _, amount in self.recent)

    def enter_recent(self, now: int) -> None:
        """Enters what the invocations allow that are older than `lag`."""
        while self.recent and self.recent[0][0] <= now - self.lag:
            at, amount = self.recent.popleft()
            self.enter(at + self.lag, -amount)

    def enter(self, now: int, amount: float) -> None:
        stamp = now // self.bucket_width
        index = stamp % self.size
        if self.stamps[index] != stamp:
            self.stamps[index], self.sums[index], self.tails[index] = stamp, 0.0, 0.0
        self.sums[index] += amount
        self.tails[index] = max(0.0, self.tails[index] + amount)


def rank_test(canary: list[int], baseline: list[int]) -> tuple[float, float]:
    """Mann-Whitney's U on two histograms with the same buckets: the canary's U less its mean, and the variance of U.

    The variance is corrected for ties.
    """
    n, m = sum(canary), sum(baseline)
    total, below, above, ties = n + m, 0, 0.0, 0
    for c, b in zip(canary, baseline):
        above += c * (below + b / 2)
        below += b
        ties += (c + b) ** 3 - (c + b)
    return above - n * m / 2, n * m / 12 * (total + 1 - ties / (total * (total - 1)))


def median(counts: list[int], edges: tuple[float, ...]) -> float:
    """The median of a histogram, interpolated inside a bucket by the ratio of its edges."""
    half, edges = sum(counts) / 2, (edges[0] / 2, *edges, 2 * edges[-1], 2 * edges[-1])
    for index, count in enumerate(counts):
        if count and half <= count:
            return edges[index] * (edges[index + 1] / edges[index]) ** (half / count)
        half -= count
    return edges[-1]


def rank_sums(
    canary: list[list[int]], others: list[list[int]], edges: tuple[float, ...], least: int
) -> tuple[float, float, float, float]:
    """Sums over the workloads that have at least `least` outcomes on both sides.

    Returns the sums of the rank test's excess and of its variance, the sum of the ratios of medians weighted by the
    canary's outcomes, and the sum of these weights.  The buckets of a workload need not hold all that was served, so
    failures count in the proportion of the bucketed outcomes; they rank behind every answer.
    """
    excess = spread = ratio = weight = 0.0
    for new, old in zip(canary, others):
        new, old = (
            counts[2:] + [counts[1] * sum(counts[2:]) // counts[0] if counts[0] else counts[1]] for counts in (new, old)
        )
        if min(sum(new), sum(old)) >= least:
            more, variance = rank_test(new, old)
            excess, spread = excess + more, spread + variance
            ratio, weight = ratio + sum(new) * median(new, edges) / median(old, edges), weight + sum(new)
    return excess, spread, ratio, weight


def is_slower(
    canary: list[list[int]], others: list[list[int]], edges: tuple[float, ...], least: int, margin: float, level: float
) -> bool:
    """Whether the canary is slower: its medians are by more than `margin` longer, and the rank test rejects at `level`.

    The rank test is taken workload by workload and its sums are pooled; a failure ranks behind every answer.  Fewer
    than `least` outcomes decide nothing.
    """
    excess, spread, ratio, weight = rank_sums(canary, others, edges, least // 4)
    return weight >= least and ratio > margin * weight and erfc(excess / sqrt(2 * spread)) / 2 < level


def unexplained_failures(canary: list[list[int]], baseline: list[list[int]]) -> list[tuple[int, int, float]]:
    """For each workload, and last for all together: the canary's outcomes, its failures, and the failures expected.

    Expected are as many as at the baseline's failure rate in that workload or in all, whichever is higher: a fault that
    fails everywhere falls on a workload with few outcomes by chance.
    """
    new, old = ([*group, [sum(column) for column in zip(*group)]] for group in (canary, baseline))
    rates = [counts[1] / max(1, counts[0] + counts[1]) for counts in old]
    return [
        (counts[0] + counts[1], counts[1], (counts[0] + counts[1]) * max(rate, rates[-1]))
        for counts, rate in zip(new, rates)
    ]


def is_uncorroborated(failures: dict[int, int], outcomes: dict[int, int], least_expected: int) -> bool:
    """Whether the sender that reported most failures is the only one to see them.

    Both maps go from sender to count.  At that sender's failure rate the others would have seen at least
    `least_expected` failures, and they saw under a tenth of what would be expected.
    """
    accused = max(failures, key=failures.__getitem__)
    elsewhere, most = sum(failures.values()) - failures[accused], outcomes[accused]
    comparable = sum(min(most, many) for many in outcomes.values()) - most
    return bool(failures[accused]) and failures[accused] * comparable >= most * max(least_expected, 10 * elsewhere)


def excess_in_deviations(canary: list[list[int]], others: list[list[int]]) -> float:
    """By how many standard deviations the canary's failures exceed their even share of all failures.

    This is the signed root of the likelihood ratio, which keeps to the scale of a normal deviate where failures are
    few: five for half of one expected are 3.7 and not 6.4, that is by chance one in some thousands, and looks are many.
    Source: Barndorff-Nielsen and Cox, Inference and Asymptotics, 1994.
    """
    (n, failed), (m, rest) = ([sum(counts[at] for counts in group) for at in (0, 1)] for group in (canary, others))
    even = (failed + rest) * (n + failed) / (n + failed + m + rest or 1)
    if not 0 < even < failed + rest:
        return 0.0
    ratio = sum(
        seen * log(seen / expected) for seen, expected in ((failed, even), (rest, failed + rest - even)) if seen
    )
    return sqrt(max(0.0, 2 * ratio)) * (1 if failed > even else -1)


def largest_excess(pool: list, latest: list) -> float:
    """The larger of two excesses of the canary's failures, in standard deviations.

    One is that of all its failures over the baseline's.  The other is that of its latest failures over all that came
    before in both groups, less by as much as the baseline's latest failures rose.
    """
    before = [counts for group in counts_gained(pool, latest)[:2] for counts in group]
    return max(
        excess_in_deviations(*pool[:2]),
        excess_in_deviations(latest[0], before) - max(0.0, excess_in_deviations(latest[1], before)),
    )


def counts_gained(pool: list, old: list | None) -> list:
    """By how much each count of a pool is above that of an older pool; the whole pool if there is no older one."""
    return (
        [[[max(0, new - past) for new, past in zip(*counts)] for counts in zip(*two)] for two in zip(pool, old)]
        if old
        else pool
    )


class GrowthWindows:
    """By how much a pool has grown during recent beats (half seconds).

    There are three windows: the latest `SIZE` beats, the latest `brief` beats, and about the latest minute, for which
    a pool is kept every ten beats.
    """

    SIZE = 12  # pools kept, of every beat and of every tenth

    def __init__(self, brief: int) -> None:
        self.brief = brief
        self.past: list[Any] = [None] * self.SIZE
        self.slow: list[Any] = [None] * self.SIZE

    def advance(self, beat: int, pool: list) -> tuple[list, list, list]:
        """Takes in the pool of this beat; returns the growth over the recent, the brief and the minute's window."""
        recent, brief = (counts_gained(pool, self.past[at % self.SIZE]) for at in (beat, beat - self.brief))
        self.past[beat % self.SIZE] = pool
        if not beat % 10:
            self.slow[beat // 10 % self.SIZE] = pool
        return recent, brief, counts_gained(pool, self.slow[(beat // 10 + 1) % self.SIZE])


class Workload:
    """What the settings say of one workload, and how long its answers take."""

    mean = deviation = 0.0  # of latencies, in tenths of a ms

    def __init__(self, index: int, cell_count: int, settings: dict[str, Any]) -> None:
        self.index = index  # among the workloads of the settings
        self.cells = slice(index * cell_count, (index + 1) * cell_count)  # its counts among those of a group
        self.latency_target = settings["promised"]  # in tenths of a ms
        self.effect = settings["effect"]  # harmless, stamped or one-shot: whether it may run twice
        self.group = settings["group"]  # units that share their memory of stamps: all, zone or cell
        self.memory = settings["memory"]  # for which units remember a stamp, in tenths of a ms
        self.value = settings["payoff"]  # of an answer in time


class Unit:
    """A unit as this relay sees it.  A new start or another build makes a new Unit, cold again."""

    def __init__(self, number: int, build: int, started: int, credited_work: float, order: int) -> None:
        self.number = number
        self.build = build
        self.started = started  # 0: long ago
        self.order = order  # its position in this relay's own order of units: a hash
        self.credit = 1.0  # how much work it may get while it is cold
        self.credited_work = credited_work  # the gate's `warm_work` up to which `credit` has been brought up to date
        self.weight = 1.0
        self.open = True
        self.zone = 0
        self.cell = 0
        self.open_shots = 0  # shots of this relay at the unit
        self.silent_since = 0  # since when shots are open there and none was answered
        self.last_answer_at = -1 << 60
        self.latency_ratio = 1.0  # moving average of its latencies over their workload's mean
        self.error_rate = 0.0  # moving average of the errors among its answers
        self.util = 0.0
        self.queue = 0.0
        self.load_reported_at = 0  # when it reported `util` and `queue`
        self.ejected_until = 0
        self.ejection_time = 0  # of its latest ejection; 0 once it has served again
        # Shots that broke off or found no connection since it last answered.  One alone may be the connection's fault
        # (all units were ejected where connections broke everywhere); one that took long counts twice.
        self.connection_failures = 0


def split_by_trial(ordered: list[Unit], on_trial: Callable[[int], bool]) -> tuple[list[Unit], list[Unit]]:
    """The units of earlier builds and those of builds on trial, each in the given order.

    They are grouped by build first: there are few builds, and thousands of units.
    """
    rows: dict[int, list[Unit]] = {}
    for unit in ordered:
        rows.setdefault(unit.build, []).append(unit)
    sides = ([row for build, row in rows.items() if on_trial(build) == new] for new in (False, True))
    old, new = (each[0] if len(each) == 1 else sorted(chain(*each), key=lambda unit: unit.order) for each in sides)
    return old, new


class UnitLoad:
    """What relays have reported of their shots at one unit, as the load tracker keeps it."""

    def __init__(self) -> None:
        self.by_sender: dict[int, tuple[int, int, int]] = {}  # relay -> count of its message, its shots there, when
        self.open_shots = 0  # of all relays
        self.assigned: list[tuple[int, int]] = []  # relay that was given this unit (-1: and reported the shot), when
        self.latency_ratio = 1.0  # both as in Unit
        self.error_rate = 0.0

    def update(self, sender: int, count: int, open_shots: int, came: int, now: int) -> None:
        """Takes a load message in (fields: `load_message` in tealsail/peer_messages.py).

        Messages may overtake each other.  The newer of two has the higher count, of 16 bits that wrap round.
        """
        before = self.by_sender.get(sender)
        if before is None or (count - before[0]) & 0xFFFF < 0x8000:
            self.open_shots += open_shots - (before[1] if before else 0)
            self.by_sender[sender] = count, open_shots, now
            if not came:  # a shot was sent: it is among the reported ones now, and must not be counted twice
                self.assigned = [(-1, each[1]) if each[0] == sender else each for each in self.assigned]
        if came:
            self.error_rate += 0.15 * ((came == 255) - self.error_rate)
            self.latency_ratio += 0.1 * (min(8.0, came / 16) - self.latency_ratio) * (came < 255)

    def expected_shots(self, since: int, reported_weight: float) -> float:
        """Shots reported, and shots assigned since then; of an assigned shot that was reported, `reported_weight`."""
        self.assigned = [each for each in self.assigned if each[1] > since]
        return self.open_shots + sum(reported_weight if sender < 0 else 1 for sender, _ in self.assigned)


def drop_stale_senders(loads: dict[int, UnitLoad], before: int) -> defaultdict[int, UnitLoad]:
    """The loads without relays that last reported before then, and without units of which no relay reports.

    Such relays are dead, or report to another tracker.
    """
    kept = defaultdict(UnitLoad)
    for unit, load in loads.items():
        load.by_sender = {sender: each for sender, each in load.by_sender.items() if each[2] > before}
        load.open_shots = sum(open_shots for _, open_shots, _ in load.by_sender.values())
        if load.by_sender:
            kept[unit] = load
    return kept


def warm_and_cold_capacity(row: list[Unit], warm_from: int, warmth: Callable[[Unit], float]) -> tuple[float, float]:
    """The weight of a row's warm units, and the least capacity of its cold ones in units of weight.

    Units started by `warm_from` are warm.  One pass, since there may be thousands of units.
    """
    warm = warming = 0.0
    for unit in row:
        able = warmth(unit) if unit.started > warm_from and unit.started else 1.0
        if able >= 1:
            warm += unit.weight
        else:
            warming += unit.weight * able
    return warm, warming


class Invocation:
    """A client's request, and the shots that were sent for it.  `deadline` is when its client stops waiting.

    `size` is its work over the usual work; `repeat` says that the client has marked it as a repeat.
    """

    def __init__(self, number: int, workload: Any, customer: int, deadline: int, size: float, repeat: bool) -> None:
        self.number = number
        self.workload = workload
        self.customer = customer
        self.deadline = deadline
        self.size = size
        self.repeat = repeat
        self.shots: list[Shot] = []
        self.is_over = False
        self.taken_at = 0
        self.cold_draw = 1.0  # uniform in [0, 1): a cold unit may get the invocation if it is under its share
        self.tier: int | None = None  # the tier of zones that was drawn, where there are tiers
        self.asked_shot = 0  # number, from 1, of the latest shot for which the load tracker was asked
        self.candidates = []  # the units that it was asked about
        self.recommended = None  # the unit that it named
        self.has_unconfirmed_failure = False  # failed by a unit of a build that is alone: counts if another serves it
        self.drawn_for_trial: bool | None = None  # drawn for the build on trial, or not; None: a further shot

    def open_shots(self) -> int:
        """How many of its shots have not ended."""
        return sum(not shot.ended for shot in self.shots)

    def may_have_run(self) -> "Shot | None":
        """The first shot that may have run, or may yet."""
        return next((shot for shot in self.shots if not shot.never_ran), None)


class Shot:
    """One attempt at a unit.  `group` are the counts that its outcome goes into, None if it is no evidence."""

    def __init__(self, invocation: Invocation, unit: Unit, now: int, group: list[int] | None, warmth: float) -> None:
        self.invocation = invocation
        self.unit = unit
        self.sent_at = now
        self.group = group
        self.warmth = warmth  # of the unit when the shot was sent
        self.written_at: int | None = None  # as far as the host says so
        self.ended = self.never_ran = self.is_withheld = False


class ChainStage:
    """A stage of the chain that an invocation passes through.

    `forward` takes the invocation on its way to a unit, and tells whether it was sent or ended.  `backward` takes the
    outcome of a shot the other way, through the same stages.  `next` and `before` are the neighbours in the chain.
    """

    next: Any
    before: Any

    def __init__(self, relay: Any) -> None:
        self.relay = relay
        self.settings = relay.settings

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Passes the outcome on; `latency` in tenths of a ms."""
        self.before.backward(shot, outcome, latency)


def connect(*stages: ChainStage) -> None:
    """Links stages to each other, in this order."""
    for before, after in zip(stages, stages[1:]):
        before.next, after.before = after, before
