"""Draws the slopes: the points of both columns with their fitted curves and 95% intervals."""

from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from .points import Activity, Axis, Column, Cost  # noqa: E402
from .slopes import Slopes  # noqa: E402

PANELS = (
    (Activity.IDLE_SECOND, Axis.UNITS, Cost.PROCESSOR),
    (Activity.CHANGED_ENTRY, Axis.UNITS, Cost.PROCESSOR),
    (Activity.WHOLE_LIST, Axis.UNITS, Cost.PROCESSOR),
    (Activity.STANDING_STATE, Axis.UNITS, Cost.MEMORY),
    (Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.PROCESSOR),
    (Activity.STANDING_STATE, Axis.TENANTS, Cost.MEMORY),
    (Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.PROCESSOR),
    (Activity.JUDGE_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR),
    (Activity.REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR),
    (Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR),
    (Activity.TRACKER_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR),
    (Activity.TRACKER_MESSAGE, Axis.UNITS, Cost.PROCESSOR),
)
COLOURS = {Column.PROCESS: "#2458a6", Column.FACADE: "#c2501e"}
LABELS = {Column.PROCESS: "with sockets", Column.FACADE: "facade alone"}
CURVE_POINTS = 100  # sizes at which a curve is drawn


def draw(path: str | Path, slopes: Slopes) -> None:
    """Writes a PNG with one panel for each slope in PANELS; sizes are on a logarithmic scale."""
    figure, axes = pyplot.subplots(3, 4, figsize=(17, 10.5))
    for panel, (name, axis, cost) in zip(axes.flat, PANELS):
        draw_panel(panel, slopes, name, axis, cost)
    axes.flat[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def draw_panel(panel: "pyplot.Axes", slopes: Slopes, name: Activity, axis: Axis, cost: Cost) -> None:
    """Draws one slope of both columns into `panel`."""
    for column in Column:
        slope = slopes.find(name, axis, cost, column)
        if slope is None:
            continue
        for sample in slope.samples:
            panel.plot([sample.x] * len(sample.values), sample.values, "o", color=COLOURS[column], markersize=4)
        sizes = numpy.geomspace(slope.samples[0].x, slope.samples[-1].x, CURVE_POINTS)
        values = [slope.value_at(float(x)) for x in sizes]
        panel.plot(sizes, [value for value, _ in values], color=COLOURS[column], label=LABELS[column])
        low, high = ([value + sign * error for value, error in values] for sign in (-1, 1))
        panel.fill_between(sizes, numpy.maximum(0, low), high, color=COLOURS[column], alpha=0.15, linewidth=0)
    panel.set_xscale("log")
    panel.set_ylim(bottom=0)
    panel.set_title(str(name), fontsize=10)
    panel.set_xlabel(str(axis), fontsize=9)
    panel.set_ylabel(str(cost), fontsize=9)
    panel.grid(alpha=0.3)
