"""Records made from other traces: CSV for now."""

import csv
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from ..record.files import Writer
from ..record.lines import VERSION, Head, InvocationTaken

COLUMNS = ("at_ms", "workload", "customer", "key")
MOST_NAMES = 10_000  # different workloads or customers
LONGEST = 400  # characters of a name or key
SECOND = 10_000


class Imported(NamedTuple):
    """Times are tenths of a ms."""

    lines: int
    span: int
    skipped: int
    first_problem: str
    steps_back: int
    longest_gap: int


class Row(NamedTuple):
    at: float  # milliseconds
    workload: str
    customer: str
    key: str


def rows(path: Path | str, problems: list[str]) -> Iterator[Row]:
    """The lines that can be read; of the others the count and the first few problems.  Raises ValueError for a file
    without the columns."""
    with open(path, newline="", encoding="utf-8", errors="replace") as file:
        table = csv.DictReader(file)
        missing = [name for name in COLUMNS[:2] if name not in (table.fieldnames or [])]
        if missing:
            raise ValueError(f"{path}: no column {missing[0]}; wanted are {', '.join(COLUMNS)}")
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
                words = [str(row.get(name) or "") for name in COLUMNS[1:]]
                if not 0 <= at < 1e15 or not words[0] or max(map(len, words)) > LONGEST:
                    raise ValueError("out of bounds")
            except (TypeError, ValueError) as problem:
                problems.append(f"line {table.line_num}: {problem}")
                continue
            yield Row(at, *words)


class Problems(list):
    """Keeps the count of all and the text of the first."""

    count = 0

    def append(self, text: str) -> None:
        self.count += 1
        if not self:
            super().append(text)


def from_csv(source: Path | str, target: Path | str, start: int | None = None) -> Imported:
    """A record of arrivals.  A step back of the clock counts as no time passed; gaps stay as they are.

    `start`: Unix milliseconds of the record's zero; the first line's where None.  Two passes, one line in memory.
    """
    workloads: dict[str, int] = {}
    customers: dict[str, int] = {}
    for row in rows(source, Problems()):
        workloads.setdefault(row.workload, len(workloads))
        customers.setdefault(row.customer, len(customers))
        if max(len(workloads), len(customers)) > MOST_NAMES:
            raise ValueError(f"{source}: more than {MOST_NAMES} workloads or customers")
    problems, count, steps_back, gap, at, last = Problems(), 0, 0, 0, 0, None
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
        if last is None:
            last = row.at if start is None else start
        passed = round((row.at - last) * 10)
        steps_back += passed < 0
        gap, at, last = max(gap, passed), at + max(0, passed), row.at
        count += 1
        writer(
            InvocationTaken(
                at, 0, count, at, workloads[row.workload], customers[row.customer], row.key, at + 3 * SECOND, count
            )
        )
    writer.close()
    return Imported(count, at, problems.count, problems[0] if problems else "", steps_back, gap)
