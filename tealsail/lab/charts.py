"""Charts as PNG files: service over time with bars, latency curves, days by zone, load of units, costs of the model."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from .bars import student  # noqa: E402
from .figures import CURVE_QUANTILES, Result  # noqa: E402
from .judging import Row  # noqa: E402
from .losses import smooth  # noqa: E402
from .runs import Option  # noqa: E402

COLOURS = ("#2458a6", "#c2501e", "#3c8031", "#7a3b93")


def service_over_time(results: Sequence[Result]) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Smoothed service of each day by second (days x seconds), and the seconds."""
    length = min(len(each.series["service"]) for each in results)
    return numpy.array([smooth(each.series["service"][:length]) for each in results]), numpy.arange(length)


def set_up_latency_axis(axis: "pyplot.Axes") -> None:
    """Sets up a chart of latency over percentiles, on the usual logarithmic axis of nines."""
    places = [0.5, 0.9, 0.99, 0.999, 0.9999]
    axis.set_xscale("log")
    axis.set_xticks([1 / (1 - each) for each in places], [f"{each * 100:g}%" for each in places])
    axis.minorticks_off()
    axis.set_yscale("log")
    axis.set_xlabel("percentile of those served")
    axis.set_ylabel("latency, ms, from the intended send")


def draw_latency(axis: "pyplot.Axes", result: Result, colour: str, label: str, style: str = "-") -> None:
    """Draws a result's latency over percentiles from the median on."""
    points = [(1 / (1 - part), each) for part, each in zip(CURVE_QUANTILES, result.curve) if 0.5 <= part < 1]
    if points:
        axis.plot(*zip(*points), style, color=colour, label=label)


def options(path: Path | str, shown: Sequence[Option], real: Sequence[Sequence[Result]] = ()) -> None:
    """Draws service over time and latency of each option: days of the model as bands, real days as dashed lines."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(13, 4.6), width_ratios=(3, 2))
    lowest = 1.0
    for index, option in enumerate(shown):
        colour = COLOURS[index % len(COLOURS)]
        rows, seconds = service_over_time(option.results)
        mean = rows.mean(axis=0)
        left.plot(seconds, mean, color=colour, label=f"{option.name} (model, {len(rows)} days)")
        if len(rows) > 1:
            margin = student(0.95, len(rows) - 1) * rows.std(axis=0, ddof=1)
            left.fill_between(
                seconds,
                numpy.clip(mean - margin, 0, 1),
                numpy.clip(mean + margin, 0, 1),
                color=colour,
                alpha=0.15,
                linewidth=0,
            )
            lowest = min(lowest, float(numpy.clip(mean - margin, 0, 1).min()))
        lowest = min(lowest, float(mean.min()))
        draw_latency(right, option.results[0], colour, option.name)
        for number, result in enumerate(real[index] if index < len(real) else ()):
            row, seconds = service_over_time([result])
            left.plot(
                seconds, row[0], "--", color=colour, linewidth=1, label=None if number else f"{option.name} (real)"
            )
            lowest = min(lowest, float(row.min()))
            draw_latency(right, result, colour, "" if number else f"{option.name} (real)", "--")
    left.set_ylim(max(0.0, lowest - 0.05), 1.01)
    left.set_xlabel("second of the day")
    left.set_ylabel("service: payoff within the latency target / asked")
    set_up_latency_axis(right)
    for axis in (left, right):
        axis.grid(alpha=0.3)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def series_of_days(days: Sequence[Result], name: str, blank: float = 0.0) -> numpy.ndarray:
    """One series of all days, an array of days x seconds; `blank` where a day has no value."""
    seconds = min(len(day.series["asked"]) for day in days)
    return numpy.array([(day.series.get(name, []) + [blank] * seconds)[:seconds] for day in days])


def zones(path: Path | str, shown: dict[str, Sequence[Result]]) -> None:
    """Draws for each option the means over its days: service of each zone's relays, shots by pair of zones, and the
    load of units that had just started, over their limit (the worst of each second)."""
    figure, axes = pyplot.subplots(
        3, len(shown), figsize=(5.2 * len(shown), 8.4), sharex=True, sharey="row", squeeze=False
    )
    for column, (name, days) in enumerate(shown.items()):
        series = sorted({each for day in days for each in day.series})
        zone_names = [each.partition(".")[2] for each in series if each.startswith("service.")]
        for index, zone in enumerate(zone_names):
            axes[0][column].plot(
                series_of_days(days, f"service.{zone}", 1.0).mean(axis=0),
                color=COLOURS[index % len(COLOURS)],
                label=f"zone {zone}",
            )
        for each in (each for each in series if each.startswith("shots.")):
            own, _, to = each.partition(".")[2].partition(">")
            axes[1][column].plot(
                series_of_days(days, each).mean(axis=0),
                "-" if own != to else ":",
                label=f"{own} to {to}",
                color=COLOURS[zone_names.index(to) % len(COLOURS)] if to in zone_names else None,
                linewidth=1,
                alpha=0.5 if own == to else 1,
            )
        cold = series_of_days(days, "cold")
        axes[2][column].plot(cold.mean(axis=0), color=COLOURS[0], label="mean of days")
        axes[2][column].plot(cold.max(axis=0), ":", color=COLOURS[1], label="worst day")
        axes[2][column].axhline(1.0, color="black", linewidth=0.8)
        axes[0][column].set_title(name, fontsize=10)
        axes[2][column].set_xlabel("second of the day")
    for row, text in zip(axes, ("service of its relays", "shots a second", "of the cold limit")):
        row[0].set_ylabel(text)
        for axis in row:
            axis.grid(alpha=0.3)
            axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def use(path: Path | str, result: Result) -> None:
    """Draws a heat map of the shots at each unit by second; units are in the order of their first shot."""
    names = sorted(
        result.use, key=lambda name: (next((at for at, many in enumerate(result.use[name]) if many), 0), name)
    )
    rows = numpy.array([result.use[name] for name in names], dtype=float)
    figure, axis = pyplot.subplots(figsize=(10, min(12.0, 2 + 0.05 * len(names))))
    picture = axis.imshow(
        rows, aspect="auto", interpolation="nearest", cmap="viridis", vmax=float(numpy.quantile(rows, 0.999)) or 1.0
    )
    axis.set_xlabel("second of the day")
    axis.set_ylabel("unit")
    axis.set_title(
        f"{result.name} ({result.source}): shots at each unit by second; waste "
        f"{result.figures.get('waste', 0):.2f}, herd {result.figures.get('herd', 0):.1f} "
        f"(even draws {result.figures.get('herd_chance', 0):.1f})",
        fontsize=9,
    )
    figure.colorbar(picture, ax=axis)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def cost(path: Path | str, tables: dict[str, list[tuple[int, float]]]) -> None:
    """Draws microseconds of CPU for each invocation over the numbers of relays and of units."""
    figure, axes = pyplot.subplots(1, len(tables), figsize=(5 * len(tables), 4), sharey=True)
    for axis, (name, points), colour in zip(numpy.atleast_1d(axes), tables.items(), COLOURS):
        axis.plot(*zip(*points), "o-", color=colour)
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
        axis.set_xlabel(name)
        axis.grid(alpha=0.3)
    numpy.atleast_1d(axes)[0].set_ylabel("microseconds of CPU an invocation")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def judges(path: Path | str, rows: Sequence[Row]) -> None:
    """Draws messages at a judge, bytes sent by a relay, and time to the vote, by fleet size: with messages of all
    relays each second, and in turns."""
    figure, axes = pyplot.subplots(1, 3, figsize=(14, 4))
    sizes = [row.relays for row in rows]
    for axis, text, value in (
        (axes[0], "messages a second at the judge", lambda each: each.taken),
        (axes[1], "bytes a second sent by a relay", lambda each: each.sent_bytes),
        (axes[2], "seconds to the vote", lambda each: each.vote_s),
    ):
        axis.plot(sizes, [value(row.before) for row in rows], "o--", color=COLOURS[1], label="each second, good build")
        axis.plot(sizes, [value(row.after) for row in rows], "o-", color=COLOURS[0], label="in turns, good build")
        if axis is axes[2]:
            axis.plot(
                sizes, [value(row.back_before) for row in rows], "s--", color=COLOURS[3], label="each second, fails 5%"
            )
            axis.plot(
                sizes, [value(row.back_after) for row in rows], "s-", color=COLOURS[2], label="in turns, fails 5%"
            )
        axis.set_xscale("log")
        axis.set_xlabel("relays")
        axis.set_ylabel(text)
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
