"""The lab's sub-commands: model, trial, record.  What they find goes into tables, files of JSON and charts."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from ..lab import costs, fields, fits, imports, judging, losses, runs
from ..lab.bars import Bar, Difference
from ..lab.figures import Result
from ..lab.scenario import BadScenario, Scenario, read
from ..record.lines import Unreadable
from ..world.rules import Breach

FEWEST, MOST = 1, 1000  # replicas
MOST_UNITS = 30  # rows of a table
WIDTH = 140  # of tables that go to a file or a pipe


def run(chosen: dict[str, Any]) -> int:
    """Carries out what was chosen; returns the exit code."""
    out = Console(highlight=False, width=None if sys.stdout.isatty() else WIDTH)
    try:
        if chosen["model"]:
            for name, call in (
                ("run", model_run),
                ("compare", model_compare),
                ("check", model_check),
                ("losses", model_losses),
                ("judges", model_judges),
                ("even", model_even),
                ("digests", model_digests),
                ("cost", model_cost),
                ("fields", model_fields),
            ):
                if chosen[name]:
                    return call(chosen, out)
        if chosen["hunt"]:
            return hunted(chosen, out)
        if chosen["trial"]:
            return trial(chosen, out)
        for name, call in (("show", record_show), ("import", record_import), ("fit", record_fit)):
            if chosen[name]:
                return call(chosen, out)
    except (BadScenario, Unreadable, OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def number(chosen: dict[str, Any], name: str, least: int, most: int) -> int:
    """A whole number of the command line, in bounds."""
    text = chosen[name]
    if not text.isdigit() or not least <= int(text) <= most:
        raise ValueError(f"{name}={text}: not a whole number from {least} to {most}")
    return int(text)


class Shown:
    """A progress bar on standard error, only where somebody looks."""

    def __init__(self, title: str) -> None:
        self.bar = Progress(console=Console(stderr=True), transient=True, disable=not sys.stderr.isatty())
        self.title = title

    def __enter__(self) -> "Shown":
        self.bar.start()
        self.task = self.bar.add_task(self.title, total=None)
        return self

    def __exit__(self, *what: Any) -> None:
        self.bar.stop()

    def __call__(self, done: int, total: int) -> None:
        self.bar.update(self.task, completed=done, total=total)


def shown(value: float, name: str = "") -> str:
    if value != value:
        return "-"
    return f"{value:.1f}" if "_ms" in name else f"{value:.2f}" if "_s." in name else f"{value:.4f}"


def bar_text(name: str, bar: Bar | None) -> str:
    return "-" if bar is None else f"{shown(bar.mean, name)} [{shown(bar.low, name)}, {shown(bar.high, name)}]"


def save(path: str | None, tree: Any) -> None:
    if path:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(tree), indent=1) + b"\n")


def say_breaches(out: Console, breaches: Sequence[Breach], counts: dict[str, int]) -> bool:
    """Whether a rule was broken; the first few in words."""
    broken = {name: count for name, count in counts.items() if count}
    if not broken:
        out.print("rules: none broken")
        return False
    out.print("rules BROKEN: " + ", ".join(f"{name} {count}" for name, count in broken.items()))
    for breach in breaches[:5]:
        out.print(f"  {breach.at / 10_000:.3f}s {breach.rule}: {breach.text}")
    return True


def total(results: Sequence[Result]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in results:
        for name, count in result.breaches.items():
            counts[name] = counts.get(name, 0) + count
    return counts


def day_table(result: Result) -> Table:
    table = Table(title=f"{result.name} ({result.source}, seed {result.seed})")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for name, value in result.figures.items():
        table.add_row(name, shown(value, name))
    return table


def sent_table(result: Result) -> Table:
    """What was sent where."""
    table = Table(title="shots by unit")
    for column in ("unit", "build", "shots", "served", "errors", "other"):
        table.add_column(column, justify="right")
    rows = sorted(result.sent.items(), key=lambda each: (each[1][0], -each[1][1], each[0]))
    for unit, row in rows[:MOST_UNITS]:
        table.add_row(unit, *(str(each) for each in row))
    if len(rows) > MOST_UNITS:
        table.add_row("...", "", str(sum(row[1] for _, row in rows[MOST_UNITS:])), "", "", "")
    return table


def chart(
    path: str | None, out: Console, options: Sequence[runs.Option], real: Sequence[Sequence[Result]] = ()
) -> None:
    if path:
        from ..lab import charts

        charts.options(path, options, real)
        out.print(f"chart: {path}")
        if options[0].results[0].use:
            beside = str(Path(path).with_suffix("")) + "-units.png"
            charts.use(beside, options[0].results[0])
            out.print(f"chart: {beside}")
        if any(name.startswith("shots.") for name in options[0].results[0].series):
            beside = str(Path(path).with_suffix("")) + "-zones.png"
            charts.zones(beside, {each.name: each.results for each in options})
            out.print(f"chart: {beside}")


def one_day(chosen: dict[str, Any], out: Console, result: Result, breaches: Sequence[Breach]) -> int:
    """All that is known of one day."""
    for note in result.notes:
        out.print(note)
    for owner in result.owners:
        out.print(f"owner: {owner}")
    out.print(sent_table(result))
    out.print(day_table(result))
    save(chosen["--json"], result)
    chart(chosen["--chart"], out, [runs.Option(result.name, [result], {}, list(breaches))])
    return int(say_breaches(out, breaches, result.breaches))


def model_run(chosen: dict[str, Any], out: Console) -> int:
    scenario = read(chosen["SCENARIO"])
    if chosen["--seed"] or chosen["--record"]:  # one day, in full
        seed = number(chosen, "--seed", 0, 1 << 62) if chosen["--seed"] else scenario.seed
        result, breaches = runs.play(scenario, seed, chosen["--record"])
        return one_day(chosen, out, result, breaches)
    (option,) = modelled(chosen, [scenario])
    table = Table(title=f"{scenario.name}: {len(option.results)} days in virtual time, 95% bars for one day")
    for column in ("figure", "mean [bar]", "mean known to"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name, bar in option.bars.items():
        table.add_row(name, bar_text(name, bar), f"±{shown(bar.known, name)}")
    out.print(table)
    save(
        chosen["--json"],
        {
            "scenario": scenario.name,
            "days": option.results,
            "bars": {name: bar._asdict() for name, bar in option.bars.items()},
        },
    )
    chart(chosen["--chart"], out, [option])
    return int(say_breaches(out, option.breaches, total(option.results)))


def modelled(chosen: dict[str, Any], scenarios: list[Scenario]) -> list[runs.Option]:
    many = number(chosen, "--replicas", max(2, FEWEST), MOST)
    jobs = number(chosen, "--jobs", 0, 512)
    drawn = [fits.drawn(scenario, many) for scenario in scenarios]
    with Shown("days") as progress:
        return runs.days(drawn, jobs, progress)


def difference_row(name: str, a: Bar | None, b: Bar | None, gap: Difference) -> tuple[str, ...]:
    sign = f"{'+' if gap.mean >= 0 else ''}{shown(gap.mean, name)} [{shown(gap.low, name)}, {shown(gap.high, name)}]"
    return name, bar_text(name, a), bar_text(name, b), sign, gap.better


def model_compare(chosen: dict[str, Any], out: Console) -> int:
    scenarios = [read(chosen[name]) for name in ("A", "B")]
    first, second = modelled(chosen, scenarios)
    gaps = runs.compare(first, second)
    table = Table(title=f"A: {first.name}   B: {second.name}   ({len(first.results)} days each, on the same chance)")
    for column in ("figure", "A [bar]", "B [bar]", "B - A [95%]", "better"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name, gap in gaps.items():
        table.add_row(*difference_row(name, first.bars.get(name), second.bars.get(name), gap))
    out.print(table)
    if "service" in gaps and "harm" in gaps and {gaps["service"].better, gaps["harm"].better} == {"A", "B"}:
        out.print("mind: one option wins on service, the other on harm")
    save(
        chosen["--json"],
        {
            "A": first.name,
            "B": second.name,
            "differences": {name: gap._asdict() for name, gap in gaps.items()},
            "days": {"A": first.results, "B": second.results},
        },
    )
    chart(chosen["--chart"], out, [first, second])
    broken = [say_breaches(out, option.breaches, total(option.results)) for option in (first, second)]
    return int(any(broken))


def model_check(chosen: dict[str, Any], out: Console) -> int:
    from ..lab import trials

    scenarios = [read(chosen[name]) for name in ("A", "B")]
    repeats = number(chosen, "--repeats", 1, 20)
    at_once = number(chosen, "--at-once", 1, 16)
    options = modelled(chosen, scenarios)
    with Shown("real days") as progress:
        played = trials.days(scenarios, repeats, at_once, chosen["--keep"], progress)
    real = [[result for result, _ in mine] for mine in played]
    broken = False
    for mine in played:
        for result, breaches in mine:
            broken = bool(result.breaches) and say_breaches(out, breaches, result.breaches) or broken
    if not broken:
        out.print(f"rules: none broken on {2 * repeats} real days")
    outside = inside = 0
    for place, option in enumerate(options):
        table = Table(title=f"{'AB'[place]}: {option.name}: model's bar and {repeats} real")
        for column in ("figure", "bar", "real", "inside"):
            table.add_column(column, justify="left" if column == "figure" else "right")
        for name, bar in option.bars.items():
            values = [each.figures[name] for each in real[place] if name in each.figures]
            held = [bar.holds(value) for value in values]
            inside, outside = inside + sum(held), outside + len(held) - sum(held)
            table.add_row(
                name,
                bar_text(name, bar),
                " ".join(shown(value, name) for value in values),
                "yes" if all(held) else f"{sum(held)} of {len(held)}" if any(held) else "NO",
            )
        out.print(table)
    part = inside / (inside + outside or 1)
    out.print(f"inside their bars: {inside} of {inside + outside} real figures ({part:.1%}; nominal 95%)")
    save(
        chosen["--json"],
        {
            "bars": [{name: bar._asdict() for name, bar in option.bars.items()} for option in options],
            "real": real,
            "inside": inside,
            "outside": outside,
        },
    )
    chart(chosen["--chart"], out, options, real)
    return int(broken or outside > 0)


def limits(text: str) -> dict[str, float]:
    """name=figure, with commas between them."""
    from ..lab.hunt import LIMITS

    found = {}
    for each in text.split(","):
        name, _, figure = each.partition("=")
        if name not in LIMITS or not figure.replace(".", "", 1).isdigit():
            raise ValueError(f"--most={text}: {each}: not one of {', '.join(LIMITS)} and a figure")
        found[name] = float(figure)
    return found


def hunted(chosen: dict[str, Any], out: Console) -> int:
    from ..lab import hunt

    scenario = read(chosen["SCENARIO"])
    days, first = number(chosen, "--days", 1, 10_000), number(chosen, "--seed", 0, 1 << 62) if chosen["--seed"] else 1
    with Shown("days") as progress:
        found = hunt.hunt(scenario, days, first, limits(chosen["--most"]), number(chosen, "--jobs", 0, 512), progress)
    for find in found:
        why = ", ".join(f"{name} {figure:.2f}" for name, figure in find.why.items())
        out.print(f"seed {find.seed}: {why} (from {find.before} lines):\n    " + find.script.replace("\n", "\n    "))
    out.print(f"{len(found)} of {days} days fail")
    save(chosen["--json"], [find._asdict() for find in found])
    return int(bool(found))


def model_losses(chosen: dict[str, Any], out: Console) -> int:
    scenarios = [read(name) for name in chosen["OPTION"]]
    many = number(chosen, "--replicas", max(2, FEWEST), MOST)
    with Shown("days") as progress:
        found = losses.losses(scenarios, many, number(chosen, "--jobs", 0, 512), progress)
    table = Table(title=f"what the faults cost: {many} days each, with and without ([95%] of the mean)")
    for column in ("figure", *(each.name for each in found)):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name in found[-1].bars:
        row = [(each.bars[name].mean, each.bars[name].known) for each in found if name in each.bars]
        table.add_row(name, *(f"{shown(mean, name)} ±{shown(known, name)}" for mean, known in row))
    out.print(table)
    gaps = {each.name: losses.compare(each, found[-1]) for each in found[:-1]}
    for other, rows in gaps.items():
        table = Table(title=f"A: {other}   B: {found[-1].name}")
        for column in ("figure", "B - A [95%]", "better"):
            table.add_column(column, justify="left" if column == "figure" else "right")
        for name, gap in rows.items():
            table.add_row(name, f"{gap.mean:+.4f} [{gap.low:+.4f}, {gap.high:+.4f}]", gap.better)
        out.print(table)
    save(
        chosen["--json"],
        {
            each.name: {
                "days": each.figures,
                "bars": {name: bar._asdict() for name, bar in each.bars.items()},
                "breaches": total([*each.hit, *each.calm]),
            }
            for each in found
        }
        | {
            "differences": {
                name: {figure: gap._asdict() for figure, gap in rows.items()} for name, rows in gaps.items()
            }
        },
    )
    if chosen["--chart"]:
        from ..lab import charts

        charts.zones(chosen["--chart"], {each.name: each.hit for each in found})
        out.print(f"chart: {chosen['--chart']}")
    broken = [say_breaches(out, [], total([*each.hit, *each.calm])) for each in found]
    return int(any(broken))


def model_even(chosen: dict[str, Any], out: Console) -> int:
    from ..lab import baselines

    scenario = read(chosen["SCENARIO"])
    many = number(chosen, "--replicas", max(2, FEWEST), MOST)
    with Shown("days") as progress:
        found = baselines.table(scenario, many, number(chosen, "--jobs", 0, 512), progress)
    show_choosers(f"{scenario.name}: {many} days each", found, baselines.SHOWN_FIGURES, out)
    save_choosers(chosen, found)
    return 0


def model_digests(chosen: dict[str, Any], out: Console) -> int:
    from ..lab import digest_days

    scenario = read(chosen["SCENARIO"])
    many, trouble = number(chosen, "--replicas", max(2, FEWEST), MOST), chosen["--trouble"]
    names = digest_days.CHOOSERS if chosen["--choosers"] == "all" else chosen["--choosers"].split(";")
    with Shown("days") as progress:
        found, differ = digest_days.table(scenario, many, number(chosen, "--jobs", 0, 512), names, trouble, progress)
    title = f"{scenario.name}, trouble with messages: {trouble}: {many} simulated days each"
    show_choosers(title, found, digest_days.SHOWN_FIGURES, out)
    for figure in ("waste", "p99_ms", "herd"):
        if figure in differ:
            each = differ[figure]
            out.print(f"digests less no messages, {figure}: {each.mean:+.3f} ({each.low:+.3f} to {each.high:+.3f})")
    save_choosers(chosen, found)
    return 0


def show_choosers(title: str, found: dict[str, dict[str, Bar]], shown: Sequence[str], out: Console) -> None:
    """A row for each chooser, a column for each figure."""
    table = Table(title=f"{title}, means ± how well they are known (95%)")
    table.add_column("chooser")
    for name in shown:
        table.add_column(name, justify="right")
    for name, bars in found.items():
        cells = [chooser_cell(bars[figure], figure) if figure in bars else "-" for figure in shown]
        table.add_row(name, *cells)
    out.print(table)


def chooser_cell(bar: Bar, figure: str) -> str:
    places = 0 if "bytes" in figure else 1 if "_ms" in figure else 2
    return f"{bar.mean:.{places}f} ±{bar.known:.2f}"


def save_choosers(chosen: dict[str, Any], found: dict[str, dict[str, Bar]]) -> None:
    plain = {name: {figure: bar._asdict() for figure, bar in bars.items()} for name, bars in found.items()}
    save(chosen["--json"], plain)


def heard_cells(each: judging.JudgeRun) -> tuple[str, ...]:
    return f"{each.taken:.0f}", f"{each.sent_bytes:.1f}", f"{each.cpu:.2%}", f"{each.vote} {each.vote_s:.1f} s"


def model_judges(chosen: dict[str, Any], out: Console) -> int:
    with Shown("fleets") as progress:
        rows = judging.table(progress=progress)
    faulty_relay_runs = judging.faulty_relay_runs()
    for title, pick in (
        ("a good build", lambda row: (row.before, row.after)),
        ("a build that fails 5%", lambda row: (row.back_before, row.back_after)),
    ):
        table = Table(
            title=f"{title}: each tells each second | in turns (notes and bytes a second, CPU of the judge, its vote)"
        )
        for column in ("relays", *("notes", "bytes a relay", "core", "vote") * 2):
            table.add_column(column, justify="right")
        for row in rows:
            table.add_row(str(row.relays), *(cell for each in pick(row) for cell in heard_cells(each)))
        out.print(table)
    table = Table(
        title="50 relays, a good build, some relays mad (200 notes a second, each a lie): no limit | limit by sender"
    )
    for column in ("mad", *("notes", "bytes a relay", "core", "vote") * 2):
        table.add_column(column, justify="right")
    for mad, free, guarded in faulty_relay_runs:
        table.add_row(str(mad), *heard_cells(free), *heard_cells(guarded))
    out.print(table)
    rolled = judging.play_mixed_fleets()
    table = Table(title="400 relays while they are rolled: days of five on which the build goes back")
    for column in ("of before", "a good build", "one that fails 5%, messages lost for 8 s"):
        table.add_column(column, justify="right")
    for each in rolled:
        table.add_row(f"{each.earlier:.0%}", str(each.good), str(each.bad))
    out.print(table)
    save(chosen["--json"], {"fleets": rows, "lies": faulty_relay_runs, "rolled": rolled})
    if chosen["--chart"]:
        from ..lab import charts

        charts.judges(chosen["--chart"], rows)
        out.print(f"chart: {chosen['--chart']}")
    return 0


def model_cost(chosen: dict[str, Any], out: Console) -> int:
    with Shown("fleets") as progress:
        tables = costs.tables(progress)
    with Shown("decisions") as progress:
        decisions = costs.decisions(progress)
    table = Table(title="CPU of the model on one core")
    for column in ("over", "size", "microseconds an invocation", "invocations a second"):
        table.add_column(column, justify="right")
    for name, points in tables.items():
        for size, each in points:
            table.add_row(name, str(size), f"{each:.0f}", f"{1e6 / each:.0f}")
    out.print(table)
    table = Table(title="a relay's pick and what came of it, microseconds of CPU; with zones in the document, in turns")
    for column in ("units", "without", "with zones", "ratio (median of rounds)"):
        table.add_column(column, justify="right")
    for units, each in decisions.items():
        table.add_row(str(units), f"{each.without:.1f}", f"{each.with_it:.1f}", f"{each.ratio:.3f}")
    out.print(table)
    save(chosen["--json"], tables | {"decisions": {str(units): each._asdict() for units, each in decisions.items()}})
    if chosen["--chart"]:
        from ..lab import charts

        charts.cost(chosen["--chart"], tables)
        out.print(f"chart: {chosen['--chart']}")
    return 0


def model_fields(chosen: dict[str, Any], out: Console) -> int:
    table = Table(title="a scenario's fields")
    for column in ("field", "type", "bounds", "default"):
        table.add_column(column)
    for row in fields.rows(Scenario):
        table.add_row(*row)
    out.print(table)
    return 0


def trial(chosen: dict[str, Any], out: Console) -> int:
    from ..lab import trials

    scenario = read(chosen["SCENARIO"])
    seed = number(chosen, "--seed", 0, 1 << 62) if chosen["--seed"] else scenario.seed
    with Shown(scenario.name) as progress:
        result, breaches = trials.play(scenario, seed, chosen["--record"], chosen["--logs"], progress)
    return one_day(chosen, out, result, breaches)


def record_show(chosen: dict[str, Any], out: Console) -> int:
    return one_day(chosen, out, *runs.evaluate_record(chosen["FILE"]))


def record_import(chosen: dict[str, Any], out: Console) -> int:
    start = number(chosen, "--start", 0, 1 << 50) if chosen["--start"] else None
    found = imports.from_csv(chosen["CSV"], chosen["FILE"], start)
    out.print(
        f"{found.lines} arrivals over {found.span / 10_000:.1f} s; {found.skipped} lines skipped"
        + (f" (first: {found.first_problem})" if found.skipped else "")
        + f"; {found.steps_back} steps back of the clock; longest gap {found.longest_gap / 10_000:.1f} s"
    )
    return 0


def record_fit(chosen: dict[str, Any], out: Console) -> int:
    fitted = fits.fit(chosen["RECORD"], number(chosen, "--draws", 2, 1000))
    table = Table(title=f"fitted from {fitted.source}")
    for column in ("workload", "shots", "mean ms [95%]", "cv", "note"):
        table.add_column(column, justify="left" if column in ("workload", "note") else "right")
    for each in fitted.workloads:
        low, high = each.mean_bar
        mean = f"{each.mean_ms:.2f} [{low:.2f}, {high:.2f}]"
        table.add_row(each.name, str(each.shots), mean, f"{each.cv:.2f}", each.note)
    out.print(table)
    for each in fitted.builds:
        (slow, fast), (few, many) = each.pace_bar, each.errors_bar
        out.print(
            f"build {each.build}: work x {each.pace:.3f} [{slow:.3f}, {fast:.3f}], errors {each.errors:.4f} "
            f"[{few:.4f}, {many:.4f}], {each.shots} shots"
        )
    save(chosen["--json"], fitted)
    return 0
