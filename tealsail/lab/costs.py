"""What the model costs: CPU of one core for each invocation, for more relays and for more units."""
import time
from collections.abc import Callable
from typing import Any

from .scenario import Scenario, convert
from .virtual import Model

RELAYS, UNITS = (5, 50, 500), (16, 160, 1600)
SECONDS = 20


def scenario(relays: int, units: int, seconds: float = SECONDS) -> Scenario:
    """A fleet of that size at a quarter of its capacity, with a good build coming in: each relay has 10 invocations
    a second, or each unit as many as it takes to have 2,000 in all."""
    rate = max(1_000.0, 10.0 * relays)
    tree: dict[str, Any] = {
        "name": f"{relays} relays, {units} units", "seconds": seconds,
        "fleet": {"relays": relays, "units": units, "start_ms": [500, 1000]},
        "unit": {"cores": max(2.0, rate * 0.02 * 4 / units), "slots": 256, "room": 64},
        "clients": {"rate": rate}, "builds": [{"number": 2, "offered_s": 2.0}],
        "platform": {"on_votes": 1},
        "workload": [{"name": "fetch", "effect": "harmless", "work": {"mean_ms": 20}}]}
    return convert(tree)


def measured(one: Scenario) -> float:
    """Microseconds of CPU an invocation of this process."""
    count = 0

    def listen(line: Any) -> None:
        nonlocal count
        count += type(line).__name__ == "Take"

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
