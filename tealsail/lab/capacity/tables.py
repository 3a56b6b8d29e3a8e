"""Slopes as a table on the terminal."""

from rich.table import Table

from .points import Column, Cost
from .slopes import Slope, Slopes

UNITS = {
    Cost.PROCESSOR: "ms",
    Cost.MEMORY: "MB",
    Cost.BYTES_IN: "B",
    Cost.BYTES_OUT: "B",
    Cost.DATAGRAMS_IN: "datagrams",
    Cost.DATAGRAMS_OUT: "datagrams",
}
NOTHING = 1e-9


def figure(value: float) -> str:
    """Three digits that count, without an exponent where one can do without."""
    if abs(value) < NOTHING:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def shape(slope: Slope) -> str:
    """Whether it is a line, and what it is else."""
    if not slope.curve.grows():
        return "flat"
    return "line" if slope.curve.straight else f"not a line; {slope.curve.shape} misses by {slope.curve.worst:.0%}"


def occurs(slope: Slope) -> bool:
    """Whether there is any of that cost."""
    return any(abs(value) > NOTHING for sample in slope.samples for value in sample.values)


def slopes(found: Slopes) -> Table:
    table = Table(title="what one process costs: constant + growth * size")
    for column in ("of", "along", "column", "cost", "side", "smallest", "largest", "constant", "growth", "shape"):
        table.add_column(column, justify="left" if column in ("of", "along", "column", "side", "shape") else "right")
    for slope in sorted(found.slopes, key=lambda each: (each.axis, each.name, each.column != Column.PROCESS)):
        if occurs(slope):
            table.add_row(*row(slope))
    return table


def row(slope: Slope) -> list[str]:
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
        f"{figure(curve.growth)} ±{figure(curve.growth_error)} {UNITS[slope.cost]}/{curve.shape}",
        shape(slope),
    ]
