"""Costs of the faults of a script: days of each option with its script and without, on the same random numbers.

For each option and seed a day is played twice, so that chance affects both days alike.  Times are counted from the
script's first fault, on service smoothed over three seconds.
"""

from typing import NamedTuple

import numpy

from .bars import Bar, Difference, bars, differences
from .figures import SECOND, Result
from .runs import Progress, days
from .scenario import Scenario, convert, merge

TOLERANCE = 0.02  # by which service may be below that of the undisturbed day
SMOOTHING_S = 3
STABLE_S = 3  # for which service must stay within the tolerance
OVERSHOOT_WINDOW_S = 2


class Loss(NamedTuple):
    """One option: its days with the faults (`hit`) and without (`calm`), figures of each pair of days, and their bars
    (none for a single pair)."""

    name: str
    hit: list[Result]
    calm: list[Result]
    figures: list[dict[str, float]]
    bars: dict[str, Bar]


def smooth(values: list[float], seconds: int = SMOOTHING_S) -> numpy.ndarray:
    """The moving average over some seconds, of the same length; the first and last values are repeated at the ends."""
    padded = numpy.pad(numpy.array(values), (seconds // 2, seconds - 1 - seconds // 2), mode="edge")
    return numpy.convolve(padded, numpy.ones(seconds) / seconds, "valid")


def figures(hit: Result, calm: Result, at: int, lost: set[str]) -> dict[str, float]:
    """Figures of a pair of days.  `at`: the second of the first fault; `lost`: zones that the script takes away.

    recover_s: seconds until service is within TOLERANCE of the undisturbed day's and stays so for STABLE_S; out_s: all
    seconds from the fault on in which it is not; lowest: least service; cost: payoff lost from the fault on, over
    payoff asked; overshoot: the largest number of shots that a zone that is not lost got in OVERSHOOT_WINDOW_S, over
    its mean on the undisturbed day.
    """
    length = min(len(hit.series["service"]), len(calm.series["service"]))
    with_it, without = (smooth(each.series["service"])[:length] for each in (hit, calm))
    is_out = with_it[at:] < without[at:] - TOLERANCE
    recovery = next(
        (second for second in range(len(is_out)) if not is_out[second : second + STABLE_S].any()), len(is_out)
    )
    asked = numpy.array(hit.series["asked"][at:length])
    lost_service = numpy.array(calm.series["service"][at:length]) - numpy.array(hit.series["service"][at:length])
    found = {
        "service": hit.figures["service"],
        "cost": float((lost_service * asked).sum() / (asked.sum() or 1)),
        "recover_s": float(recovery),
        "out_s": float(is_out.sum()),
        "lowest": float(with_it[at:].min(initial=1.0)),
    }
    found |= {name: hit.figures[name] for name in ("late", "rejected", "forfeited", "shots") if name in hit.figures}
    shots_by_zone, usual_shots = shots_to(hit), shots_to(calm)
    overshoots = [0.0]
    for zone, shots in shots_by_zone.items():
        if zone not in lost and zone in usual_shots and usual_shots[zone][at:].mean() > 0:
            overshoots.append(
                float(
                    smooth(list(shots[at : length - 1]), OVERSHOOT_WINDOW_S).max(initial=0.0)
                    / usual_shots[zone][at : length - 1].mean()
                )
            )
    found["overshoot"] = max(overshoots)
    if "spill_peak" in hit.figures:
        found["spill_peak"] = hit.figures["spill_peak"]
    found["cold"] = max(hit.series.get("cold", [0.0]))
    return found


def shots_to(day: Result) -> dict[str, numpy.ndarray]:
    """By zone of units, the shots of all relays by second."""
    rows = {name.partition(">")[2]: [] for name in day.series if name.startswith("shots.")}
    length = len(day.series["asked"])
    for name, values in day.series.items():
        if name.startswith("shots."):
            rows[name.partition(">")[2]].append(
                numpy.pad(numpy.array(values[:length]), (0, max(0, length - len(values))))
            )
    return {zone: sum(each) for zone, each in rows.items()}


def losses(scenarios: list[Scenario], replicas: int, jobs: int, progress: Progress | None = None) -> list[Loss]:
    """Plays each scenario `replicas` times with its script and as often without.  Raises ValueError for a scenario
    without a fault."""
    options, starts = [], []
    for each in scenarios:
        faults = each.faults()
        if not faults:
            raise ValueError(f"{each.name}: its script has no fault")
        starts.append((faults[0].at // SECOND, {fault.zone for fault in faults if fault.kind == "lose"}))
        calm = convert(merge(each.plain(), {"script": ""}), each.name)
        options += [[each] * replicas, [calm] * replicas]
    played, result = days(options, jobs, progress), []
    for place, (each, (at, lost)) in enumerate(zip(scenarios, starts)):
        hit, calm = played[2 * place].results, played[2 * place + 1].results
        rows = [figures(hit_day, calm_day, at, lost) for hit_day, calm_day in zip(hit, calm)]
        result.append(Loss(each.name, hit, calm, rows, bars(rows) if replicas > 1 else {}))
    return result


def compare(first: Loss, second: Loss) -> dict[str, Difference]:
    """By figure, `second` minus `first`, paired by day."""
    return differences(first.figures, second.figures)
