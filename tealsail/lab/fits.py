"""Fits the model's parameters to records, each with bootstrap draws, so that error bars include their uncertainty.

The bootstrap has two steps: a draw takes one of the records and then resamples its shots.  With records of several days
it thus includes the differences between days of one machine, which the shots of a single day can't show.

The work of a workload is fitted by the quantiles of the observed values if there are enough of them, else by a
lognormal of maximum likelihood.  If a record has the units' own lines (ran, done), the work of a shot is its share of
the cores summed over its time, however many other shots ran beside it; if it has only a relay's lines, the durations of
shots that were alone at their unit are used.  Shots at cold units are left out.  A build's pace is the ratio of its
mean work to that of the record's first build, workload by workload.  The overhead is the time that the relay and the
sockets add: from a client's intended send to the unit, and from the unit to the client.
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
    UnitEvent,
)
from ..world.random_draws import QUANTILE_STEPS
from .scenario import BadScenario, Scenario, convert, merge

FEW_SHOTS = 200  # with fewer, the note of the fit says so
MIN_SHOTS_FOR_QUANTILES = 400  # with fewer, a lognormal is fitted
MAX_VALUES = 200_000  # kept for one workload and build
TABLE_SIZE = 129  # quantiles of a fitted table
MAX_OVERHEADS = 20_000  # latest ones kept of a record


class WorkloadFit(msgspec.Struct):
    """Work of a workload, in ms of one core; `draws` holds a table of quantiles for each bootstrap draw."""

    name: str
    shots: int
    mean_ms: float
    mean_bar: tuple[float, float]
    cv: float
    note: str
    quantiles_ms: list[float]
    draws: list[list[float]]


class BuildFit(msgspec.Struct):
    """Pace of a build, relative to the first build of the records, and its share of errors; `paces` and `shares` hold
    the bootstrap draws of both."""

    build: int
    shots: int
    pace: float
    pace_bar: tuple[float, float]
    paces: list[float]
    errors: float
    errors_bar: tuple[float, float]
    shares: list[float]


class Fit(msgspec.Struct):
    """The file that `record fit --json` writes.  `there_ms` and `back_ms`: overhead of the relay and the sockets on the
    way to a unit and back (0: not known); `overheads`: both by bootstrap draw."""

    source: str
    version: int
    workloads: list[WorkloadFit]
    builds: list[BuildFit]
    there_ms: float = 0.0
    back_ms: float = 0.0
    overheads: list[tuple[float, float]] = []


class Observations:
    """Collects what a fit needs from a record's lines, in bounded memory.  Times are tenths of a ms."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.work: dict[tuple[int, int], list[int]] = {}  # workload and build -> work
        self.answers: dict[int, list[int]] = {}  # build -> answers, errors among them
        self.invocations: dict[
            tuple[int, int], tuple[int, int]
        ] = {}  # relay, number -> workload, start of the overhead
        # relay, number and place of a shot in flight -> unit, build, start, whether its work can be fitted
        self.in_flight: dict[tuple[int, int, int], tuple[str, int, int, bool]] = {}
        self.shots_at_unit: dict[str, int] = {}  # shots in flight at each unit
        self.virtual_time: dict[str, list[float]] = {}  # unit -> its virtual time, and the time of the last update
        self.virtual_start: dict[tuple[int, int, int], float] = {}  # shot -> its unit's virtual time at its start
        self.warm_from: dict[str, int] = {}
        self.builds: dict[str, int] = {}
        self.has_unit_lines = False  # whether the record has the units' own lines
        self.warm_up, self.cores, self.slots = 0, 1.0, 1
        self.outward_delays: deque[int] = deque(maxlen=MAX_OVERHEADS)
        self.return_delays: deque[int] = deque(maxlen=MAX_OVERHEADS)
        self.answered_at: dict[tuple[int, int], int] = {}  # relay, number -> when a unit last answered

    def __call__(self, line: Any) -> None:
        match line:
            case Head():
                self.head = line
                self.warm_up = int(line.settings.get("warm_up", 0))
                self.cores = float(line.day.get("unit", {}).get("cores", 1.0))
                self.slots = int(line.day.get("unit", {}).get("slots", 1))
            case UnitEvent(at, unit, build, _, "runs"):
                self.warm_from[unit], self.builds[unit] = (at + self.warm_up if at else 0), build
                self.shots_at_unit[unit] = 0
            case EntryReceived(_, _, unit, build, "open", started) if not self.has_unit_lines:
                self.warm_from[unit], self.builds[unit] = (started + self.warm_up if started else 0), build
            case InvocationTaken(at, relay, number, intended, workload, first=first):
                self.invocations[relay, number] = workload, intended if first == number else at
            case ShotSent(at, relay, number, place, unit, build) if not self.has_unit_lines:
                self.start_shot((relay, number, place), at, unit, build)
            case ShotStarted(at, relay, number, place, unit):
                if not self.has_unit_lines:  # shots in the relays' lines up to here are not those of the units
                    self.has_unit_lines, self.in_flight, self.shots_at_unit = True, {}, {}
                self.start_shot((relay, number, place), at, unit, self.builds.get(unit, 0))
                invocation = self.invocations.get((relay, number))
                if invocation and place == 0:
                    self.outward_delays.append(at - invocation[1])
            case ShotAnswered(at, relay, number, place, _, outcome):
                self.end_shot((relay, number, place), at, outcome)
                self.answered_at[relay, number] = at
            case ShotEnded(at, relay, number, place, outcome):
                if not self.has_unit_lines or (relay, number, place) in self.in_flight:
                    self.end_shot((relay, number, place), at, outcome)
            case InvocationEnded(at, relay, number, answer):
                self.invocations.pop((relay, number), None)
                answered_at = self.answered_at.pop((relay, number), None)
                if answered_at is not None and answer in ("served", "wrong"):
                    self.return_delays.append(at - answered_at)

    def start_shot(self, shot: tuple[int, int, int], at: int, unit: str, build: int) -> None:
        """Notes the start of a shot (relay, number, place) and whether its work can be fitted."""
        others = self.shots_at_unit.get(unit, 0)
        if self.has_unit_lines:
            self.virtual_start[shot] = self.advance(unit, at)
        self.shots_at_unit[unit] = others + 1
        is_usable = (others < self.slots if self.has_unit_lines else not others) and at >= self.warm_from.get(unit, 0)
        self.in_flight[shot] = unit, build, at, is_usable

    def advance(self, unit: str, at: int) -> float:
        """Advances and returns a unit's virtual time, in which all shots at the unit progress alike."""
        unit_time = self.virtual_time.setdefault(unit, [0.0, at])
        count = self.shots_at_unit.get(unit, 0)
        unit_time[0] += (at - unit_time[1]) * (min(1.0, self.cores / count) if count else 1.0)
        unit_time[1] = at
        return unit_time[0]

    def end_shot(self, shot: tuple[int, int, int], at: int, outcome: str) -> None:
        """Counts the outcome of a shot and keeps its work, if it can be fitted."""
        begun = self.in_flight.pop(shot, None)
        if begun is None:
            return
        unit, build, sent, is_usable = begun
        work = self.advance(unit, at) - self.virtual_start.pop(shot) if shot in self.virtual_start else at - sent
        self.shots_at_unit[unit] = max(0, self.shots_at_unit.get(unit, 1) - 1)
        if outcome in ("served", "wrong", "error"):
            counts = self.answers.setdefault(build, [0, 0])
            counts[0] += 1
            counts[1] += outcome == "error"
        invocation = self.invocations.get(shot[:2])
        if outcome in ("served", "wrong") and is_usable and invocation:
            values = self.work.setdefault((invocation[0], build), [])
            if len(values) < MAX_VALUES:
                values.append(max(1, round(work)))


def quantiles(values: numpy.ndarray, use_lognormal: bool) -> list[float]:
    """TABLE_SIZE quantiles in ms at equal steps of probability, of the values (tenths of a ms) or, with
    `use_lognormal`, of their lognormal of maximum likelihood, whose ends are cut at a quarter of the step of the
    model's tables."""
    parts = numpy.linspace(0, 1, TABLE_SIZE)
    if not use_lognormal:
        return [round(float(each) / 10, 4) for each in numpy.quantile(values, parts)]
    logs = numpy.log(values)
    centre, spread = float(logs.mean()), float(logs.std())
    from statistics import NormalDist

    normal = NormalDist(centre, max(spread, 1e-6))
    margin = 0.25 / QUANTILE_STEPS
    return [round(exp(normal.inv_cdf(min(max(float(part), margin), 1 - margin))) / 10, 4) for part in parts]


def interval(values: list[float]) -> tuple[float, float]:
    """The central 95% of bootstrap draws."""
    return float(numpy.quantile(values, 0.025)), float(numpy.quantile(values, 0.975))


def observe(path: Path | str) -> Observations:
    """Observations of one record.  Raises Unreadable for a file that is not a record, ValueError if no shot can be
    fitted."""
    observations = Observations()
    for line in read(path):
        observations(line)
    if not observations.work:
        raise ValueError(f"{path}: no shot was served alone at a warm unit: nothing to fit")
    return observations


def work_values(days: list[Observations], workload: int, build: int) -> list[numpy.ndarray]:
    """Work of a workload and build, an array for each day that has any."""
    return [
        numpy.array(observations.work[workload, build], dtype=float)
        for observations in days
        if observations.work.get((workload, build))
    ]


def fit(paths: Path | str | list[Path | str], draws: int = 20, seed: int = 1) -> Fit:
    """Fits one record or several of the same fleet.  Raises Unreadable and ValueError as `observe`, and ValueError for
    records with different workloads."""
    paths = paths if isinstance(paths, list) else [paths]
    days = [observe(path) for path in paths]
    random = numpy.random.default_rng(seed)
    names = [each.get("name", str(place)) for place, each in enumerate(days[0].head.settings.get("workloads", []))]
    for path, observations in zip(paths, days):
        if [
            each.get("name", str(place)) for place, each in enumerate(observations.head.settings.get("workloads", []))
        ] != names:
            raise ValueError(f"{path}: other workloads than in {paths[0]}")
    base = min(build for observations in days for _, build in observations.work)
    chosen = [days[place] for place in random.integers(0, len(days), draws)]  # the day of each draw
    workloads = []
    for place, name in enumerate(names):
        by_day = work_values(days, place, base)
        if not by_day:
            continue
        values = numpy.concatenate(by_day)
        use_lognormal = len(values) < MIN_SHOTS_FOR_QUANTILES
        resamples = [resample(work_values([observations], place, base) or by_day, random) for observations in chosen]
        note = (
            "few shots: wide; a lognormal by maximum likelihood"
            if use_lognormal and len(values) < FEW_SHOTS
            else "a lognormal by maximum likelihood"
            if use_lognormal
            else "as seen"
        )
        workloads.append(
            WorkloadFit(
                name,
                len(values),
                round(float(values.mean()) / 10, 4),
                interval([float(each.mean()) / 10 for each in resamples]),
                float(values.std() / values.mean()),
                note,
                quantiles(values, use_lognormal),
                [quantiles(each, use_lognormal) for each in resamples],
            )
        )
    numbers = sorted({build for observations in days for build in observations.answers} - {base})
    builds = [fit_build(days, chosen, build, base, random) for build in numbers]
    source = ", ".join(Path(path).name for path in paths)
    return Fit(
        source,
        2,
        workloads,
        [each for each in builds if each],
        float(numpy.median([each for observations in days for each in observations.outward_delays] or [0])) / 10,
        float(numpy.median([each for observations in days for each in observations.return_delays] or [0])) / 10,
        [overhead(observations) for observations in chosen]
        if all(observations.outward_delays and observations.return_delays for observations in days)
        else [],
    )


def overhead(observations: Observations) -> tuple[float, float]:
    """Median overheads of one day in ms, to units and back."""
    return float(numpy.median(observations.outward_delays)) / 10, float(numpy.median(observations.return_delays)) / 10


def resample(by_day: list[numpy.ndarray], random: numpy.random.Generator) -> numpy.ndarray:
    """As many values as there are on all days, drawn with replacement."""
    values = numpy.concatenate(by_day)
    return values[random.integers(0, len(values), len(values))]


def fit_build(
    days: list[Observations], chosen: list[Observations], build: int, base: int, random: numpy.random.Generator
) -> BuildFit | None:
    """Pace over the workloads that both builds served on the same day, a geometric mean weighted by the square root of
    the build's shots; errors with draws from Beta(errors + 1/2, other answers + 1/2).  None if no day has both."""
    all_pairs = work_pairs(days, build, base)
    if not all_pairs:
        return None

    def pace(pairs: list[tuple[numpy.ndarray, numpy.ndarray]], is_draw: bool) -> float:
        ratio = weight = 0.0
        for new, old in pairs:
            if is_draw:
                new, old = (resample([each], random) for each in (new, old))
            root = sqrt(len(new))
            ratio, weight = ratio + root * log(new.mean() / old.mean()), weight + root
        return exp(ratio / weight)

    def count_answers(which: list[Observations]) -> tuple[int, int]:
        rows = [observations.answers.get(build, [0, 0]) for observations in which]
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    answers, errors = count_answers(days)
    paces = [round(pace(work_pairs([observations], build, base) or all_pairs, True), 4) for observations in chosen]
    shares = []
    for observations in chosen:
        day_answers, day_errors = (
            count_answers([observations]) if count_answers([observations])[0] else (answers, errors)
        )
        shares.append(round(float(random.beta(day_errors + 0.5, day_answers - day_errors + 0.5)), 6))
    return BuildFit(
        build,
        sum(len(new) for new, _ in all_pairs),
        round(pace(all_pairs, False), 4),
        interval(paces),
        paces,
        round(errors / answers, 6),
        interval(shares),
        shares,
    )


def work_pairs(days: list[Observations], build: int, base: int) -> list[tuple[numpy.ndarray, numpy.ndarray]]:
    """Work of a build and of the base, for each day and workload that both served."""
    return [
        (numpy.array(values, dtype=float), numpy.array(observations.work[place, base], dtype=float))
        for observations in days
        for (place, each), values in observations.work.items()
        if each == build and observations.work.get((place, base))
    ]


def drawn(scenario: Scenario, many: int) -> list[Scenario]:
    """Scenarios of `many` replicas; if the scenario names a fit, each has a bootstrap draw of its own."""
    if not scenario.fit:
        return [scenario] * many
    fitted = read_fit(scenario.fit)
    return [apply_draw(scenario, fitted, replica) for replica in range(many)]


def read_fit(path: str) -> Fit:
    """Reads a fit's file.  Raises BadScenario."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Fit)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise BadScenario(f"fit: {path}: {problem}") from None


def apply_draw(scenario: Scenario, fitted: Fit, draw: int) -> Scenario:
    """The scenario with one bootstrap draw of the fit: work of the workloads, builds marked `fitted`, and the overhead,
    which takes the place of the network's latencies.  Raises BadScenario for such a build that the fit lacks."""
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
        outward_ms, return_ms = overheads[draw % len(overheads)]
        clients = {
            "clients": {"there_ms": outward_ms, "back_ms": return_ms},
            "network": {"near_ms": 0.0, "far_ms": 0.0, "handshake_ms": 0.0},
        }
    return convert(merge(tree, clients) | {"fit": ""}, scenario.name)
