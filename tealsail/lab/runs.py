"""Runs of the model: one day, many days of options in several processes, and the differences between two options."""

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any, NamedTuple

from ..parts import stable_hash
from ..record.files import Writer, read
from ..record.lines import AnyLine, RecordEnd
from ..setup.document import convert
from ..world.evenness import Evenness
from ..world.rules import MOST_BREACHES_KEPT, Breach, RuleChecker, Slack
from ..world.spill import SpillChecker
from .bars import Bar, Difference, bars, differences
from .figures import Figures, Result
from .scenario import Scenario
from .virtual import Model

Progress = Callable[[int, int], None]  # called with the days done and their total


def day_seed(scenario: Scenario, replica: int) -> int:
    """The seed of one replica's day; options with the same scenario seed get the same."""
    return stable_hash(scenario.seed, replica, 11) >> 2


class RecordEvaluation:
    """Evaluates a record line by line: figures, rules, the operator's limit on spill, and how even the load was."""

    def __init__(self, day: dict[str, Any], slack: Slack = Slack()) -> None:
        self.figures, self.rules, self.spill, self.evenness = (
            Figures(),
            RuleChecker(slack),
            create_spill_checker(day),
            Evenness(),
        )
        self.listeners = [each for each in (self.figures, self.rules, self.spill, self.evenness) if each]

    def __call__(self, line: AnyLine) -> None:
        for listener in self.listeners:
            listener(line)

    @property
    def breaches(self) -> list[Breach]:
        return self.rules.breaches

    def result(self, late: int) -> Result:
        """The day's result, once its record has ended; `late`: the worst lateness of the player, in tenths of a ms."""
        rules, spill = self.rules, self.spill
        rules.close()
        broken = {name: count for name, count in rules.counts.items() if count}
        if spill and spill.breaches:
            broken["spill"] = spill.breaches
        result = self.figures.result(broken, late)
        if spill:
            result.figures["spill_peak"] = max(spill.peaks.values(), default=0.0)
        if rules.cold_by_second:
            result.series["cold"] = [
                rules.cold_by_second.get(second, 0.0) for second in range(len(result.series["asked"]))
            ]
        self.evenness.close()
        result.figures.update(self.evenness.figures())
        result.use, result.owners = self.evenness.use(), self.evenness.owners
        return result


def play(scenario: Scenario, seed: int, record: Path | str | None = None) -> tuple[Result, list[Breach]]:
    """Plays one day in virtual time and checks the rules; writes its record to the path `record`, if given."""
    evaluation = RecordEvaluation(scenario.plain())
    writer = Writer(record) if record else None
    model = Model(scenario, seed, [*evaluation.listeners, *([writer] if writer else [])])
    try:
        model.play()
    finally:
        if writer:
            writer.close()
    result = evaluation.result(0)
    if model.faults:
        result.breaches["faults"] = model.faults
    return result, evaluation.breaches


def evaluate_record(path: Path | str, slack: Slack = Slack()) -> tuple[Result, list[Breach]]:
    """Figures and broken rules of a recorded day.  Raises Unreadable for a file that is not a record."""
    evaluation, late = None, 0
    for line in read(path):
        if evaluation is None:  # a record's first line is its head
            evaluation = RecordEvaluation(line.day, slack)
        elif isinstance(line, RecordEnd):
            late = line.late
        evaluation(line)
    return evaluation.result(late), evaluation.breaches


def create_spill_checker(day: dict[str, Any]) -> SpillChecker | None:
    """A checker of the limit on spill, for a day with several zones.  Without `zones` in the operator's document
    there is no limit, so nothing breaks it."""
    if len(day.get("fleet", {}).get("zones", [])) < 2:
        return None
    zones = convert(day.get("document", {})).zones
    return SpillChecker(zones.spill_over if zones else float("inf"))


class Option(NamedTuple):
    """Many days of one option: a result for each day, a bar for each figure, and the broken rules."""

    name: str
    results: list[Result]
    bars: dict[str, Bar]
    breaches: list[Breach]


def play_one(scenario: Scenario, seed: int) -> tuple[Result, list[Breach]]:
    """Plays one day in a worker process; only the first broken rules go back to the parent."""
    result, breaches = play(scenario, seed)
    return result, breaches[: MOST_BREACHES_KEPT // 5]


def days(options: list[list[Scenario]], jobs: int = 0, progress: Progress | None = None) -> list[Option]:
    """Plays options, each a list of scenarios, one for each replica; replica k has the same seed in all options whose
    scenarios have the same.  `jobs`: processes, 0 for one on each core."""
    work = [
        (option, replica, each, day_seed(each, replica))
        for option, replicas in enumerate(options)
        for replica, each in enumerate(replicas)
    ]
    outcomes_by_day: dict[tuple[int, int], tuple[Result, list[Breach]]] = {}
    for count, (key, outcome) in enumerate(play_all(work, jobs or os.cpu_count() or 1), 1):
        outcomes_by_day[key] = outcome
        if progress:
            progress(count, len(work))
    played = []
    for option, replicas in enumerate(options):
        outcomes = [outcomes_by_day[option, replica] for replica in range(len(replicas))]
        results = [result for result, _ in outcomes]
        figure_bars = bars([each.figures for each in results]) if len(outcomes) > 1 else {}
        played.append(
            Option(
                replicas[0].name,
                results,
                figure_bars,
                [breach for _, breaches in outcomes for breach in breaches][:MOST_BREACHES_KEPT],
            )
        )
    return played


def play_all(work: list[tuple[int, int, Scenario, int]], jobs: int) -> Iterator[tuple[tuple[int, int], Any]]:
    """Yields (option, replica) and the outcome of each day as it ends; `work` holds option, replica, scenario, seed."""
    if jobs == 1 or len(work) == 1:
        for option, replica, scenario, seed in work:
            yield (option, replica), play_one(scenario, seed)
        return
    with ProcessPoolExecutor(min(jobs, len(work))) as pool:
        futures = {pool.submit(play_one, scenario, seed): (option, replica) for option, replica, scenario, seed in work}
        for future in as_completed(futures):
            yield futures[future], future.result()


def compare(first: Option, second: Option) -> dict[str, Difference]:
    """By figure, `second` minus `first`, paired by day."""
    return differences([each.figures for each in first.results], [each.figures for each in second.results])
