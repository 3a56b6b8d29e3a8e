"""Random tests of a scenario in the model: schedules of faults are drawn, and a day fails if it breaks a rule or if the
load is too uneven.  The schedule of a failing day is shrunk to the fewest lines of script that still make it fail.

A schedule is text in the language of scripts, so both `model run` and `trial` can play what is found.  Hypothesis is
not used to shrink schedules: a day takes seconds, and to drop lines one after another works just as well.
"""

import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from ..parts import RandomGenerator, stable_hash
from .runs import play
from .scenario import Scenario, convert

LIMITS = {"waste": 0.5, "herd": 3.0, "idle": 6.0}  # largest figures of a day that passes
RELATIVE_FIGURES = ("herd", "idle")  # limited relative to what even random draws give
# lines of a schedule
MIN_LINES = 2
MAX_LINES = 6
LAST_START = 0.75  # part of the day after which no fault begins
MAX_SHRINK_DAYS = 60  # played to shrink one schedule


class Finding(NamedTuple):
    """A day that fails: the names of broken rules (with their counts) or exceeded figures, and the shrunk script."""

    seed: int
    why: dict[str, float]
    script: str
    before: int  # lines of the script before it was shrunk


def draw_party(chance: RandomGenerator, day: Scenario) -> str:
    """A random party of relays, in the script's language."""
    zones = day.fleet.zones
    scope = f" of zone {pick(chance, zones)}" if len(zones) > 1 and chance.share() < 0.4 else ""
    return pick(
        chance,
        [
            lambda: "the keeper",
            lambda: "the judges",
            lambda: f"{percent(chance, 10, 70)} of relays{scope}",
            lambda: f"{1 + int(chance.share() * min(5, day.fleet.relays - 1))} relays{scope}",
        ],
    )()


def pick(chance: RandomGenerator, items: Sequence[Any]) -> Any:
    """A random item."""
    return items[int(chance.share() * len(items))]


def percent(chance: RandomGenerator, least: int, most: int) -> str:
    """A random percentage from `least` up to `most`, as text."""
    return f"{least + int(chance.share() * (most - least))}%"


def draw_line(chance: RandomGenerator, day: Scenario) -> str:
    """A random fault, as a line of script."""
    at = round(0.5 + chance.share() * (LAST_START * day.seconds - 0.5), 1)
    span = round(0.5 + chance.share() * min(8.0, 0.3 * day.seconds), 1)
    during, party = f"from {at}s for {span}s", draw_party(chance, day)
    units = f"{percent(chance, 5, 40)} of units"
    kinds: list[Callable[[], str]] = [
        lambda: f"at {at}s pause {party} for {span}s",
        lambda: f"{during} hold {party} to {percent(chance, 5, 60)}",
        lambda: f"at {at}s kill {party} for {span}s",
        lambda: f"at {at}s restart {party}",
        lambda: f"{during} cut {party} from the others" + (" one way" if chance.share() < 0.5 else ""),
        lambda: f"{during} cut {party} from the list",
        lambda: f"{during} cut {party} from the platform",
        lambda: f"{during} cut neighbours",
        lambda: f"{during} notes lost {percent(chance, 10, 100)}",
        lambda: f"{during} notes late {int(10 + 500 * chance.share())}ms",
        lambda: f"{during} notes doubled 50%",
        lambda: f"{during} notes reordered {int(10 + 500 * chance.share())}ms",
        lambda: f"{during} notes replayed after {round(0.5 + 5 * chance.share(), 1)}s 30%",
        lambda: f"{during} list stale at {party}",
        lambda: f"at {at}s run clocks of {party} x {pick(chance, (1.1, 1.2))} for {span}s",
        lambda: f"at {at}s kill {units} for {span}s",
        lambda: f"{during} slow {units} x {pick(chance, (2, 4))}",
        lambda: f"at {at}s hang {units} for {span}s",
        lambda: f"at {at}s fail 30% of answers of {units} for {span}s",
    ]
    return pick(chance, kinds)()


def draw_schedule(day: Scenario, seed: int) -> list[str]:
    """The lines of a random schedule of faults."""
    chance = RandomGenerator(stable_hash(day.seed, seed, 13))
    return [draw_line(chance, day) for _ in range(MIN_LINES + int(chance.share() * (MAX_LINES - MIN_LINES + 1)))]


def find_failures(day: Scenario, seed: int, lines: Sequence[str], limits: dict[str, float]) -> dict[str, float]:
    """Plays a day with these lines; returns the count of each broken rule and each figure above its limit."""
    tree = day.plain() | {"script": "\n".join([day.script, *lines])}
    result, _ = play(convert(tree), seed)
    found = {name: float(count) for name, count in result.breaches.items() if count}
    for name, most in limits.items():
        figure = result.figures.get(name, 0.0)
        if name in RELATIVE_FIGURES:
            figure /= max(1.0, result.figures.get(f"{name}_chance", 1.0))
        if figure > most:
            found[name] = figure
    return found


def shrink(lines: list[str], fails: Callable[[list[str]], bool], tries: int = MAX_SHRINK_DAYS) -> list[str]:
    """The fewest lines for which `fails` still holds: drops halves first, then single lines.  Calls `fails` at most
    `tries` times."""
    part = max(1, len(lines) // 2)
    while lines and tries > 0:
        shorter = False
        for first in range(0, len(lines), part):
            remaining = lines[:first] + lines[first + part :]
            tries -= 1
            if tries >= 0 and fails(remaining):
                lines, shorter = remaining, True
                break
        if not shorter:
            if part == 1:
                break
            part = max(1, part // 2)
    return lines


def examine_day(day: Scenario, seed: int, limits: dict[str, float]) -> Finding | None:
    """Draws and plays the day of a seed; if it fails, shrinks its schedule."""
    lines = draw_schedule(day, seed)
    why = find_failures(day, seed, lines, limits)
    if not why:
        return None
    worst = next(iter(why))  # broken rules come before figures
    short = shrink(lines, lambda remaining: worst in find_failures(day, seed, remaining, limits))
    return Finding(seed, find_failures(day, seed, short, limits), "\n".join(short), len(lines))


def hunt(
    day: Scenario,
    days: int,
    first: int,
    limits: dict[str, float],
    jobs: int = 0,
    progress: Callable[[int, int], None] | None = None,
) -> list[Finding]:
    """Tests `days` days, with seeds from `first` on, in `jobs` processes (0: one on each core); returns those that
    fail."""
    found = []
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        futures = [pool.submit(examine_day, day, first + place, limits) for place in range(days)]
        for done, future in enumerate(futures, 1):
            finding = future.result()
            if finding:
                found.append(finding)
            if progress:
                progress(done, days)
    return found
