"""Runs all measurements: starts the measuring processes, reads their reports, ends them, and fits the slopes."""

import os
import platform
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from .causes import describe_causes
from .events import SIZES, STATE_AXES, Setup
from .points import Axis, Disturbed, Point, PointMeasured, Problem, Progress, ReportLine
from .slopes import VERSION, Machine, Slopes, fit_slopes

ROOT = Path(__file__).parents[3]
MAX_RUN_TIME = 298.0  # seconds
EXIT_TIMEOUT = 5.0  # seconds until a measuring process is killed that does not end when its input is closed
REPEATS = 2  # of each size on sockets
POINTS = 4  # sizes of a slope
BASES = {  # sizes in measurements along the other axes
    Axis.UNITS: float(Setup().units),
    Axis.RELAYS: float(Setup().relays),
    Axis.TENANTS: float(Setup().tenants),
}

ShowProgress = Callable[[int, int, str], None]  # measurements done, their total, the title of the next one


class Collector:
    """Collects the reports of the measuring processes.

    `done_before` counts the measurements of processes that have ended, `total` all of the run.
    """

    def __init__(self, show: ShowProgress) -> None:
        self.show = show
        self.points: list[Point] = []
        self.problems: list[str] = []
        self.disturbed: list[str] = []
        self.done_before = 0
        self.total = 0

    def add(self, line: ReportLine) -> None:
        """Takes in one report."""
        match line:
            case PointMeasured(point):
                self.points.append(point)
            case Problem(text):
                self.problems.append(text)
            case Disturbed(text):
                self.disturbed.append(text)
            case Progress(done, _, title):
                self.show(self.done_before + done, self.total, title)


def run_process(arguments: list[str], until: float) -> Iterator[ReportLine]:
    """The reports of one measuring process, which is killed at `until` (seconds of the monotonic clock).

    The process with the sockets also ends when its input is closed, and so when this program ends.
    """
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-B", "-m", *arguments]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment)
    timeout = threading.Timer(max(0.0, until - time.monotonic()), process.kill)
    timeout.daemon = True
    timeout.start()
    decoder = msgspec.json.Decoder(ReportLine)
    try:
        for text in process.stdout:
            yield decoder.decode(text)
    finally:
        timeout.cancel()
        process.stdin.close()  # the process ends the relay that it started, and itself
        process.stdout.close()
        try:
            code = process.wait(EXIT_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
    if code:
        yield Problem(f"{' '.join(arguments)}: exit status {code}")


def measure(axes: list[Axis], repeats: int, points: int, show: ShowProgress) -> Slopes:
    """Measures along the axes and fits all slopes: each of the first `points` sizes `repeats` times on sockets."""
    begun, machine_before = time.monotonic(), machine()
    until = begun + MAX_RUN_TIME
    collector = Collector(show)
    parts = facade_parts(axes, points)
    collector.total = len(parts) + repeats * points * len(axes)
    for done, (axis, sizes) in enumerate(parts):
        show(done, collector.total, f"facade alone: {axis} {' '.join(sizes)}")
        for line in run_process(["tealsail.lab.capacity.facade_measurements", axis, *sizes], until):
            collector.add(line)
    collector.done_before = len(parts)
    time_left = f"{max(1.0, until - EXIT_TIMEOUT - time.monotonic()):.1f}"
    for line in run_process(
        ["tealsail.lab.capacity.process_measurements", time_left, str(repeats), str(points), *axes], until
    ):
        if isinstance(line, Progress):
            collector.total = len(parts) + line.total
        collector.add(line)
    seconds = time.monotonic() - begun
    fitted = fit_slopes(collector.points, BASES, describe_causes())
    return Slopes(
        VERSION,
        msgspec.structs.replace(machine_before, load_after=os.getloadavg()[0]),
        seconds,
        repeats,
        fitted,
        collector.problems,
        collector.disturbed,
    )


def facade_parts(axes: list[Axis], points: int) -> list[tuple[Axis, list[str]]]:
    """What each process for the facade measures: one size of an axis where memory is read, else all sizes."""
    parts: list[tuple[Axis, list[str]]] = []
    for axis in axes:
        sizes = [f"{x:g}" for x in SIZES[axis][:points]]
        parts += [(axis, [size]) for size in sizes] if axis in STATE_AXES else [(axis, sizes)]
    return parts


def machine() -> Machine:
    """The machine as it is now, and the commit that is measured; `load_after` is still 0."""
    return Machine(
        os.cpu_count() or 0,
        sorted(os.sched_getaffinity(0)),
        processor_name(),
        platform.python_version(),
        platform.release(),
        os.getloadavg()[0],
        0.0,
        time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        git("rev-parse", "--short", "HEAD"),
        bool(git("status", "--porcelain", "--untracked-files=no", "--", "tealsail")),
    )


def processor_name() -> str:
    """The name of the processor, as the system has it."""
    try:
        rows = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return platform.processor()
    return next((row.partition(":")[2].strip() for row in rows if row.startswith("model name")), platform.machine())


def git(*arguments: str) -> str:
    """The output of a git command in the measured tree; empty if that is no checkout or git fails."""
    try:
        return subprocess.run(
            ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, timeout=10, check=True
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""
