"""Fits the model's parameters from records, each with bootstrap draws of it, so that bars hold what is not known.

A draw takes one of the records and then draws from its shots again (a bootstrap in two steps): with records of several
days it holds what differs between days of one machine, which the shots of a single day can't tell.

Work by workload: the quantiles of what was seen where there is enough of it, else a lognormal by maximum likelihood.
Where a record has the units' own lines (ran, done), each shot's share of the cores is summed up over its time: its
work, whatever company it had; where it has a relay's alone, the time of shots that found their unit without any other
counts. Cold units are left out.  A build's pace is the ratio of its mean to that of the build before, workload by
workload. The overhead is what the relay and the sockets add: from a client's intended send to the unit, and from the
unit to it.
"""

from collections import deque
from math import exp, log, sqrt
from pathlib import Path
from typing import Any

import msgspec
import numpy

from ..record.files import read
from ..record.lines import (
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    ShotAnswered,
    ShotEnded,
    ShotSent,
    ShotStarted,
    Unit,
)
from ..world.random_draws import QUANTILE_STEPS
from .scenario import BadScenario, Scenario, convert, over

FEW, ENOUGH = 200, 400  # shots: fewer are said to be few; from so many quantiles count
MOST = 200_000  # values kept of one workload and build
QUANTILES = 129  # of a fitted table
OVERHEADS = 20_000


class WorkloadFit(msgspec.Struct):
    """Milliseconds; `draws` holds a quantile table for each bootstrap draw."""

    name: str
    shots: int
    mean_ms: float
    mean_bar: tuple[float, float]
    cv: float
    note: str
    quantiles_ms: list[float]
    draws: list[list[float]]


class BuildFit(msgspec.Struct):
    """Against the first build of the record."""

    build: int
    shots: int
    pace: float
    pace_bar: tuple[float, float]
    paces: list[float]
    errors: float
    errors_bar: tuple[float, float]
    shares: list[float]


class Fit(msgspec.Struct):
    """`there_ms` and `back_ms`: what the relay and the sockets add, on the way to a unit and back (0: not known);
    `overheads` the same by draw."""

    source: str
    version: int
    workloads: list[WorkloadFit]
    builds: list[BuildFit]
    there_ms: float = 0.0
    back_ms: float = 0.0
    overheads: list[tuple[float, float]] = []


class Seen:
    """Collects what a fit needs, from a record's lines, in bounded memory."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.times: dict[tuple[int, int], list[int]] = {}  # workload and build -> tenths of a ms
        self.answers: dict[int, list[int]] = {}  # build -> answers, errors
        self.workload: dict[tuple[int, int], tuple[int, int]] = {}  # relay, number -> workload, taken at
        self.out: dict[tuple[int, int, int], tuple[str, int, int, bool]] = {}  # shot -> unit, build, sent, alone
        self.at_unit: dict[str, int] = {}
        self.own_time: dict[str, list[float]] = {}  # unit -> its own time, and up to when that has gone on
        self.begun_own: dict[tuple[int, int, int], float] = {}  # shot -> its unit's own time at its start
        self.warm_from: dict[str, int] = {}
        self.builds: dict[str, int] = {}
        self.own = False  # the record has the units' own lines
        self.warm_up, self.cores, self.slots = 0, 1.0, 1
        self.there: deque[int] = deque(maxlen=OVERHEADS)
        self.back: deque[int] = deque(maxlen=OVERHEADS)
        self.given: dict[tuple[int, int], int] = {}

    def __call__(self, line: Any) -> None:
        match line:
            case Head():
                self.head = line
                self.warm_up = int(line.facts.get("warm_up", 0))
                self.cores = float(line.day.get("unit", {}).get("cores", 1.0))
                self.slots = int(line.day.get("unit", {}).get("slots", 1))
            case Unit(at, unit, build, _, "runs"):
                self.warm_from[unit], self.builds[unit] = (at + self.warm_up if at else 0), build
                self.at_unit[unit] = 0
            case EntryReceived(_, _, unit, build, "open", started) if not self.own:
                self.warm_from[unit], self.builds[unit] = (started + self.warm_up if started else 0), build
            case InvocationTaken(at, relay, number, intended, workload, first=first):
                self.workload[relay, number] = workload, intended if first == number else at
            case ShotSent(at, relay, number, place, unit, build) if not self.own:
                self.began((relay, number, place), at, unit, build)
            case ShotStarted(at, relay, number, place, unit):
                if not self.own:  # what relays sent before does not count in the units' own lines
                    self.own, self.out, self.at_unit = True, {}, {}
                self.began((relay, number, place), at, unit, self.builds.get(unit, 0))
                taken = self.workload.get((relay, number))
                if taken and place == 0:
                    self.there.append(at - taken[1])
            case ShotAnswered(at, relay, number, place, _, outcome):
                self.ended((relay, number, place), at, outcome)
                self.given[relay, number] = at
            case ShotEnded(at, relay, number, place, outcome):
                if not self.own or (relay, number, place) in self.out:
                    self.ended((relay, number, place), at, outcome)
            case InvocationEnded(at, relay, number, answer):
                self.workload.pop((relay, number), None)
                given = self.given.pop((relay, number), None)
                if given is not None and answer in ("served", "wrong"):
                    self.back.append(at - given)

    def began(self, shot: tuple[int, int, int], at: int, unit: str, build: int) -> None:
        beside = self.at_unit.get(unit, 0)
        if self.own:
            self.begun_own[shot] = self.advance(unit, at)
        self.at_unit[unit] = beside + 1
        fit = (beside < self.slots if self.own else not beside) and at >= self.warm_from.get(unit, 0)
        self.out[shot] = unit, build, at, fit

    def advance(self, unit: str, at: int) -> float:
        """A unit's own time, in which all that it works on progresses alike."""
        known = self.own_time.setdefault(unit, [0.0, at])
        many = self.at_unit.get(unit, 0)
        known[0] += (at - known[1]) * (min(1.0, self.cores / many) if many else 1.0)
        known[1] = at
        return known[0]

    def ended(self, shot: tuple[int, int, int], at: int, outcome: str) -> None:
        begun = self.out.pop(shot, None)
        if begun is None:
            return
        unit, build, sent, alone = begun
        taken_so_far = self.advance(unit, at) - self.begun_own.pop(shot) if shot in self.begun_own else at - sent
        self.at_unit[unit] = max(0, self.at_unit.get(unit, 1) - 1)
        if outcome in ("served", "wrong", "error"):
            counts = self.answers.setdefault(build, [0, 0])
            counts[0] += 1
            counts[1] += outcome == "error"
        taken = self.workload.get(shot[:2])
        if outcome in ("served", "wrong") and alone and taken:
            kept = self.times.setdefault((taken[0], build), [])
            if len(kept) < MOST:
                kept.append(max(1, round(taken_so_far)))


def quantiles(values: numpy.ndarray, likely: bool) -> list[float]:
    """Milliseconds, at even steps; by the values themselves, or (`likely`) by the lognormal most likely for them."""
    parts = numpy.linspace(0, 1, QUANTILES)
    if not likely:
        return [round(float(each) / 10, 4) for each in numpy.quantile(values, parts)]
    logs = numpy.log(values)
    centre, spread = float(logs.mean()), float(logs.std())
    from statistics import NormalDist

    normal = NormalDist(centre, max(spread, 1e-6))
    edge = 0.25 / QUANTILE_STEPS
    return [round(exp(normal.inv_cdf(min(max(float(part), edge), 1 - edge))) / 10, 4) for part in parts]


def interval(values: list[float]) -> tuple[float, float]:
    """The middle 95% of bootstrap draws."""
    return float(numpy.quantile(values, 0.025)), float(numpy.quantile(values, 0.975))


def seen_in(path: Path | str) -> Seen:
    """Raises Unreadable for no record, ValueError for one in which nothing was served."""
    seen = Seen()
    for line in read(path):
        seen(line)
    if not seen.times:
        raise ValueError(f"{path}: no shot was served alone at a warm unit: nothing to fit")
    return seen


def values_of(days: list[Seen], workload: int, build: int) -> list[numpy.ndarray]:
    """By day; those that saw any."""
    return [numpy.array(seen.times[workload, build], dtype=float) for seen in days if seen.times.get((workload, build))]


def fit(paths: Path | str | list[Path | str], draws: int = 20, seed: int = 1) -> Fit:
    """From a record or several of the same fleet.  Raises as `seen_in`, and ValueError where they don't belong
    together."""
    paths = paths if isinstance(paths, list) else [paths]
    days = [seen_in(path) for path in paths]
    chance = numpy.random.default_rng(seed)
    names = [each.get("name", str(place)) for place, each in enumerate(days[0].head.facts.get("workloads", []))]
    for path, seen in zip(paths, days):
        if [each.get("name", str(place)) for place, each in enumerate(seen.head.facts.get("workloads", []))] != names:
            raise ValueError(f"{path}: other workloads than in {paths[0]}")
    base = min(build for seen in days for _, build in seen.times)
    chosen = [days[place] for place in chance.integers(0, len(days), draws)]  # of each draw its day
    workloads = []
    for place, name in enumerate(names):
        by_day = values_of(days, place, base)
        if not by_day:
            continue
        values = numpy.concatenate(by_day)
        likely = len(values) < ENOUGH
        again = [resampled(values_of([seen], place, base) or by_day, chance) for seen in chosen]
        note = (
            "few shots: wide; a lognormal by maximum likelihood"
            if likely and len(values) < FEW
            else "a lognormal by maximum likelihood"
            if likely
            else "as seen"
        )
        workloads.append(
            WorkloadFit(
                name,
                len(values),
                round(float(values.mean()) / 10, 4),
                interval([float(each.mean()) / 10 for each in again]),
                float(values.std() / values.mean()),
                note,
                quantiles(values, likely),
                [quantiles(each, likely) for each in again],
            )
        )
    numbers = sorted({build for seen in days for build in seen.answers} - {base})
    builds = [build_fit(days, chosen, build, base, chance) for build in numbers]
    source = ", ".join(Path(path).name for path in paths)
    return Fit(
        source,
        2,
        workloads,
        [each for each in builds if each],
        float(numpy.median([each for seen in days for each in seen.there] or [0])) / 10,
        float(numpy.median([each for seen in days for each in seen.back] or [0])) / 10,
        [overhead(seen) for seen in chosen] if all(seen.there and seen.back for seen in days) else [],
    )


def overhead(seen: Seen) -> tuple[float, float]:
    """Medians of one day, in ms."""
    return float(numpy.median(seen.there)) / 10, float(numpy.median(seen.back)) / 10


def resampled(by_day: list[numpy.ndarray], chance: numpy.random.Generator) -> numpy.ndarray:
    values = numpy.concatenate(by_day)
    return values[chance.integers(0, len(values), len(values))]


def build_fit(
    days: list[Seen], chosen: list[Seen], build: int, base: int, chance: numpy.random.Generator
) -> BuildFit | None:
    """Pace over the workloads that both builds served on one day, weighted by the root of the shots there are."""
    whole = paired(days, build, base)
    if not whole:
        return None

    def pace(pairs: list[tuple[numpy.ndarray, numpy.ndarray]], again: bool) -> float:
        ratio = weight = 0.0
        for new, old in pairs:
            if again:
                new, old = (resampled([each], chance) for each in (new, old))
            heavy = sqrt(len(new))
            ratio, weight = ratio + heavy * log(new.mean() / old.mean()), weight + heavy
        return exp(ratio / weight)

    def answers(which: list[Seen]) -> tuple[int, int]:
        rows = [seen.answers.get(build, [0, 0]) for seen in which]
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    many, bad = answers(days)
    paces = [round(pace(paired([seen], build, base) or whole, True), 4) for seen in chosen]
    shares = []
    for seen in chosen:
        of_day, bad_of_day = answers([seen]) if answers([seen])[0] else (many, bad)
        shares.append(round(float(chance.beta(bad_of_day + 0.5, of_day - bad_of_day + 0.5)), 6))
    return BuildFit(
        build,
        sum(len(new) for new, _ in whole),
        round(pace(whole, False), 4),
        interval(paces),
        paces,
        round(bad / many, 6),
        interval(shares),
        shares,
    )


def paired(days: list[Seen], build: int, base: int) -> list[tuple[numpy.ndarray, numpy.ndarray]]:
    """What a build and the base took of each workload that both served on one day."""
    return [
        (numpy.array(values, dtype=float), numpy.array(seen.times[place, base], dtype=float))
        for seen in days
        for (place, each), values in seen.times.items()
        if each == build and seen.times.get((place, base))
    ]


def drawn(scenario: Scenario, many: int) -> list[Scenario]:
    """So many replicas; where the scenario names a fit, each with a draw of its own of what was fitted."""
    if not scenario.fit:
        return [scenario] * many
    fitted = load(scenario.fit)
    return [applied(scenario, fitted, replica) for replica in range(many)]


def load(path: str) -> Fit:
    """Raises BadScenario."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Fit)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise BadScenario(f"fit: {path}: {problem}") from None


def applied(scenario: Scenario, fitted: Fit, draw: int) -> Scenario:
    """The scenario with one draw of what was fitted: work by workload, builds marked `fitted`, and the overhead."""
    works = {each.name: each for each in fitted.workloads}
    builds = {each.build: each for each in fitted.builds}
    tree = scenario.plain()
    for workload in tree["workload"]:
        each = works.get(workload["name"])
        if each and each.draws:
            workload["work"] = {"quantiles_ms": each.draws[draw % len(each.draws)]}
    for build in tree["builds"]:
        each = builds.get(build["number"])
        if build["fitted"] and each is None:
            raise BadScenario(f"builds: {build['number']} is not in the fit {scenario.fit}")
        if build["fitted"]:
            build |= {"pace": each.paces[draw % len(each.paces)], "errors": each.shares[draw % len(each.shares)]}
    clients = {}
    if fitted.there_ms:
        overheads = fitted.overheads or [(fitted.there_ms, fitted.back_ms)]
        there, back = overheads[draw % len(overheads)]
        clients = {
            "clients": {"there_ms": there, "back_ms": back},
            "network": {"near_ms": 0.0, "far_ms": 0.0, "handshake_ms": 0.0},
        }
    return convert(over(tree, clients) | {"fit": ""}, scenario.name)
