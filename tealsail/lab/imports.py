"""Records made from traces of other programs, which are CSV files."""

import csv
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from ..record.files import Writer
from ..record.lines import VERSION, Head, InvocationTaken
from ..time_limits import SECOND

COLUMNS = ("at_ms", "workload", "customer", "key")
MAX_NAMES = 10_000  # different workloads or customers
MAX_TEXT_LENGTH = 400  # characters of a name or key


class Imported(NamedTuple):
    """What was imported: lines taken and skipped, steps back of the clock.  Times are tenths of a ms."""

    lines: int
    span: int
    skipped: int
    first_problem: str
    steps_back: int
    longest_gap: int


class Row(NamedTuple):
    """One line of a trace."""

    at: float  # milliseconds
    workload: str
    customer: str
    key: str


def rows(path: Path | str, problems: list[str]) -> Iterator[Row]:
    """Yields the lines that can be read; the problems of the others are appended to `problems`.  Raises ValueError for
    a file without the required columns."""
    with open(path, newline="", encoding="utf-8", errors="replace") as file:
        table = csv.DictReader(file)
        missing = [name for name in COLUMNS[:2] if name not in (table.fieldnames or [])]
        if missing:
            raise ValueError(f"{path}: no column {missing[0]}; expected are {', '.join(COLUMNS)}")
        while True:
            try:
                row = next(table)
            except StopIteration:
                return
            except csv.Error as problem:
                problems.append(f"line {table.line_num}: {problem}")
                continue
            try:
                at = float(row["at_ms"])
                texts = [str(row.get(name) or "") for name in COLUMNS[1:]]
                if not 0 <= at < 1e15 or not texts[0] or max(map(len, texts)) > MAX_TEXT_LENGTH:
                    raise ValueError("out of bounds")
            except (TypeError, ValueError) as problem:
                problems.append(f"line {table.line_num}: {problem}")
                continue
            yield Row(at, *texts)


class Problems(list):
    """A list that counts all problems and keeps only the first."""

    count = 0

    def append(self, text: str) -> None:
        self.count += 1
        if not self:
            super().append(text)


def from_csv(source: Path | str, target: Path | str, start: int | None = None) -> Imported:
    """Writes a record of a trace's arrivals.  Where the trace's clock steps back, no time passes; gaps are kept.

    `start`: Unix milliseconds of the record's time 0, by default those of the first line.  The file is read twice, with
    one line in memory.  Raises ValueError for a file without the required columns or with too many names.
    """
    workloads: dict[str, int] = {}
    customers: dict[str, int] = {}
    for row in rows(source, Problems()):
        workloads.setdefault(row.workload, len(workloads))
        customers.setdefault(row.customer, len(customers))
        if max(len(workloads), len(customers)) > MAX_NAMES:
            raise ValueError(f"{source}: more than {MAX_NAMES} workloads or customers")
    problems, count, steps_back, longest_gap, at, previous = Problems(), 0, 0, 0, 0, None
    writer = Writer(target)
    writer(
        Head(
            0,
            VERSION,
            "import",
            Path(source).name,
            0,
            {
                "workloads": [{"name": name, "promised": SECOND, "abandon": 3 * SECOND} for name in workloads],
                "customers": [{"name": name, "share": 1.0} for name in customers],
            },
        )
    )
    for row in rows(source, problems):
        if previous is None:
            previous = row.at if start is None else start
        passed = round((row.at - previous) * 10)
        steps_back += passed < 0
        longest_gap, at, previous = max(longest_gap, passed), at + max(0, passed), row.at
        count += 1
        writer(
            InvocationTaken(
                at, 0, count, at, workloads[row.workload], customers[row.customer], row.key, at + 3 * SECOND, count
            )
        )
    writer.close()
    return Imported(count, at, problems.count, problems[0] if problems else "", steps_back, longest_gap)
