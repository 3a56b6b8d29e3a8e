"""A hunt: random schedules of faults over a scenario in the model, judged by the rules and by how even the load was;
a day that fails is shrunk to the fewest lines of script that still make it fail.

A schedule is text in the script's language, so what is found is played by `model run` and by `trial` alike.
Hypothesis is not used for the shrinking: a day takes seconds, and lines are dropped one after another just as well.
"""

import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from ..parts import RandomGenerator, stable_hash
from .runs import play
from .scenario import Scenario, convert

LIMITS = {"waste": 0.5, "herd": 3.0, "idle": 6.0}  # waste as it is; herd and idle over what even draws give
OVER_CHANCE = ("herd", "idle")
FEWEST, MOST = 2, 6  # lines of a schedule
LAST = 0.75  # of the day: nothing begins later
TRIES = 60  # days that one shrinking may take


class Find(NamedTuple):
    """A day that fails: by what (a rule's name, or a figure's), and its shortest script."""

    seed: int
    why: dict[str, float]
    script: str
    before: int  # lines that it had at first


def relays(chance: RandomGenerator, day: Scenario) -> str:
    """Some of them, in the script's words."""
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
    return items[int(chance.share() * len(items))]


def percent(chance: RandomGenerator, least: int, most: int) -> str:
    return f"{least + int(chance.share() * (most - least))}%"


def line(chance: RandomGenerator, day: Scenario) -> str:
    """One sentence."""
    at = round(0.5 + chance.share() * (LAST * day.seconds - 0.5), 1)
    span = round(0.5 + chance.share() * min(8.0, 0.3 * day.seconds), 1)
    during, some = f"from {at}s for {span}s", relays(chance, day)
    units = f"{percent(chance, 5, 40)} of units"
    kinds: list[Callable[[], str]] = [
        lambda: f"at {at}s pause {some} for {span}s",
        lambda: f"{during} hold {some} to {percent(chance, 5, 60)}",
        lambda: f"at {at}s kill {some} for {span}s",
        lambda: f"at {at}s restart {some}",
        lambda: f"{during} cut {some} from the others" + (" one way" if chance.share() < 0.5 else ""),
        lambda: f"{during} cut {some} from the list",
        lambda: f"{during} cut {some} from the platform",
        lambda: f"{during} cut neighbours",
        lambda: f"{during} notes lost {percent(chance, 10, 100)}",
        lambda: f"{during} notes late {int(10 + 500 * chance.share())}ms",
        lambda: f"{during} notes doubled 50%",
        lambda: f"{during} notes reordered {int(10 + 500 * chance.share())}ms",
        lambda: f"{during} notes replayed after {round(0.5 + 5 * chance.share(), 1)}s 30%",
        lambda: f"{during} list stale at {some}",
        lambda: f"at {at}s run clocks of {some} x {pick(chance, (1.1, 1.2))} for {span}s",
        lambda: f"at {at}s kill {units} for {span}s",
        lambda: f"{during} slow {units} x {pick(chance, (2, 4))}",
        lambda: f"at {at}s hang {units} for {span}s",
        lambda: f"at {at}s fail 30% of answers of {units} for {span}s",
    ]
    return pick(chance, kinds)()


def schedule(day: Scenario, seed: int) -> list[str]:
    chance = RandomGenerator(stable_hash(day.seed, seed, 13))
    return [line(chance, day) for _ in range(FEWEST + int(chance.share() * (MOST - FEWEST + 1)))]


def failing(day: Scenario, seed: int, lines: Sequence[str], limits: dict[str, float]) -> dict[str, float]:
    """What fails on that day, with its figure; nothing if all holds."""
    tree = day.plain() | {"script": "\n".join([day.script, *lines])}
    result, _ = play(convert(tree), seed)
    found = {name: float(count) for name, count in result.breaches.items() if count}
    for name, most in limits.items():
        figure = result.figures.get(name, 0.0)
        if name in OVER_CHANCE:
            figure /= max(1.0, result.figures.get(f"{name}_chance", 1.0))
        if figure > most:
            found[name] = figure
    return found


def shrink(lines: list[str], fails: Callable[[list[str]], bool], tries: int = TRIES) -> list[str]:
    """The fewest lines that still fail: halves first, then one at a time.  `fails` is asked so often at the most."""
    part = max(1, len(lines) // 2)
    while lines and tries > 0:
        shorter = False
        for first in range(0, len(lines), part):
            left = lines[:first] + lines[first + part :]
            tries -= 1
            if tries >= 0 and fails(left):
                lines, shorter = left, True
                break
        if not shorter:
            if part == 1:
                break
            part = max(1, part // 2)
    return lines


def one_day(day: Scenario, seed: int, limits: dict[str, float]) -> Find | None:
    lines = schedule(day, seed)
    why = failing(day, seed, lines, limits)
    if not why:
        return None
    worst = next(iter(why))  # a broken rule before a figure
    short = shrink(lines, lambda left: worst in failing(day, seed, left, limits))
    return Find(seed, failing(day, seed, short, limits), "\n".join(short), len(lines))


def hunt(
    day: Scenario,
    days: int,
    first: int,
    limits: dict[str, float],
    jobs: int = 0,
    progress: Callable[[int, int], None] | None = None,
) -> list[Find]:
    """Days of that many seeds from `first` on; those that fail, shrunk."""
    found = []
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        waiting = [pool.submit(one_day, day, first + place, limits) for place in range(days)]
        for done, future in enumerate(waiting, 1):
            find = future.result()
            if find:
                found.append(find)
            if progress:
                progress(done, days)
    return found
