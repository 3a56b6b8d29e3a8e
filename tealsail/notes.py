"""Messages between relays, as bytes, and the sums of the counts that they carry.  Nothing is decided here.

All figures are little-endian and unsigned.  The length of a note tells its kind:

- verdict note, 4 bytes: build (16 bits), stage and verdict (8 each).
- count note, 10 bytes and 4 for each cell: build (16), mark of the series of counts (32), two figures that are 0 (16
  each), then cell and count (16 each).
- load note, 6 bytes: count of notes, unit (16 each), open shots and what came of the last shot (8 each).
- question, 5 bytes and 2 for each unit, at least two of them: number of the invocation (32), how many units (8), units
  (16 each).
- answer, 5 bytes: number of the invocation (32), place of the unit in the question (8).

The last three go to and from the load tracker.  A note that is lost, doubled or overtaken by another does no harm.
"""

import struct
from collections.abc import Sequence

MAX_CELLS = 60  # of a count note, which then has 10 + 4 * 60 bytes
UINT16_MAX = 0xFFFF
KEPT_STARTS = 2  # of a sender, whose counts are kept apart
REMEMBERED_STARTS = 8  # of a sender, that are known to be over


def verdict_note(build: int, stage: int, verdict: int) -> bytes:
    """A judge's verdict (numbers: tealsail/policy.py)."""
    return struct.pack("<HBB", build, stage, verdict)


def count_notes(build: int, born: int, cells: list[tuple[int, int]], size: int) -> list[bytes]:
    """As many notes as the (cell, count) pairs need, at least one; there are `size` cells in all.

    `born` marks the series of counts, which only grow.  A count beyond 16 bits goes as two cells of one note: `size` +
    cell with what is above the 16 bits, then the cell with the rest.  Guards against counts that run full: the count
    of served stood still at 65,535 while failures went on, and every good build of a busy place was sent back.  Relays
    of older versions pass the first of the two over.
    """
    most = MAX_CELLS if all(count <= UINT16_MAX for _, count in cells) else MAX_CELLS // 2
    parts = [cells[first : first + most] for first in range(0, len(cells), most)] or [[]]
    head = build, born & 0xFFFFFFFF, 0, 0  # by the last two older versions compared traffic before and in the trial
    rows = [
        [
            figure
            for cell, count in part
            for figure in (
                (size + cell, min(UINT16_MAX, count >> 16), cell, count & UINT16_MAX)
                if count > UINT16_MAX
                else (cell, count)
            )
        ]
        for part in parts
    ]
    return [struct.pack(f"<HIHH{len(row)}H", *head, *row) for row in rows]


def changed_cells(counts: list[int], sent: list[int], cells_per_workload: int) -> list[tuple[int, int]]:
    """Cells and counts, without zeros, of the workloads whose counts differ from those sent.

    A workload's counts go as a whole: after lost notes, what was served must not arrive without what failed.
    """
    return [
        (cell, counts[cell])
        for first in range(0, len(counts), cells_per_workload)
        if counts[first : first + cells_per_workload] != sent[first : first + cells_per_workload]
        for cell in range(first, first + cells_per_workload)
        if counts[cell]
    ]


def load_note(count: int, unit: int, open_shots: int, came: int) -> bytes:
    """How many shots this relay has at a unit, and what came of the last one.

    `came` is 0 for a shot that was sent, 255 for an error, else the latency in sixteenths of the usual one.  `count`
    puts the notes of a sender in order.  Of a unit's number 16 bits are enough to tell units apart.
    """
    return struct.pack("<HHBB", count & UINT16_MAX, unit & UINT16_MAX, min(255, open_shots), came)


def ask_note(number: int, units: list[int]) -> bytes:
    """The question which of these units is the least loaded, for an invocation."""
    return struct.pack(f"<IB{len(units)}H", number & 0xFFFFFFFF, len(units), *(unit & UINT16_MAX for unit in units))


def answer_note(number: int, place: int) -> bytes:
    """The tracker's answer: the place of a unit in the question."""
    return struct.pack("<IB", number, place)


def is_tracker_note(data: bytes) -> bool:
    """Whether it is a load note, a question or an answer."""
    return len(data) % 2 == 1 or len(data) == 6


def read_tracker_note(data: bytes) -> tuple[int, ...]:
    """The figures of a load note, question or answer as they were packed; empty if it is none of them."""
    if len(data) in (5, 6):
        return struct.unpack("<HHBB" if len(data) == 6 else "<IB", data)
    asked = len(data) >= 9 and len(data) == 5 + 2 * data[4]
    return struct.unpack(f"<IB{data[4]}H", data) if asked else ()


def read(data: bytes) -> tuple[int, ...]:
    """The three figures of a verdict, or of counts: build, series, 0, 0, then cells and counts; empty if neither."""
    if len(data) == 4:
        return struct.unpack("<HBB", data)
    counts = len(data) >= 10 and len(data) % 4 == 2
    return struct.unpack(f"<HIHH{len(data) // 2 - 5}H", data) if counts else ()


class CountPool:
    """Cumulative counts of many senders and their sums; of two counts of one series the larger is the newer.

    A series begins with a start of the sender.  Memory is bounded by senders and cells, whatever restarts there are.
    The two series of a sender that were heard of last are kept apart, since notes of the one before may still be on
    their way.  What older series counted stays in the sums, and in one map for each sender; their marks are remembered
    for a while, so that a note that was doubled does not count again.
    """

    def __init__(self, size: int, kinds: Sequence[Sequence[int]] = ()) -> None:
        """`size`: number of cells.  `kinds`: sets of cells whose sum is kept for each sender, in `by_sender`."""
        self.sums = [0] * size
        self.by_sender: list[dict[int, int]] = [{} for _ in kinds]  # for each kind: sender -> sum over its cells
        self.kinds = {
            cell: [place for place, cells in enumerate(kinds) if cell in cells] for cells in kinds for cell in cells
        }
        self.known: dict[int, dict[int, dict[int, int]]] = {}  # sender -> series -> cell -> count
        self.ended: dict[int, list[int]] = {}  # sender -> series that are over
        self.before: dict[int, dict[int, int]] = {}  # sender -> cell -> count, of series that are no longer kept

    def counts_of(self, sender: int, born: int) -> dict[int, int] | None:
        """The counts of that series, which becomes the one heard of last; None for one that is over."""
        starts = self.known.setdefault(sender, {})
        known = starts.pop(born, None)
        if known is None:
            past = self.ended.get(sender, [])
            if born in past:
                return None
            known = {}
            if len(starts) >= KEPT_STARTS:
                oldest = next(iter(starts))
                before = self.before.setdefault(sender, {})
                for cell, count in starts.pop(oldest).items():
                    before[cell] = before.get(cell, 0) + count
                self.ended[sender] = past[-REMEMBERED_STARTS + 1 :] + [oldest]
        starts[born] = known
        return known

    def add(self, sender: int, born: int, cells: tuple[int, ...]) -> None:
        """Takes in a count note's cells and counts, which alternate."""
        known = self.counts_of(sender, born)
        if known is None:
            return
        above: dict[int, int] = {}  # what is above 16 bits; of this note only, since the two cells go together
        for cell, count in zip(cells[::2], cells[1::2]):
            if cell >= len(self.sums):
                above[cell - len(self.sums)] = count << 16
                continue
            count += above.pop(cell, 0)
            if count > known.get(cell, 0):
                more, known[cell] = count - known.get(cell, 0), count
                self.sums[cell] += more
                for kind in self.kinds.get(cell, ()):
                    self.by_sender[kind][sender] = self.by_sender[kind].get(sender, 0) + more

    def without(self, sender: int) -> list[int]:
        """The sums without all that the sender counted, in whatever series."""
        less = list(self.sums)
        for counts in (*self.known.get(sender, {}).values(), self.before.get(sender, {})):
            for cell, count in counts.items():
                less[cell] -= count
        return less

    def with_own(self, own: list[list[int]], workloads: list, sums: list[int] | None = None) -> list[list[list[int]]]:
        """The sums (or those given) with this relay's own counts, as a pool (shape: tealsail/parts.py).

        `own` holds the flat counts of each group.
        """
        told = iter(self.sums if sums is None else sums)
        groups = [[mine + next(told) for mine in group] for group in own]
        return [[group[workload.cells] for workload in workloads] for group in groups]
