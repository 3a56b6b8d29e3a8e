"""Model runs: one day, many days of one option in several processes, and two options on the same days."""

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any, NamedTuple

from ..parts import stable_hash
from ..record.files import Writer, read
from ..record.lines import AnyLine, Close
from ..setup.document import convert
from ..world.evenness import Evenness
from ..world.rules import MOST_BREACHES_KEPT, Breach, RuleChecker, Slack
from ..world.spill import SpillChecker
from .bars import Bar, Difference, bars, differences
from .figures import Figures, Result
from .scenario import Scenario
from .virtual import Model

Progress = Callable[[int, int], None]  # done, of how many


def day_seed(scenario: Scenario, replica: int) -> int:
    """The seed of one replica; two options with one scenario seed share it."""
    return stable_hash(scenario.seed, replica, 11) >> 2


class Judged:
    """What is made of a record, line by line: figures, rules, the stated limit on spill, and how even the load was."""

    def __init__(self, day: dict[str, Any], slack: Slack = Slack()) -> None:
        self.figures, self.rules, self.spill, self.evenness = Figures(), RuleChecker(slack), spill_of(day), Evenness()
        self.listeners = [each for each in (self.figures, self.rules, self.spill, self.evenness) if each]

    def __call__(self, line: AnyLine) -> None:
        for listener in self.listeners:
            listener(line)

    @property
    def breaches(self) -> list[Breach]:
        return self.rules.breaches

    def result(self, late: int) -> Result:
        """All that is known of the day, once its record has ended."""
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
    """One day in virtual time; with `record`, written there.  The rules are always checked."""
    judged = Judged(scenario.plain())
    writer = Writer(record) if record else None
    model = Model(scenario, seed, [*judged.listeners, *([writer] if writer else [])])
    try:
        model.play()
    finally:
        if writer:
            writer.close()
    result = judged.result(0)
    if model.faults:
        result.breaches["faults"] = model.faults
    return result, judged.breaches


def judge(path: Path | str, slack: Slack = Slack()) -> tuple[Result, list[Breach]]:
    """The same figures and rules from a record."""
    judged, late = None, 0
    for line in read(path):
        if judged is None:  # a record's first line is its head
            judged = Judged(line.day, slack)
        elif isinstance(line, Close):
            late = line.late
        judged(line)
    return judged.result(late), judged.breaches


def spill_of(day: dict[str, Any]) -> SpillChecker | None:
    """The checker of the stated limit, where a day has zones; without tiers nothing is stated and nothing breaks it."""
    if len(day.get("fleet", {}).get("zones", [])) < 2:
        return None
    zones = convert(day.get("document", {})).zones
    return SpillChecker(zones.spill_over if zones else float("inf"))


class Option(NamedTuple):
    """Many days of one option: a result for each, bars for each figure, and rules broken."""

    name: str
    results: list[Result]
    bars: dict[str, Bar]
    breaches: list[Breach]


def one_day(scenario: Scenario, seed: int) -> tuple[Result, list[Breach]]:
    result, breaches = play(scenario, seed)
    return result, breaches[: MOST_BREACHES_KEPT // 5]


def days(options: list[list[Scenario]], jobs: int = 0, progress: Progress | None = None) -> list[Option]:
    """Each option as a list of scenarios, one for each replica; replica k of all options has one seed."""
    work = [
        (place, replica, each, day_seed(each, replica))
        for place, replicas in enumerate(options)
        for replica, each in enumerate(replicas)
    ]
    done: dict[tuple[int, int], tuple[Result, list[Breach]]] = {}
    for count, (key, outcome) in enumerate(carried_out(work, jobs or os.cpu_count() or 1), 1):
        done[key] = outcome
        if progress:
            progress(count, len(work))
    found = []
    for place, replicas in enumerate(options):
        mine = [done[place, replica] for replica in range(len(replicas))]
        results = [result for result, _ in mine]
        known = bars([each.figures for each in results]) if len(mine) > 1 else {}
        found.append(
            Option(
                replicas[0].name,
                results,
                known,
                [breach for _, breaches in mine for breach in breaches][:MOST_BREACHES_KEPT],
            )
        )
    return found


def carried_out(work: list[tuple[int, int, Scenario, int]], jobs: int) -> Iterator[tuple[tuple[int, int], Any]]:
    if jobs == 1 or len(work) == 1:
        for place, replica, scenario, seed in work:
            yield (place, replica), one_day(scenario, seed)
        return
    with ProcessPoolExecutor(min(jobs, len(work))) as pool:
        waiting = {pool.submit(one_day, scenario, seed): (place, replica) for place, replica, scenario, seed in work}
        for future in as_completed(waiting):
            yield waiting[future], future.result()


def compared(first: Option, second: Option) -> dict[str, Difference]:
    """B over A on the same days."""
    return differences([each.figures for each in first.results], [each.figures for each in second.results])
