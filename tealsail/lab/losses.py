"""What the faults of a script cost: each option with its script and without, on the same days.

For each option and seed a day is played twice, so what chance does to a day is in both.  Times are counted from the
script's first fault, on service smoothed over three seconds.
"""

from typing import NamedTuple

import numpy

from .bars import Bar, Difference, bars, differences
from .figures import SECOND, Result
from .runs import Progress, days
from .scenario import Scenario, convert, over

WITHIN, SMOOTH = 0.02, 3  # of the undisturbed day's service; seconds
STAYS = 3  # seconds in which it must stay there
WINDOW = 2  # seconds of a zone's shots


class Loss(NamedTuple):
    """One option: its days with the faults, those without, and figures of each pair with their bars."""

    name: str
    hit: list[Result]
    calm: list[Result]
    figures: list[dict[str, float]]
    bars: dict[str, Bar]


def smooth(values: list[float], seconds: int = SMOOTH) -> numpy.ndarray:
    padded = numpy.pad(numpy.array(values), (seconds // 2, seconds - 1 - seconds // 2), mode="edge")
    return numpy.convolve(padded, numpy.ones(seconds) / seconds, "valid")


def figures(hit: Result, calm: Result, at: int, lost: set[str]) -> dict[str, float]:
    """`at`: the second of the first fault; `lost`: zones that it takes.

    recover_s: until service is within WITHIN of the undisturbed day's and stays for STAYS seconds; out_s: all seconds
    from the fault on in which it is not; cost: payoff given away from the fault on, over payoff asked; overshoot: the
    most that a zone that is not lost was sent in WINDOW seconds, over its mean on the undisturbed day.
    """
    most = min(len(hit.series["service"]), len(calm.series["service"]))
    with_it, without = (smooth(each.series["service"])[:most] for each in (hit, calm))
    out = with_it[at:] < without[at:] - WITHIN
    back = next((second for second in range(len(out)) if not out[second : second + STAYS].any()), len(out))
    asked = numpy.array(hit.series["asked"][at:most])
    gap = numpy.array(calm.series["service"][at:most]) - numpy.array(hit.series["service"][at:most])
    found = {
        "service": hit.figures["service"],
        "cost": float((gap * asked).sum() / (asked.sum() or 1)),
        "recover_s": float(back),
        "out_s": float(out.sum()),
        "lowest": float(with_it[at:].min(initial=1.0)),
    }
    found |= {name: hit.figures[name] for name in ("late", "rejected", "forfeited", "shots") if name in hit.figures}
    sent, usual = shots_to(hit), shots_to(calm)
    over_all = [0.0]
    for zone, shots in sent.items():
        if zone not in lost and zone in usual and usual[zone][at:].mean() > 0:
            over_all.append(
                float(smooth(list(shots[at : most - 1]), WINDOW).max(initial=0.0) / usual[zone][at : most - 1].mean())
            )
    found["overshoot"] = max(over_all)
    if "spill_peak" in hit.figures:
        found["spill_peak"] = hit.figures["spill_peak"]
    found["cold"] = max(hit.series.get("cold", [0.0]))
    return found


def shots_to(day: Result) -> dict[str, numpy.ndarray]:
    """By zone, shots from everywhere by second."""
    rows = {name.partition(">")[2]: [] for name in day.series if name.startswith("shots.")}
    length = len(day.series["asked"])
    for name, values in day.series.items():
        if name.startswith("shots."):
            rows[name.partition(">")[2]].append(
                numpy.pad(numpy.array(values[:length]), (0, max(0, length - len(values))))
            )
    return {zone: sum(each) for zone, each in rows.items()}


def losses(scenarios: list[Scenario], replicas: int, jobs: int, progress: Progress | None = None) -> list[Loss]:
    """Raises ValueError for a scenario without a fault."""
    options, starts = [], []
    for each in scenarios:
        faults = each.faults()
        if not faults:
            raise ValueError(f"{each.name}: its script has no fault")
        starts.append((faults[0].at // SECOND, {fault.zone for fault in faults if fault.kind == "lose"}))
        calm = convert(over(each.plain(), {"script": ""}), each.name)
        options += [[each] * replicas, [calm] * replicas]
    played, found = days(options, jobs, progress), []
    for place, (each, (at, lost)) in enumerate(zip(scenarios, starts)):
        hit, calm = played[2 * place].results, played[2 * place + 1].results
        rows = [figures(one, other, at, lost) for one, other in zip(hit, calm)]
        found.append(Loss(each.name, hit, calm, rows, bars(rows) if replicas > 1 else {}))
    return found


def compared(first: Loss, second: Loss) -> dict[str, Difference]:
    """The second over the first, day by day."""
    return differences(first.figures, second.figures)
