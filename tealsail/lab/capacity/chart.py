"""A chart of the slopes: points of both columns, with the curve through those on sockets."""

from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from .points import Axis, Column, Cost, Name  # noqa: E402
from .slopes import Slopes  # noqa: E402

PANELS = (
    (Name.IDLE, Axis.UNITS, Cost.PROCESSOR),
    (Name.CHANGE, Axis.UNITS, Cost.PROCESSOR),
    (Name.WHOLE, Axis.UNITS, Cost.PROCESSOR),
    (Name.STANDING, Axis.UNITS, Cost.MEMORY),
    (Name.RELOAD, Axis.TENANTS, Cost.PROCESSOR),
    (Name.STANDING, Axis.TENANTS, Cost.MEMORY),
    (Name.JUDGING, Axis.RELAYS, Cost.PROCESSOR),
    (Name.COUNTS, Axis.MESSAGES, Cost.PROCESSOR),
    (Name.REQUESTS, Axis.REQUESTS, Cost.PROCESSOR),
    (Name.ASKING, Axis.REQUESTS, Cost.PROCESSOR),
    (Name.TRACKING, Axis.MESSAGES, Cost.PROCESSOR),
    (Name.TRACKED, Axis.UNITS, Cost.PROCESSOR),
)
COLOURS = {Column.PROCESS: "#2458a6", Column.FACADE: "#c2501e"}
LABELS = {Column.PROCESS: "with sockets", Column.FACADE: "facade alone"}
CURVE_POINTS = 100


def draw(path: str | Path, slopes: Slopes) -> None:
    """As a PNG, all axes logarithmic along sizes."""
    figure, axes = pyplot.subplots(3, 4, figsize=(17, 10.5))
    for axis, (name, along, cost) in zip(axes.flat, PANELS):
        panel(axis, slopes, name, along, cost)
    axes.flat[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def panel(axis: "pyplot.Axes", slopes: Slopes, name: Name, along: Axis, cost: Cost) -> None:
    for column in Column:
        slope = slopes.find(name, along, cost, column)
        if slope is None:
            continue
        for sample in slope.samples:
            axis.plot([sample.x] * len(sample.values), sample.values, "o", color=COLOURS[column], markersize=4)
        sizes = numpy.geomspace(slope.samples[0].x, slope.samples[-1].x, CURVE_POINTS)
        values = [slope.at(float(x)) for x in sizes]
        axis.plot(sizes, [value for value, _ in values], color=COLOURS[column], label=LABELS[column])
        low, high = ([value + sign * error for value, error in values] for sign in (-1, 1))
        axis.fill_between(sizes, numpy.maximum(0, low), high, color=COLOURS[column], alpha=0.15, linewidth=0)
    axis.set_xscale("log")
    axis.set_ylim(bottom=0)
    axis.set_title(str(name), fontsize=10)
    axis.set_xlabel(str(along), fontsize=9)
    axis.set_ylabel(str(cost), fontsize=9)
    axis.grid(alpha=0.3)
