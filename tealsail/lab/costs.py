"""What the model costs: CPU of one core for each invocation, for more relays and for more units; and what a decision
costs with the operator's document and without."""

import time
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any, NamedTuple

from ..facade import Facade, Outcome, Reject, RolloutState, SendShot, UnitEntry, Units
from .scenario import Scenario, convert
from .virtual import Model

RELAYS, UNITS = (5, 50, 500), (16, 160, 1600)
SECONDS = 20


def scenario(relays: int, units: int, seconds: float = SECONDS) -> Scenario:
    """A fleet of that size at a quarter of its capacity, with a good build coming in: each relay has 10 invocations
    a second, or each unit as many as it takes to have 2,000 in all."""
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


def measured(one: Scenario) -> float:
    """Microseconds of CPU an invocation of this process."""
    count = 0

    def listen(line: Any) -> None:
        nonlocal count
        count += type(line).__name__ == "InvocationTaken"

    before = time.process_time()
    Model(one, one.seed, [listen]).play()
    return (time.process_time() - before) * 1e6 / max(1, count)


def tables(progress: Callable[[int, int], None] | None = None) -> dict[str, list[tuple[int, float]]]:
    """By relays at 160 units, and by units at 50 relays: (size, microseconds)."""
    sizes = [("relays", relays, 160) for relays in RELAYS] + [("units", 50, units) for units in UNITS]
    found: dict[str, list[tuple[int, float]]] = {"relays": [], "units": []}
    for done, (name, relays, units) in enumerate(sizes):
        found[name].append((relays if name == "relays" else units, measured(scenario(relays, units))))
        if progress:
            progress(done + 1, len(sizes))
    return found


class Decision(NamedTuple):
    """Microseconds of CPU for a pick and what came of it, without the document and with it, and the median ratio of
    rounds played in turns."""

    without: float
    with_it: float
    ratio: float


ROUNDS, PICKS, BESIDE = 9, 3_000, 20  # of a decision's cost; invocations at hand at once
DECISION_UNITS = (60, 300, 1500)


def decided(one: Scenario, picks: int) -> float:
    """Microseconds of CPU for a pick and its outcome, of one relay of the scenario, all served after BESIDE more."""
    now = 100_000
    facts = one.facts(0)
    facade = Facade(facts, 1, lambda: now, one.operators().extra_stages(facts))
    facade.report(RolloutState(one.build, 0, "released", 1.0, 1_000_000))
    zones = len(one.fleet.zones)
    facade.report(
        Units("whole", [UnitEntry(unit, one.build, "open", unit % zones, 0, 1.0, 0) for unit in range(one.fleet.units)])
    )
    waiting: deque[Outcome] = deque()
    before = time.process_time()
    for place in range(picks):
        now += 5
        number, step = facade.pick(one.workload[0].name, "", f"key-{place % 500}", now + 20_000)
        if type(step) is SendShot:
            waiting.append(Outcome(number, step.place, "served"))
        elif type(step) is Reject:
            raise ValueError(f"{one.name}: rejected, which is no usual decision")
        if len(waiting) > BESIDE:
            facade.report(waiting.popleft())
        if facade.due <= now:
            facade.tick()
    return (time.process_time() - before) * 1e6 / picks


def decisions(progress: Callable[[int, int], None] | None = None) -> dict[int, Decision]:
    """By units in three zones: with `zones` in the document and without, in turns."""
    found = {}
    for done, units in enumerate(DECISION_UNITS):
        tree = scenario(200, units).plain()
        tree |= {"fleet": tree["fleet"] | {"zones": ["a", "b", "c"]}}
        without, with_it = convert(tree), convert(tree | {"document": {"zones": {}}})
        rows = [(decided(without, PICKS), decided(with_it, PICKS)) for _ in range(ROUNDS)]
        found[units] = Decision(median(a for a, _ in rows), median(b for _, b in rows), median(b / a for a, b in rows))
        if progress:
            progress(done + 1, len(DECISION_UNITS))
    return found
