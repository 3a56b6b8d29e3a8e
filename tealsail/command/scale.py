"""`tealsail scale`: a scale run, what it showed between its faults, and what each role cost."""

import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from ..lab.capacity import slopes
from ..lab.scale import prediction, runs
from ..lab.scale.results import NO_VALUE, RoleUsage, Run, Spread
from ..lab.scenario import BadScenario, read
from ..record.lines import Unreadable
from .capacity import DEFAULT_FROM
from .lab import WIDTH, Shown, number, save


def run(chosen: dict[str, Any]) -> int:
    """Returns the exit code: 1 if a rule was broken or a relay went wrong, 2 if it could not be played or is void."""
    out = Console(highlight=False, width=None if sys.stdout.isatty() else WIDTH)
    try:
        return scale(chosen, out)
    except (BadScenario, Unreadable, OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def decimal(chosen: dict[str, Any], name: str, least: float, most: float) -> float:
    """A figure of the command line, in bounds."""
    text = chosen[name]
    if not text.replace(".", "", 1).isdigit() or not least <= float(text) <= most:
        raise ValueError(f"{name}={text}: not a figure from {least:g} to {most:g}")
    return float(text)


def scale(chosen: dict[str, Any], out: Console) -> int:
    scenario = read(chosen["SCENARIO"])
    seed = number(chosen, "--seed", 0, 1 << 62) if chosen["--seed"] else scenario.seed
    real, processes = number(chosen, "--real", 1, 100), number(chosen, "--processes", 1, 90)
    slow, list_every = decimal(chosen, "--slow", 1, 100), decimal(chosen, "--list-every", 0, 10)
    with Shown("scale run"):
        found = runs.play(scenario, seed, real, processes, slow, list_every, chosen["--logs"])
    show(found, slow, out)
    show_foretold(found, Path(chosen["--from"] or DEFAULT_FROM), out)
    save(chosen["--json"], found)
    if chosen["--chart"]:
        from ..lab.scale import chart

        chart.draw(chosen["--chart"], found)
        out.print(f"chart: {chosen['--chart']}")
    return 2 if found.is_void else int(not found.has_passed)


def show(found: Run, slow: float, out: Console) -> None:
    clock = "on a true clock" if slow == 1 else f"on clocks {slow:g} times as slow as true ones"
    out.print(
        f"{found.name}: {found.relays} relays, {len(found.real)} of them real, {found.units} backends, "
        f"{found.requests_per_second:g} requests/s, {found.seconds:g} s {clock}"
    )
    out.print(
        f"{found.processes} processes, {found.memory_mb:.0f} MB at the most, {found.setup_seconds:.0f} s to come up, "
        f"{found.day_seconds:.0f} s to play; arrivals at hollow relays over 10 ms late: {found.late_part:.2%}"
    )
    stalled = f"a process stood behind for {found.stalled_part:.2%} of the day at worst"
    out.print(f"VOID, the machine was too busy: {stalled}" if found.is_void else stalled)
    out.print(window_table(found))
    out.print(role_table(found))
    for role in found.roles:
        if role.kinds:
            parts = ", ".join(f"{kind} {part:.3%}" for kind, part in sorted(role.kinds.items()))
            out.print(f"{role.role}, of a core in the mean: {parts}")
    groups = " ".join(f"{part:.2f}" for part in found.group_cpu)
    out.print(f"cores of hollow processes, stand-ins included: {groups}; of the director: {found.director_cpu:.2f}")
    if found.shed:
        out.print(f"datagrams that hollow relays turned away: {found.shed}")
    for text in found.problems:
        out.print(f"WRONG: {text}")
    if found.breaches:
        out.print("rules BROKEN: " + ", ".join(f"{name} {count}" for name, count in found.breaches.items()))
        for text in found.broken:
            out.print(f"  {text}")
    else:
        out.print("rules: none broken")


def show_foretold(found: Run, path: Path, out: Console) -> None:
    """Each cost beside what the file's slopes foretell; where it is further off, the largest term and its slope."""
    if not path.exists():
        return out.print(f"nothing is foretold: no {path}; `tealsail capacity --json={path}` writes one")
    table = Table(title=f"seen beside what {path} foretells at this size")
    for place, column in enumerate(("role", "cost", "foretold", "seen", "ratio", "within 20%")):
        table.add_column(column, justify="left" if place < 2 else "right")
    compared = prediction.compare(found, slopes.read(path))
    for each in compared:
        near = "yes" if each.is_within else "NO"
        amount = f"{each.predicted:.4g} ±{each.error:.2g}"
        table.add_row(each.role, each.cost, amount, f"{each.measured:.4g}", f"{each.ratio:.2f}", near)
    out.print(table)
    for each in compared:
        if not each.is_within:
            out.print(
                f"{each.role}, {each.cost}: {each.ratio:.2f} times what was foretold; most of that: {each.largest_term}"
            )


def shown(value: float, form: str) -> str:
    return "-" if value == NO_VALUE else format(value, form)


def window_table(found: Run) -> Table:
    table = Table(
        title="between the faults (worst: attempts at one backend in 100 ms over its share; p99 in ms; restored in s)"
    )
    for place, column in enumerate(
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
        table.add_column(column, justify="left" if place == 0 else "right")
    for each in found.windows:
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
            shown(each.p99_real_ms, ".0f"),
            shown(each.p99_all_ms, ".0f"),
            f"{each.messages_per_second:.0f}",
            restored,
        )
    return table


def three(spread: Spread, form: str) -> str:
    return " ".join(format(value, form) for value in spread)


def role_table(found: Run) -> Table:
    table = Table(title="what a role's process cost: mean, 99th of a hundred, worst; out and in a second")
    for place, column in enumerate(
        ("role", "many", "% of a core", "MB", "datagrams out", "datagrams in", "bytes out", "bytes in")
    ):
        table.add_column(column, justify="left" if place == 0 else "right")
    for role in found.roles:
        table.add_row(role.role, str(role.many), *role_cells(role))
    return table


def role_cells(role: RoleUsage) -> list[str]:
    return [
        three(Spread(*(100 * part for part in role.processor)), ".2f"),
        three(role.memory_mb, ".1f"),
        three(role.datagrams_out, ".0f"),
        three(role.datagrams_in, ".0f"),
        three(role.bytes_out, ".0f"),
        three(role.bytes_in, ".0f"),
    ]
