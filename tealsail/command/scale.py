"""`tealsail scale`: plays a scale run, and prints what it showed between its faults and what each role cost."""

import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from ..lab.capacity import slopes
from ..lab.scale import prediction, runs
from ..lab.scale.results import NO_VALUE, RoleUsage, Run, Spread
from ..lab.scenario import BadScenario, read
from ..record.lines import InvalidRecord
from .capacity import DEFAULT_RUN_FILE
from .lab import OUTPUT_WIDTH, ProgressBar, integer_option, save_json


def run(arguments: dict[str, Any]) -> int:
    """Carries out the command and returns the exit code.

    1: a rule was broken or a relay went wrong; 2: the run could not be played, or is void.
    """
    console = Console(highlight=False, width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    try:
        return play_scale_run(arguments, console)
    except (BadScenario, InvalidRecord, OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def decimal_option(arguments: dict[str, Any], name: str, lowest: float, highest: float) -> float:
    """Parses a decimal number of the command line.  Raises ValueError if it is not from `lowest` to `highest`."""
    text = arguments[name]
    if not text.replace(".", "", 1).isdigit() or not lowest <= float(text) <= highest:
        raise ValueError(f"{name}={text}: not a number from {lowest:g} to {highest:g}")
    return float(text)


def play_scale_run(arguments: dict[str, Any], console: Console) -> int:
    """Plays the run, prints and saves what it showed, and returns the exit code."""
    scenario = read(arguments["SCENARIO"])
    seed = integer_option(arguments, "--seed", 0, 1 << 62) if arguments["--seed"] else scenario.seed
    real = integer_option(arguments, "--real", 1, 100)
    processes = integer_option(arguments, "--processes", 1, 90)
    slowdown = decimal_option(arguments, "--slow", 1, 100)
    list_interval = decimal_option(arguments, "--list-every", 0, 10)
    with ProgressBar("scale run"):
        scale_run = runs.play(scenario, seed, real, processes, slowdown, list_interval, arguments["--logs"])
    print_run(scale_run, slowdown, console)
    print_forecast(scale_run, Path(arguments["--from"] or DEFAULT_RUN_FILE), console)
    save_json(arguments["--json"], scale_run)
    if arguments["--chart"]:
        from ..lab.scale import chart

        chart.draw(arguments["--chart"], scale_run)
        console.print(f"chart: {arguments['--chart']}")
    return 2 if scale_run.is_void else int(not scale_run.has_passed)


def print_run(scale_run: Run, slowdown: float, console: Console) -> None:
    """Prints all that a run showed; `slowdown` is the number of true seconds that one of its seconds took."""
    clock = "in real time" if slowdown == 1 else f"(each {slowdown:g} s in real time)"
    console.print(
        f"{scale_run.name}: {scale_run.relays} relays, {len(scale_run.real)} of them real, "
        f"{scale_run.units} backends, "
        f"{scale_run.requests_per_second:g} requests/s, {scale_run.seconds:g} s {clock}"
    )
    console.print(
        f"{scale_run.processes} processes, {scale_run.memory_mb:.0f} MB at most, "
        f"{scale_run.setup_seconds:.0f} s to start, "
        f"{scale_run.day_seconds:.0f} s to play; arrivals at hollow relays over 10 ms late: {scale_run.late_part:.2%}"
    )
    stalled = f"the worst process ran late for {scale_run.stalled_part:.2%} of the day"
    console.print(f"VOID, the machine was too busy: {stalled}" if scale_run.is_void else stalled)
    console.print(window_table(scale_run))
    console.print(role_table(scale_run))
    for role in scale_run.roles:
        if role.kinds:
            parts = ", ".join(f"{kind} {part:.3%}" for kind, part in sorted(role.kinds.items()))
            console.print(f"{role.role}, mean share of a core by kind of work: {parts}")
    groups = " ".join(f"{part:.2f}" for part in scale_run.group_cpu)
    console.print(
        f"cores used by each process of hollow relays, its stand-ins included: {groups}; "
        f"by the director: {scale_run.director_cpu:.2f}"
    )
    if scale_run.shed:
        console.print(f"datagrams refused by hollow relays: {scale_run.shed}")
    for text in scale_run.problems:
        console.print(f"WRONG: {text}")
    if scale_run.breaches:
        console.print("rules BROKEN: " + ", ".join(f"{name} {count}" for name, count in scale_run.breaches.items()))
        for text in scale_run.broken:
            console.print(f"  {text}")
    else:
        console.print("rules: none broken")


def print_forecast(scale_run: Run, path: Path, console: Console) -> None:
    """Prints each measured cost beside the forecast by the slopes of the capacity run in `path`.

    For a cost further off than 20%, also the largest term of its forecast and its slope.
    """
    if not path.exists():
        return console.print(f"no forecast, since there is no {path}; `tealsail capacity --json={path}` writes one")
    table = Table(title=f"measured costs beside the forecast from {path} for this size")
    for index, column in enumerate(("role", "cost", "forecast", "measured", "ratio", "within 20%")):
        table.add_column(column, justify="left" if index < 2 else "right")
    compared = prediction.compare(scale_run, slopes.read(path))
    for each in compared:
        is_within = "yes" if each.is_within else "NO"
        amount = f"{each.predicted:.4g} ±{each.error:.2g}"
        table.add_row(each.role, each.cost, amount, f"{each.measured:.4g}", f"{each.ratio:.2f}", is_within)
    console.print(table)
    for each in compared:
        if not each.is_within:
            console.print(
                f"{each.role}, {each.cost}: {each.ratio:.2f} times the forecast; its largest term: {each.largest_term}"
            )


def format_known(value: float, form: str) -> str:
    """Formats a figure, or a dash where there was nothing to measure."""
    return "-" if value == NO_VALUE else format(value, form)


def window_table(scale_run: Run) -> Table:
    """A row for each window between kinds of faults."""
    table = Table(
        title="between the faults (worst: most attempts at one backend in 100 ms, relative to its even share; "
        "p99 in ms; restored in s)"
    )
    for index, column in enumerate(
        (
            "what",
            "from s",
            "to s",
            "requests",
            "service",
            "waste",
            "worst",
            "p99 real",
            "p99 all",
            "messages/s",
            "restored",
        )
    ):
        table.add_column(column, justify="left" if index == 0 else "right")
    for each in scale_run.windows:
        restored = (
            "" if each.name == "calm" else "not seen" if each.restored_s == NO_VALUE else f"{each.restored_s:.0f}"
        )
        table.add_row(
            each.name,
            f"{each.begin_s:.0f}",
            f"{each.end_s:.0f}",
            str(each.requests),
            f"{each.service:.4f}",
            f"{each.waste:.4f}",
            f"{each.worst_100ms:.1f}",
            format_known(each.p99_real_ms, ".0f"),
            format_known(each.p99_all_ms, ".0f"),
            f"{each.messages_per_second:.0f}",
            restored,
        )
    return table


def format_spread(spread: Spread, form: str) -> str:
    """The mean, the 99th percentile and the worst."""
    return " ".join(format(value, form) for value in spread)


def role_table(scale_run: Run) -> Table:
    """A row for each role."""
    table = Table(title="cost of a process by role: mean, 99th percentile, worst; messages and bytes per second")
    for index, column in enumerate(
        ("role", "processes", "% of a core", "MB", "datagrams out", "datagrams in", "bytes out", "bytes in")
    ):
        table.add_column(column, justify="left" if index == 0 else "right")
    for role in scale_run.roles:
        table.add_row(role.role, str(role.many), *role_cells(role))
    return table


def role_cells(role: RoleUsage) -> list[str]:
    """The cells of a row from the third column on."""
    return [
        format_spread(Spread(*(100 * part for part in role.processor)), ".2f"),
        format_spread(role.memory_mb, ".1f"),
        format_spread(role.datagrams_out, ".0f"),
        format_spread(role.datagrams_in, ".0f"),
        format_spread(role.bytes_out, ".0f"),
        format_spread(role.bytes_in, ".0f"),
    ]
