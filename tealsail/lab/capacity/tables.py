"""Formats slopes and figures, and prints the slopes as a table on the terminal."""

from rich.table import Table

from .points import Column, Cost
from .slopes import Slope, Slopes

COST_UNITS = {
    Cost.PROCESSOR: "ms",
    Cost.MEMORY: "MB",
    Cost.BYTES_IN: "B",
    Cost.BYTES_OUT: "B",
    Cost.DATAGRAMS_IN: "datagrams",
    Cost.DATAGRAMS_OUT: "datagrams",
}
NEGLIGIBLE = 1e-9  # of any unit: smaller figures are shown as 0


def figure(value: float) -> str:
    """The value with three significant digits, from 100 up as a whole number."""
    if abs(value) < NEGLIGIBLE:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def describe_shape(slope: Slope) -> str:
    """Whether the slope is flat, a line, or neither; in the last case the best shape and by how much it misses."""
    if not slope.curve.has_growth():
        return "flat" if slope.curve.straight else "no trend; points scatter"
    return "line" if slope.curve.straight else f"not a line; {slope.curve.shape} misses by {slope.curve.worst:.0%}"


def has_cost(slope: Slope) -> bool:
    """Whether any sample of the slope is more than negligible."""
    return any(abs(value) > NEGLIGIBLE for sample in slope.samples for value in sample.values)


def slopes(run: Slopes) -> Table:
    """The table of all slopes of a run."""
    table = Table(title="cost of one process: constant + growth * size")
    for column in ("activity", "along", "column", "cost", "side", "smallest", "largest", "constant", "growth", "shape"):
        table.add_column(
            column, justify="left" if column in ("activity", "along", "column", "side", "shape") else "right"
        )
    for slope in sorted(run.slopes, key=lambda each: (each.axis, each.name, each.column != Column.PROCESS)):
        if has_cost(slope):
            table.add_row(*row(slope))
    return table


def row(slope: Slope) -> list[str]:
    """The cells of one slope."""
    first, last, curve = slope.samples[0], slope.samples[-1], slope.curve
    return [
        str(slope.name),
        str(slope.axis),
        str(slope.column),
        str(slope.cost),
        str(slope.side),
        f"{first.x:g}: {figure(first.mean())}",
        f"{last.x:g}: {figure(last.mean())}",
        f"{figure(curve.constant)} ±{figure(curve.constant_error)}",
        f"{figure(curve.growth)} ±{figure(curve.growth_error)} {COST_UNITS[slope.cost]}/{curve.shape}",
        describe_shape(slope),
    ]
