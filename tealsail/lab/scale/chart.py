"""A chart of a scale run: figures of each second of the day, with the script's faults."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from .results import Run  # noqa: E402

ROWS = (  # name of a series of the run, and label
    ("service", "served in time, part"),
    ("waste", "waste, part of attempts"),
    ("worst_100ms", "worst 100 ms at one backend,\nover its even share"),
    ("messages", "datagrams of hollow\nrelays a second"),
)
LINE_COLOUR = "#2458a6"
WINDOW_COLOURS = ("#f2f2f2", "#dfe8f4")  # of windows in turn


def draw(path: Path | str, run: Run) -> None:
    """Write the chart to `path`: a row for each series over one axis of seconds, with the windows between the kinds of
    fault shaded in turn."""
    figure, axes = pyplot.subplots(len(ROWS), 1, figsize=(11, 8), sharex=True)
    for axis, (name, label) in zip(axes, ROWS):
        values = run.series[name]
        axis.step(range(len(values)), values, where="post", color=LINE_COLOUR)
        axis.set_ylabel(label, fontsize=8)
        axis.grid(alpha=0.3)
        if name != "service":
            axis.set_ylim(bottom=0)
        for index, window in enumerate(run.windows):
            axis.axvspan(window.begin_s, window.end_s, color=WINDOW_COLOURS[index % 2], zorder=0)
    for window in run.windows:
        axes[0].annotate(
            window.name, (window.begin_s, 1.02), xycoords=("data", "axes fraction"), fontsize=7, ha="left", va="bottom"
        )
    axes[-1].set_xlabel("second of the day, on the run's clock")
    figure.suptitle(
        f"{run.name}: {run.relays} relays ({len(run.real)} real), {run.units} backends, "
        f"{run.requests_per_second:g} requests/s",
        fontsize=10,
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
