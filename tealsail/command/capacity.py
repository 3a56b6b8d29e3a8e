"""`tealsail capacity`: measures the slopes of costs, or writes the capacity page from the file of a run."""

import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ..lab.capacity import measure, page, slopes, tables
from ..lab.capacity.events import SIZES
from ..lab.capacity.sizing import read_plan

OUTPUT_WIDTH = 200  # columns of tables that go to a file or a pipe
DEFAULT_RUN_FILE = "docs/capacity.json"
DEFAULT_PLAN_FILE = "docs/capacity.toml"


def run(arguments: dict[str, Any]) -> int:
    """Carries out the command and returns the exit code: 0, 1 if a measurement gave no point, 2 for an error."""
    try:
        return write_page(arguments) if arguments["--page"] else run_measurements(arguments)
    except (OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def write_page(arguments: dict[str, Any]) -> int:
    """Writes the tables of a run between the markers of the page."""
    measured = slopes.read(arguments["--from"] or DEFAULT_RUN_FILE)
    plan = read_plan(arguments["--plan"] or DEFAULT_PLAN_FILE)
    path = Path(arguments["--page"])
    path.write_text(page.filled(path.read_text(), measured, plan))
    print(f"{path}: tables written")
    return 0


def run_measurements(arguments: dict[str, Any]) -> int:
    """Measures and prints the slopes; returns 1 if a measurement gave no point, else 0."""
    with Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    ) as progress:
        task = progress.add_task("capacity", total=None)
        measured = measure.measure(
            list(SIZES),
            measure.REPEATS,
            measure.POINTS,
            lambda done, total, title: progress.update(task, completed=done, total=total, description=title),
        )
    console = Console(highlight=False, width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    console.print(tables.slopes(measured))
    for problem in measured.problems:
        console.print(f"not measured: {problem}", style="bold", markup=False)
    for text in measured.disturbed:
        console.print(f"disturbed: {text}", markup=False)
    machine = measured.machine
    console.print(
        f"{measured.seconds:.0f} s on processors {machine.allowed} of {machine.cores}; Python {machine.python}; "
    )
    console.print(f"load {machine.load_before:.2f} before, {machine.load_after:.2f} after; commit {machine.commit}")
    if arguments["--json"]:
        slopes.write(arguments["--json"], measured)
    if arguments["--chart"]:
        from ..lab.capacity import chart

        chart.draw(arguments["--chart"], measured)
        console.print(f"chart: {arguments['--chart']}")
    return int(bool(measured.problems))
