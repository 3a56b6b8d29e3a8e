"""The sub-commands `model`, `hunt`, `trial` and `record`.

Their results go into tables on standard output, and on request into JSON files and charts.
"""

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
from ..record.lines import InvalidRecord
from ..time_limits import TENTHS_PER_SECOND
from ..world.rules import Breach

FEWEST_REPLICAS = 1
MOST_REPLICAS = 1000
MOST_UNIT_ROWS = 30  # of the table of shots by unit; the rest share a row
OUTPUT_WIDTH = 140  # columns of tables that go to a file or a pipe


def run(arguments: dict[str, Any]) -> int:
    """Carries out a sub-command and returns the exit code; 2 for an input that can't be used."""
    console = Console(highlight=False, width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    try:
        if arguments["model"]:
            for name, command in (
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
                if arguments[name]:
                    return command(arguments, console)
        if arguments["hunt"]:
            return run_hunt(arguments, console)
        if arguments["trial"]:
            return run_trial(arguments, console)
        for name, command in (("show", record_show), ("import", record_import), ("fit", record_fit)):
            if arguments[name]:
                return command(arguments, console)
    except (BadScenario, InvalidRecord, OSError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def integer_option(arguments: dict[str, Any], name: str, lowest: int, highest: int) -> int:
    """Parses a whole number of the command line.  Raises ValueError if it is not from `lowest` to `highest`."""
    text = arguments[name]
    if not text.isdigit() or not lowest <= int(text) <= highest:
        raise ValueError(f"{name}={text}: not a whole number from {lowest} to {highest}")
    return int(text)


class ProgressBar:
    """A progress bar on standard error, shown only on a terminal.  Call it with the steps done and their total."""

    def __init__(self, title: str) -> None:
        self.bar = Progress(console=Console(stderr=True), transient=True, disable=not sys.stderr.isatty())
        self.title = title

    def __enter__(self) -> "ProgressBar":
        self.bar.start()
        self.task = self.bar.add_task(self.title, total=None)
        return self

    def __exit__(self, *exception: Any) -> None:
        self.bar.stop()

    def __call__(self, done: int, total: int) -> None:
        self.bar.update(self.task, completed=done, total=total)


def format_figure(value: float, name: str = "") -> str:
    """Formats a figure with the decimal places that suit its name; NaN as a dash."""
    if value != value:
        return "-"
    return f"{value:.1f}" if "_ms" in name else f"{value:.2f}" if "_s." in name else f"{value:.4f}"


def format_bar(name: str, bar: Bar | None) -> str:
    """Formats a figure's mean and error bar; a dash for no bar."""
    return (
        "-"
        if bar is None
        else f"{format_figure(bar.mean, name)} [{format_figure(bar.low, name)}, {format_figure(bar.high, name)}]"
    )


def save_json(path: str | None, tree: Any) -> None:
    """Writes results as JSON, if a path is given."""
    if path:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(tree), indent=1) + b"\n")


def print_breaches(console: Console, breaches: Sequence[Breach], counts: dict[str, int]) -> bool:
    """Prints how often each rule was broken, and the first few breaches; returns whether any was."""
    broken = {name: count for name, count in counts.items() if count}
    if not broken:
        console.print("rules: none broken")
        return False
    console.print("rules BROKEN: " + ", ".join(f"{name} {count}" for name, count in broken.items()))
    for breach in breaches[:5]:
        console.print(f"  {breach.at / TENTHS_PER_SECOND:.3f}s {breach.rule}: {breach.text}")
    return True


def total_breaches(results: Sequence[Result]) -> dict[str, int]:
    """Breaches by rule, added up over days."""
    counts: dict[str, int] = {}
    for result in results:
        for name, count in result.breaches.items():
            counts[name] = counts.get(name, 0) + count
    return counts


def day_table(result: Result) -> Table:
    """The figures of one day."""
    table = Table(title=f"{result.name} ({result.source}, seed {result.seed})")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for name, value in result.figures.items():
        table.add_row(name, format_figure(value, name))
    return table


def unit_table(result: Result) -> Table:
    """The shots that were sent to each unit on one day, and how they ended."""
    table = Table(title="shots by unit")
    for column in ("unit", "build", "shots", "served", "errors", "other"):
        table.add_column(column, justify="right")
    rows = sorted(result.sent.items(), key=lambda each: (each[1][0], -each[1][1], each[0]))
    for unit, row in rows[:MOST_UNIT_ROWS]:
        table.add_row(unit, *(str(each) for each in row))
    if len(rows) > MOST_UNIT_ROWS:
        table.add_row("...", "", str(sum(row[1] for _, row in rows[MOST_UNIT_ROWS:])), "", "", "")
    return table


def draw_charts(
    path: str | None, console: Console, options: Sequence[runs.Option], real: Sequence[Sequence[Result]] = ()
) -> None:
    """Draws the options' figures at `path`, and charts by unit and by zone beside it if there is data for them."""
    if path:
        from ..lab import charts

        charts.options(path, options, real)
        console.print(f"chart: {path}")
        if options[0].results[0].use:
            extra_path = str(Path(path).with_suffix("")) + "-units.png"
            charts.use(extra_path, options[0].results[0])
            console.print(f"chart: {extra_path}")
        if any(name.startswith("shots.") for name in options[0].results[0].series):
            extra_path = str(Path(path).with_suffix("")) + "-zones.png"
            charts.zones(extra_path, {each.name: each.results for each in options})
            console.print(f"chart: {extra_path}")


def print_day(arguments: dict[str, Any], console: Console, result: Result, breaches: Sequence[Breach]) -> int:
    """Prints and saves the results of one day; returns 1 if a rule was broken, else 0."""
    for note in result.notes:
        console.print(note)
    for owner in result.owners:
        console.print(f"owner: {owner}")
    console.print(unit_table(result))
    console.print(day_table(result))
    save_json(arguments["--json"], result)
    draw_charts(arguments["--chart"], console, [runs.Option(result.name, [result], {}, list(breaches))])
    return int(print_breaches(console, breaches, result.breaches))


def model_run(arguments: dict[str, Any], console: Console) -> int:
    """Plays one option on several days, or on one day with `--seed` or `--record`; returns 1 if a rule was broken."""
    scenario = read(arguments["SCENARIO"])
    if arguments["--seed"] or arguments["--record"]:  # a single day, in full
        seed = integer_option(arguments, "--seed", 0, 1 << 62) if arguments["--seed"] else scenario.seed
        result, breaches = runs.play(scenario, seed, arguments["--record"])
        return print_day(arguments, console, result, breaches)
    (option,) = play_models(arguments, [scenario])
    table = Table(title=f"{scenario.name}: {len(option.results)} days in virtual time, 95% bars for one day")
    for column in ("figure", "mean [bar]", "error of the mean"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name, bar in option.bars.items():
        table.add_row(name, format_bar(name, bar), f"±{format_figure(bar.known, name)}")
    console.print(table)
    save_json(
        arguments["--json"],
        {
            "scenario": scenario.name,
            "days": option.results,
            "bars": {name: bar._asdict() for name, bar in option.bars.items()},
        },
    )
    draw_charts(arguments["--chart"], console, [option])
    return int(print_breaches(console, option.breaches, total_breaches(option.results)))


def play_models(arguments: dict[str, Any], scenarios: list[Scenario]) -> list[runs.Option]:
    """Plays each scenario in virtual time, on the same days."""
    replicas = integer_option(arguments, "--replicas", max(2, FEWEST_REPLICAS), MOST_REPLICAS)
    jobs = integer_option(arguments, "--jobs", 0, 512)
    drawn = [fits.drawn(scenario, replicas) for scenario in scenarios]
    with ProgressBar("days") as progress:
        return runs.days(drawn, jobs, progress)


def difference_row(name: str, a: Bar | None, b: Bar | None, gap: Difference) -> tuple[str, ...]:
    """The cells of a figure's row in the table of a comparison."""
    difference = (
        f"{'+' if gap.mean >= 0 else ''}{format_figure(gap.mean, name)} "
        f"[{format_figure(gap.low, name)}, {format_figure(gap.high, name)}]"
    )
    return name, format_bar(name, a), format_bar(name, b), difference, gap.better


def model_compare(arguments: dict[str, Any], console: Console) -> int:
    """Compares two scenarios on the same days; returns 1 if a rule was broken, else 0."""
    scenarios = [read(arguments[name]) for name in ("A", "B")]
    first, second = play_models(arguments, scenarios)
    differences = runs.compare(first, second)
    table = Table(
        title=f"A: {first.name}   B: {second.name}   ({len(first.results)} days each, on the same random numbers)"
    )
    for column in ("figure", "A [bar]", "B [bar]", "B - A [95%]", "better"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name, gap in differences.items():
        table.add_row(*difference_row(name, first.bars.get(name), second.bars.get(name), gap))
    console.print(table)
    if (
        "service" in differences
        and "harm" in differences
        and {differences["service"].better, differences["harm"].better} == {"A", "B"}
    ):
        console.print("note: one option is better on service, the other on harm")
    save_json(
        arguments["--json"],
        {
            "A": first.name,
            "B": second.name,
            "differences": {name: gap._asdict() for name, gap in differences.items()},
            "days": {"A": first.results, "B": second.results},
        },
    )
    draw_charts(arguments["--chart"], console, [first, second])
    broken = [print_breaches(console, option.breaches, total_breaches(option.results)) for option in (first, second)]
    return int(any(broken))


def model_check(arguments: dict[str, Any], console: Console) -> int:
    """Plays two scenarios in virtual time and for real, and compares each real figure with the model's error bar.

    Returns 1 if a rule was broken or a real figure is outside its bar, else 0.
    """
    from ..lab import trials

    scenarios = [read(arguments[name]) for name in ("A", "B")]
    repeats = integer_option(arguments, "--repeats", 1, 20)
    at_once = integer_option(arguments, "--at-once", 1, 16)
    options = play_models(arguments, scenarios)
    with ProgressBar("real days") as progress:
        played = trials.days(scenarios, repeats, at_once, arguments["--keep"], progress)
    real = [[result for result, _ in days] for days in played]
    broken = False
    for days in played:
        for result, breaches in days:
            broken = bool(result.breaches) and print_breaches(console, breaches, result.breaches) or broken
    if not broken:
        console.print(f"rules: none broken on {2 * repeats} real days")
    outside = inside = 0
    for index, option in enumerate(options):
        table = Table(title=f"{'AB'[index]}: {option.name}: the model's bar and {repeats} real days")
        for column in ("figure", "bar", "real", "inside"):
            table.add_column(column, justify="left" if column == "figure" else "right")
        for name, bar in option.bars.items():
            values = [each.figures[name] for each in real[index] if name in each.figures]
            is_inside = [bar.holds(value) for value in values]
            inside, outside = inside + sum(is_inside), outside + len(is_inside) - sum(is_inside)
            table.add_row(
                name,
                format_bar(name, bar),
                " ".join(format_figure(value, name) for value in values),
                "yes" if all(is_inside) else f"{sum(is_inside)} of {len(is_inside)}" if any(is_inside) else "NO",
            )
        console.print(table)
    share = inside / (inside + outside or 1)
    console.print(f"inside their bars: {inside} of {inside + outside} real figures ({share:.1%}; nominal 95%)")
    save_json(
        arguments["--json"],
        {
            "bars": [{name: bar._asdict() for name, bar in option.bars.items()} for option in options],
            "real": real,
            "inside": inside,
            "outside": outside,
        },
    )
    draw_charts(arguments["--chart"], console, options, real)
    return int(broken or outside > 0)


def parse_limits(text: str) -> dict[str, float]:
    """Parses the option `--most`: name=number pairs with commas between them.  Raises ValueError."""
    from ..lab.hunt import LIMITS

    limits = {}
    for pair in text.split(","):
        name, _, figure = pair.partition("=")
        if name not in LIMITS or not figure.replace(".", "", 1).isdigit():
            raise ValueError(f"--most={text}: {pair}: not one of {', '.join(LIMITS)} with a number")
        limits[name] = float(figure)
    return limits


def run_hunt(arguments: dict[str, Any], console: Console) -> int:
    """Searches for days with random faults that break a rule or a limit; returns 1 if there is one, else 0."""
    from ..lab import hunt

    scenario = read(arguments["SCENARIO"])
    days = integer_option(arguments, "--days", 1, 10_000)
    first_seed = integer_option(arguments, "--seed", 0, 1 << 62) if arguments["--seed"] else 1
    with ProgressBar("days") as progress:
        found = hunt.hunt(
            scenario,
            days,
            first_seed,
            parse_limits(arguments["--most"]),
            integer_option(arguments, "--jobs", 0, 512),
            progress,
        )
    for find in found:
        reasons = ", ".join(f"{name} {figure:.2f}" for name, figure in find.why.items())
        console.print(
            f"seed {find.seed}: {reasons} (shrunk from {find.before} lines):\n    "
            + find.script.replace("\n", "\n    ")
        )
    console.print(f"{len(found)} of {days} days fail")
    save_json(arguments["--json"], [find._asdict() for find in found])
    return int(bool(found))


def model_losses(arguments: dict[str, Any], console: Console) -> int:
    """Measures what the faults of a script cost each option, and compares the last option with each of the others.

    Returns 1 if a rule was broken, else 0.
    """
    scenarios = [read(name) for name in arguments["OPTION"]]
    replicas = integer_option(arguments, "--replicas", max(2, FEWEST_REPLICAS), MOST_REPLICAS)
    with ProgressBar("days") as progress:
        found = losses.losses(scenarios, replicas, integer_option(arguments, "--jobs", 0, 512), progress)
    table = Table(
        title=f"cost of the faults: {replicas} days each, with and without them (mean ± half its 95% interval)"
    )
    for column in ("figure", *(each.name for each in found)):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name in found[-1].bars:
        row = [(each.bars[name].mean, each.bars[name].known) for each in found if name in each.bars]
        table.add_row(name, *(f"{format_figure(mean, name)} ±{format_figure(known, name)}" for mean, known in row))
    console.print(table)
    differences = {each.name: losses.compare(each, found[-1]) for each in found[:-1]}
    for other, rows in differences.items():
        table = Table(title=f"A: {other}   B: {found[-1].name}")
        for column in ("figure", "B - A [95%]", "better"):
            table.add_column(column, justify="left" if column == "figure" else "right")
        for name, gap in rows.items():
            table.add_row(name, f"{gap.mean:+.4f} [{gap.low:+.4f}, {gap.high:+.4f}]", gap.better)
        console.print(table)
    save_json(
        arguments["--json"],
        {
            each.name: {
                "days": each.figures,
                "bars": {name: bar._asdict() for name, bar in each.bars.items()},
                "breaches": total_breaches([*each.hit, *each.calm]),
            }
            for each in found
        }
        | {
            "differences": {
                name: {figure: gap._asdict() for figure, gap in rows.items()} for name, rows in differences.items()
            }
        },
    )
    if arguments["--chart"]:
        from ..lab import charts

        charts.zones(arguments["--chart"], {each.name: each.hit for each in found})
        console.print(f"chart: {arguments['--chart']}")
    broken = [print_breaches(console, [], total_breaches([*each.hit, *each.calm])) for each in found]
    return int(any(broken))


def model_even(arguments: dict[str, Any], console: Console) -> int:
    """Compares the program's choice of units with simple ones."""
    from ..lab import baselines

    scenario = read(arguments["SCENARIO"])
    replicas = integer_option(arguments, "--replicas", max(2, FEWEST_REPLICAS), MOST_REPLICAS)
    with ProgressBar("days") as progress:
        found = baselines.table(scenario, replicas, integer_option(arguments, "--jobs", 0, 512), progress)
    print_choosers(f"{scenario.name}: {replicas} days each", found, baselines.SHOWN_FIGURES, console)
    save_choosers(arguments, found)
    return 0


def model_digests(arguments: dict[str, Any], console: Console) -> int:
    """Compares ways to choose a unit by load messages, optionally with trouble in their delivery."""
    from ..lab import digest_days

    scenario = read(arguments["SCENARIO"])
    replicas = integer_option(arguments, "--replicas", max(2, FEWEST_REPLICAS), MOST_REPLICAS)
    trouble = arguments["--trouble"]
    names = digest_days.CHOOSERS if arguments["--choosers"] == "all" else arguments["--choosers"].split(";")
    with ProgressBar("days") as progress:
        found, differ = digest_days.table(
            scenario, replicas, integer_option(arguments, "--jobs", 0, 512), names, trouble, progress
        )
    title = f"{scenario.name}, trouble with messages: {trouble}: {replicas} simulated days each"
    print_choosers(title, found, digest_days.SHOWN_FIGURES, console)
    for figure in ("waste", "p99_ms", "herd"):
        if figure in differ:
            each = differ[figure]
            console.print(
                f"digests minus no messages, {figure}: {each.mean:+.3f} ({each.low:+.3f} to {each.high:+.3f})"
            )
    save_choosers(arguments, found)
    return 0


def print_choosers(title: str, found: dict[str, dict[str, Bar]], columns: Sequence[str], console: Console) -> None:
    """A row for each chooser, a column for each figure."""
    table = Table(title=f"{title}, means ± half their 95% intervals")
    table.add_column("chooser")
    for name in columns:
        table.add_column(name, justify="right")
    for name, bars in found.items():
        cells = [chooser_cell(bars[figure], figure) if figure in bars else "-" for figure in columns]
        table.add_row(name, *cells)
    console.print(table)


def chooser_cell(bar: Bar, figure: str) -> str:
    """Formats the mean and its uncertainty."""
    places = 0 if "bytes" in figure else 1 if "_ms" in figure else 2
    return f"{bar.mean:.{places}f} ±{bar.known:.2f}"


def save_choosers(arguments: dict[str, Any], found: dict[str, dict[str, Bar]]) -> None:
    """Writes the bars of each chooser as JSON, if a path is given."""
    tree = {name: {figure: bar._asdict() for figure, bar in bars.items()} for name, bars in found.items()}
    save_json(arguments["--json"], tree)


def judge_cells(each: judging.JudgeRun) -> tuple[str, ...]:
    """The cells of one fleet: messages and bytes a second, CPU of the judge, its vote and the time of it."""
    return f"{each.taken:.0f}", f"{each.sent_bytes:.1f}", f"{each.cpu:.2%}", f"{each.vote} {each.vote_s:.1f} s"


def model_judges(arguments: dict[str, Any], console: Console) -> int:
    """Measures what a judge of large fleets receives, what that costs, and when it votes."""
    with ProgressBar("fleets") as progress:
        rows = judging.table(progress=progress)
    faulty_relay_runs = judging.faulty_relay_runs()
    for title, select in (
        ("a good build", lambda row: (row.before, row.after)),
        ("a build that fails 5%", lambda row: (row.back_before, row.back_after)),
    ):
        table = Table(
            title=f"{title}: all relays report each second | in turns "
            "(messages and bytes per second, CPU of the judge, its vote)"
        )
        for column in ("relays", *("messages", "bytes a relay", "core", "vote") * 2):
            table.add_column(column, justify="right")
        for row in rows:
            table.add_row(str(row.relays), *(cell for each in select(row) for cell in judge_cells(each)))
        console.print(table)
    table = Table(
        title="50 relays, a good build, some faulty relays (200 false messages a second each): "
        "no limit | limit by sender"
    )
    for column in ("faulty", *("messages", "bytes a relay", "core", "vote") * 2):
        table.add_column(column, justify="right")
    for faulty, unlimited, limited in faulty_relay_runs:
        table.add_row(str(faulty), *judge_cells(unlimited), *judge_cells(limited))
    console.print(table)
    rolled = judging.play_mixed_fleets()
    table = Table(title="400 relays of two versions during an update: days of five on which the build goes back")
    for column in ("relays of the old version", "a good build", "one that fails 5%, messages lost for 8 s"):
        table.add_column(column, justify="right")
    for each in rolled:
        table.add_row(f"{each.earlier:.0%}", str(each.good), str(each.bad))
    console.print(table)
    save_json(arguments["--json"], {"fleets": rows, "lies": faulty_relay_runs, "rolled": rolled})
    if arguments["--chart"]:
        from ..lab import charts

        charts.judges(arguments["--chart"], rows)
        console.print(f"chart: {arguments['--chart']}")
    return 0


def model_cost(arguments: dict[str, Any], console: Console) -> int:
    """Measures the CPU time of the model, and of a relay's decisions."""
    with ProgressBar("fleets") as progress:
        tables = costs.tables(progress)
    with ProgressBar("decisions") as progress:
        decisions = costs.decisions(progress)
    table = Table(title="CPU of the model on one core")
    for column in ("axis", "size", "microseconds an invocation", "invocations a second"):
        table.add_column(column, justify="right")
    for name, points in tables.items():
        for size, each in points:
            table.add_row(name, str(size), f"{each:.0f}", f"{1e6 / each:.0f}")
    console.print(table)
    table = Table(
        title="a relay's choice of a unit and its outcome, microseconds of CPU; "
        "without and with zones in the document, in turns"
    )
    for column in ("units", "without", "with zones", "ratio (median of rounds)"):
        table.add_column(column, justify="right")
    for units, each in decisions.items():
        table.add_row(str(units), f"{each.without:.1f}", f"{each.with_it:.1f}", f"{each.ratio:.3f}")
    console.print(table)
    save_json(
        arguments["--json"], tables | {"decisions": {str(units): each._asdict() for units, each in decisions.items()}}
    )
    if arguments["--chart"]:
        from ..lab import charts

        charts.cost(arguments["--chart"], tables)
        console.print(f"chart: {arguments['--chart']}")
    return 0


def model_fields(arguments: dict[str, Any], console: Console) -> int:
    """Prints the fields of a scenario."""
    table = Table(title="fields of a scenario")
    for column in ("field", "type", "bounds", "default"):
        table.add_column(column)
    for row in fields.rows(Scenario):
        table.add_row(*row)
    console.print(table)
    return 0


def run_trial(arguments: dict[str, Any], console: Console) -> int:
    """Plays a scenario for real; returns 1 if a rule was broken, else 0."""
    from ..lab import trials

    scenario = read(arguments["SCENARIO"])
    seed = integer_option(arguments, "--seed", 0, 1 << 62) if arguments["--seed"] else scenario.seed
    with ProgressBar(scenario.name) as progress:
        result, breaches = trials.play(scenario, seed, arguments["--record"], arguments["--logs"], progress)
    return print_day(arguments, console, result, breaches)


def record_show(arguments: dict[str, Any], console: Console) -> int:
    """Prints the figures of a record; returns 1 if a rule was broken, else 0."""
    return print_day(arguments, console, *runs.evaluate_record(arguments["FILE"]))


def record_import(arguments: dict[str, Any], console: Console) -> int:
    """Makes a record from a CSV file of arrivals."""
    start = integer_option(arguments, "--start", 0, 1 << 50) if arguments["--start"] else None
    found = imports.from_csv(arguments["CSV"], arguments["FILE"], start)
    console.print(
        f"{found.lines} arrivals over {found.span / TENTHS_PER_SECOND:.1f} s; {found.skipped} lines skipped"
        + (f" (first: {found.first_problem})" if found.skipped else "")
        + f"; the clock stepped back {found.steps_back} times"
        + f"; longest gap {found.longest_gap / TENTHS_PER_SECOND:.1f} s"
    )
    return 0


def record_fit(arguments: dict[str, Any], console: Console) -> int:
    """Fits workloads and builds from records."""
    fitted = fits.fit(arguments["RECORD"], integer_option(arguments, "--draws", 2, 1000))
    table = Table(title=f"fitted from {fitted.source}")
    for column in ("workload", "shots", "mean ms [95%]", "cv", "note"):
        table.add_column(column, justify="left" if column in ("workload", "note") else "right")
    for each in fitted.workloads:
        low, high = each.mean_bar
        mean = f"{each.mean_ms:.2f} [{low:.2f}, {high:.2f}]"
        table.add_row(each.name, str(each.shots), mean, f"{each.cv:.2f}", each.note)
    console.print(table)
    for each in fitted.builds:
        (pace_low, pace_high), (errors_low, errors_high) = each.pace_bar, each.errors_bar
        console.print(
            f"build {each.build}: work x {each.pace:.3f} [{pace_low:.3f}, {pace_high:.3f}], errors {each.errors:.4f} "
            f"[{errors_low:.4f}, {errors_high:.4f}], {each.shots} shots"
        )
    save_json(arguments["--json"], fitted)
    return 0
