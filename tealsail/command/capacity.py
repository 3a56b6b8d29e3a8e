"""`tealsail capacity`: measures the slopes, or writes the page of capacity from a run's file."""

import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ..lab.capacity import measure, page, slopes, tables
from ..lab.capacity.events import SIZES
from ..lab.capacity.sizing import read_plan

WIDTH = 200  # of tables that go to a file or a pipe
DEFAULT_FROM, DEFAULT_PLAN = "docs/capacity.json", "examples/capacity.toml"


def run(chosen: dict[str, Any]) -> int:
    """Carries out what was chosen; returns the exit code."""
    try:
        return write_page(chosen) if chosen["--page"] else measured(chosen)
    except (OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def write_page(chosen: dict[str, Any]) -> int:
    found = slopes.read(chosen["--from"] or DEFAULT_FROM)
    plan = read_plan(chosen["--plan"] or DEFAULT_PLAN)
    path = Path(chosen["--page"])
    path.write_text(page.filled(path.read_text(), found, plan))
    print(f"{path}: tables written")
    return 0


def measured(chosen: dict[str, Any]) -> int:
    """Exit code 1 if a measurement gave no point."""
    with Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    ) as bar:
        task = bar.add_task("capacity", total=None)
        found = measure.measure(
            list(SIZES),
            measure.REPEATS,
            measure.POINTS,
            lambda done, total, title: bar.update(task, completed=done, total=total, description=title),
        )
    out = Console(highlight=False, width=None if sys.stdout.isatty() else WIDTH)
    out.print(tables.slopes(found))
    for problem in found.problems:
        out.print(f"not measured: {problem}", style="bold", markup=False)
    for text in found.disturbed:
        out.print(f"disturbed: {text}", markup=False)
    state = found.machine
    out.print(f"{found.seconds:.0f} s on processors {state.allowed} of {state.cores}; Python {state.python}; ")
    out.print(f"load {state.load_before:.2f} before, {state.load_after:.2f} after; commit {state.commit}")
    if chosen["--json"]:
        slopes.write(chosen["--json"], found)
    if chosen["--chart"]:
        from ..lab.capacity import chart

        chart.draw(chosen["--chart"], found)
        out.print(f"chart: {chosen['--chart']}")
    return int(bool(found.problems))
