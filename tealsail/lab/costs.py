"""CPU time of the model for each invocation, by the numbers of relays and units, and CPU time of a relay's decision
with zones in the operator's document and without."""

import time
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any, NamedTuple

from ..facade import Facade, Outcome, Reject, RolloutState, SendShot, UnitEntry, Units
from .scenario import Scenario, convert
from .virtual import Model

RELAY_COUNTS = (5, 50, 500)  # with 160 units
UNIT_COUNTS = (16, 160, 1600)  # with 50 relays
DAY_S = 20


def sized_scenario(relays: int, units: int, seconds: float = DAY_S) -> Scenario:
    """A fleet of that size at a quarter of its capacity, with a roll-out of a good build: 10 invocations a second for
    each relay, at least 1,000 in all."""
    rate = max(1_000.0, 10.0 * relays)
    tree: dict[str, Any] = {
        "name": f"{relays} relays, {units} units",
        "seconds": seconds,
        "fleet": {"relays": relays, "units": units, "start_ms": [500, 1000]},
        "unit": {"cores": max(2.0, rate * 0.02 * 4 / units), "slots": 256, "room": 64},
        "clients": {"rate": rate},
        "builds": [{"number": 2, "offered_s": 2.0}],
        "platform": {"on_votes": 1},
        "workload": [{"name": "fetch", "effect": "harmless", "work": {"mean_ms": 20}}],
    }
    return convert(tree)


def measure_day(scenario: Scenario) -> float:
    """Plays a day in this process; returns microseconds of CPU for each invocation."""
    count = 0

    def listen(line: Any) -> None:
        nonlocal count
        count += type(line).__name__ == "InvocationTaken"

    before = time.process_time()
    Model(scenario, scenario.seed, [listen]).play()
    return (time.process_time() - before) * 1e6 / max(1, count)


def tables(progress: Callable[[int, int], None] | None = None) -> dict[str, list[tuple[int, float]]]:
    """Points (size, microseconds for each invocation) by relays, with 160 units, and by units, with 50 relays."""
    sizes = [("relays", relays, 160) for relays in RELAY_COUNTS] + [("units", 50, units) for units in UNIT_COUNTS]
    found: dict[str, list[tuple[int, float]]] = {"relays": [], "units": []}
    for done, (name, relays, units) in enumerate(sizes):
        found[name].append((relays if name == "relays" else units, measure_day(sized_scenario(relays, units))))
        if progress:
            progress(done + 1, len(sizes))
    return found


class Decision(NamedTuple):
    """Microseconds of CPU for a pick and its outcome, without `zones` in the document and with them: medians of the
    rounds, and the median ratio of rounds that were played in turns."""

    without: float
    with_it: float
    ratio: float


DECISION_ROUNDS = 9
DECISIONS_PER_ROUND = 3_000
OPEN_INVOCATIONS = 20  # at a time
DECISION_UNIT_COUNTS = (60, 300, 1500)


def measure_decision(scenario: Scenario, picks: int) -> float:
    """Microseconds of CPU of one relay of the scenario for a pick and its outcome, which is reported OPEN_INVOCATIONS
    picks later.  Raises ValueError if an invocation is rejected."""
    now = 100_000
    settings = scenario.named_settings(0)
    facade = Facade(settings, 1, lambda: now, scenario.operator_document().extra_stages(settings))
    facade.report(RolloutState(scenario.build, 0, "released", 1.0, 1_000_000))
    zones = len(scenario.fleet.zones)
    facade.report(
        Units(
            "whole",
            [UnitEntry(unit, scenario.build, "open", unit % zones, 0, 1.0, 0) for unit in range(scenario.fleet.units)],
        )
    )
    waiting: deque[Outcome] = deque()
    before = time.process_time()
    for place in range(picks):
        now += 5
        number, step = facade.pick(scenario.workload[0].name, "", f"key-{place % 500}", now + 20_000)
        if type(step) is SendShot:
            waiting.append(Outcome(number, step.shot_number, "served"))
        elif type(step) is Reject:
            raise ValueError(
                f"{scenario.name}: an invocation was rejected, so the cost is not that of a usual decision"
            )
        if len(waiting) > OPEN_INVOCATIONS:
            facade.report(waiting.popleft())
        if facade.due <= now:
            facade.tick()
    return (time.process_time() - before) * 1e6 / picks


def decisions(progress: Callable[[int, int], None] | None = None) -> dict[int, Decision]:
    """By the number of units, which lie in three zones: rounds with `zones` in the document and without, in turns."""
    found = {}
    for done, units in enumerate(DECISION_UNIT_COUNTS):
        tree = sized_scenario(200, units).plain()
        tree |= {"fleet": tree["fleet"] | {"zones": ["a", "b", "c"]}}
        without, with_it = convert(tree), convert(tree | {"document": {"zones": {}}})
        rows = [
            (measure_decision(without, DECISIONS_PER_ROUND), measure_decision(with_it, DECISIONS_PER_ROUND))
            for _ in range(DECISION_ROUNDS)
        ]
        found[units] = Decision(median(a for a, _ in rows), median(b for _, b in rows), median(b / a for a, b in rows))
        if progress:
            progress(done + 1, len(DECISION_UNIT_COUNTS))
    return found
