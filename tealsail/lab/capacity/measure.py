"""One run of all measurements: starts the measuring processes, reads their lines, ends them, and fits the slopes."""

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
LONGEST = 298.0  # seconds of a whole run
WAIT = 5.0  # seconds until a measuring process that was told to end is killed
REPEATS, POINTS = 2, 4  # of each size on sockets; sizes of a slope
BASES = {
    Axis.UNITS: float(Setup().units),
    Axis.RELAYS: float(Setup().relays),
    Axis.TENANTS: float(Setup().tenants),
}

Show = Callable[[int, int, str], None]


class Collector:
    """What the measuring processes have said."""

    def __init__(self, show: Show) -> None:
        self.show = show
        self.points: list[Point] = []
        self.problems: list[str] = []
        self.disturbed: list[str] = []
        self.before, self.total = 0, 0  # measurements of processes that have ended; of all

    def take(self, line: ReportLine) -> None:
        match line:
            case PointMeasured(point):
                self.points.append(point)
            case Problem(text):
                self.problems.append(text)
            case Disturbed(text):
                self.disturbed.append(text)
            case Progress(done, _, title):
                self.show(self.before + done, self.total, title)


def lines(arguments: list[str], until: float) -> Iterator[ReportLine]:
    """What one measuring process says; it is ended with this program, or at `until` (monotonic seconds)."""
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-B", "-m", *arguments]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment)
    late = threading.Timer(max(0.0, until - time.monotonic()), process.kill)
    late.daemon = True
    late.start()
    decoder = msgspec.json.Decoder(ReportLine)
    try:
        for text in process.stdout:
            yield decoder.decode(text)
    finally:
        late.cancel()
        process.stdin.close()  # it ends what it started, and itself
        process.stdout.close()
        try:
            code = process.wait(WAIT)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
    if code:
        yield Problem(f"{' '.join(arguments)}: ended with {code}")


def measure(axes: list[Axis], repeats: int, points: int, show: Show) -> Slopes:
    """All slopes along these axes."""
    begun, before = time.monotonic(), machine()
    until = begun + LONGEST
    collector = Collector(show)
    parts = alone(axes, points)
    collector.total = len(parts) + repeats * points * len(axes)
    for done, (axis, sizes) in enumerate(parts):
        show(done, collector.total, f"facade alone: {axis} {' '.join(sizes)}")
        for line in lines(["tealsail.lab.capacity.facade_measurements", axis, *sizes], until):
            collector.take(line)
    collector.before = len(parts)
    seconds = f"{max(1.0, until - WAIT - time.monotonic()):.1f}"
    for line in lines(["tealsail.lab.capacity.process_measurements", seconds, str(repeats), str(points), *axes], until):
        if isinstance(line, Progress):
            collector.total = len(parts) + line.total
        collector.take(line)
    seconds = time.monotonic() - begun
    found = fit_slopes(collector.points, BASES, describe_causes())
    return Slopes(
        VERSION,
        msgspec.structs.replace(before, load_after=os.getloadavg()[0]),
        seconds,
        repeats,
        found,
        collector.problems,
        collector.disturbed,
    )


def alone(axes: list[Axis], points: int) -> list[tuple[Axis, list[str]]]:
    """What each process for the facade measures: one size where memory is read, else all of an axis."""
    parts: list[tuple[Axis, list[str]]] = []
    for axis in axes:
        sizes = [f"{x:g}" for x in SIZES[axis][:points]]
        parts += [(axis, [size]) for size in sizes] if axis in STATE_AXES else [(axis, sizes)]
    return parts


def machine() -> Machine:
    """As it is now, and the tree that is measured."""
    return Machine(
        os.cpu_count() or 0,
        sorted(os.sched_getaffinity(0)),
        processor(),
        platform.python_version(),
        platform.release(),
        os.getloadavg()[0],
        0.0,
        time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        git("rev-parse", "--short", "HEAD"),
        bool(git("status", "--porcelain", "--untracked-files=no", "--", "tealsail")),
    )


def processor() -> str:
    """Its name, as the system has it."""
    try:
        rows = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return platform.processor()
    return next((row.partition(":")[2].strip() for row in rows if row.startswith("model name")), platform.machine())


def git(*arguments: str) -> str:
    """Nothing where the tree is no checkout."""
    try:
        return subprocess.run(
            ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, timeout=10, check=True
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""
