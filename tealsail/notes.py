"""What relays tell each other, as bytes, and the sums of what was told.  Nothing is decided here."""

import struct
from collections.abc import Sequence

MOST = 60  # figures of a message: 10 + 4 * 60 bytes
UINT16_MAX = 0xFFFF  # the most that one figure holds
STARTS, PAST = 2, 8  # of one sender that are kept apart, and that are known to be over


def verdict_note(build: int, stage: int, verdict: int) -> bytes:
    return struct.pack("<HBB", build, stage, verdict)


def count_notes(build: int, born: int, cells: list[tuple[int, int]], size: int) -> list[bytes]:
    """As many messages as the (cell, count) pairs need, one at the least; there are `size` cells in all.

    A count beyond 16 bits goes as two cells of one message: `size` + cell with what is above the 16 bits, then
    the cell with the rest.  Guards against counts that run full: served stood still at 65,535 while failures
    went on, and every good build of a busy place was sent back.  Relays of before pass the first of the two over.
    """
    most = MOST if all(count <= UINT16_MAX for _, count in cells) else MOST // 2
    parts = [cells[first : first + most] for first in range(0, len(cells), most)] or [[]]
    head = build, born & 0xFFFFFFFF, 0, 0  # relays of before held traffic against that before the trial
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


def new_cells(counts: list[int], told: list[int], row: int) -> list[tuple[int, int]]:
    """Cells and counts of the rows that differ from what was told, as a whole: after lost notes what was served must
    not be told without what failed."""
    return [
        (cell, counts[cell])
        for first in range(0, len(counts), row)
        if counts[first : first + row] != told[first : first + row]
        for cell in range(first, first + row)
        if counts[cell]
    ]


def load_note(count: int, unit: int, open_shots: int, came: int) -> bytes:
    """Shots of this relay that are at a unit, and what came of the last: 0 nothing yet, 255 an error, else how long
    it took, in sixteenths of the usual.  `count` puts them in order; of a unit's number 16 bits tell enough."""
    return struct.pack("<HHBB", count & UINT16_MAX, unit & UINT16_MAX, min(255, open_shots), came)


def ask_note(number: int, units: list[int]) -> bytes:
    """Which of these units has the least at hand."""
    return struct.pack(f"<IB{len(units)}H", number & 0xFFFFFFFF, len(units), *(unit & UINT16_MAX for unit in units))


def answer_note(number: int, place: int) -> bytes:
    return struct.pack("<IB", number, place)


def is_tracker_note(data: bytes) -> bool:
    """Whether it is one of the three above."""
    return len(data) % 2 == 1 or len(data) == 6


def read_tracker_note(data: bytes) -> tuple[int, ...]:
    """Of the three above their figures, an answer's as it was packed; or none."""
    if len(data) in (5, 6):
        return struct.unpack("<HHBB" if len(data) == 6 else "<IB", data)
    asked = len(data) >= 9 and len(data) == 5 + 2 * data[4]
    return struct.unpack(f"<IB{data[4]}H", data) if asked else ()


def read(data: bytes) -> tuple[int, ...]:
    """A verdict's three figures; of counts build, start, taken, before, then cells and counts; or none."""
    if len(data) == 4:
        return struct.unpack("<HBB", data)
    counts = len(data) >= 10 and len(data) % 4 == 2
    return struct.unpack(f"<HIHH{len(data) // 2 - 5}H", data) if counts else ()


class Pool:
    """Cumulative counts of many senders and their sums: of two of one start the larger is the newer.

    Bounded by senders and cells, whatever restarts there are: of a sender the two starts heard of last are kept, since
    notes of the one before may still be on their way.  What older ones counted stays in the sums, and by sender in
    one; their marks are kept for a while, so that a note that was doubled does not count again.
    """

    def __init__(self, size: int, kinds: Sequence[Sequence[int]] = ()) -> None:
        """`kinds`: sets of cells whose sum is kept up for each sender, in `told`."""
        self.sums = [0] * size
        self.told: list[dict[int, int]] = [{} for _ in kinds]  # of each kind: sender -> sum over its cells
        self.kinds = {
            cell: [place for place, cells in enumerate(kinds) if cell in cells] for cells in kinds for cell in cells
        }
        self.known: dict[int, dict[int, dict[int, int]]] = {}  # sender -> its start -> cell -> count
        self.over: dict[int, list[int]] = {}  # sender -> starts that are over
        self.before: dict[int, dict[int, int]] = {}  # sender -> what starts no longer kept counted, by cell

    def of(self, sender: int, born: int) -> dict[int, int] | None:
        """What is known of that start, the one heard of last in the end; None for one that is over."""
        starts = self.known.setdefault(sender, {})
        known = starts.pop(born, None)
        if known is None:
            past = self.over.get(sender, [])
            if born in past:
                return None
            known = {}
            if len(starts) >= STARTS:
                oldest = next(iter(starts))
                before = self.before.setdefault(sender, {})
                for cell, count in starts.pop(oldest).items():
                    before[cell] = before.get(cell, 0) + count
                self.over[sender] = past[-PAST + 1 :] + [oldest]
        starts[born] = known
        return known

    def add(self, sender: int, born: int, cells: tuple[int, ...]) -> None:
        known = self.of(sender, born)
        if known is None:
            return
        above: dict[int, int] = {}  # of this message only: the two cells go together
        for cell, count in zip(cells[::2], cells[1::2]):
            if cell >= len(self.sums):
                above[cell - len(self.sums)] = count << 16
                continue
            count += above.pop(cell, 0)
            if count > known.get(cell, 0):
                more, known[cell] = count - known.get(cell, 0), count
                self.sums[cell] += more
                for kind in self.kinds.get(cell, ()):
                    self.told[kind][sender] = self.told[kind].get(sender, 0) + more

    def without(self, sender: int) -> list[int]:
        """The sums less all that is that sender's, whatever starts it had."""
        less = list(self.sums)
        for counts in (*self.known.get(sender, {}).values(), self.before.get(sender, {})):
            for cell, count in counts.items():
                less[cell] -= count
        return less

    def rows(self, own: list[list[int]], workloads: list, sums: list[int] | None = None) -> list[list[list[int]]]:
        """The sums (or those given) with one's own counts: group by group, a row for each workload."""
        told = iter(self.sums if sums is None else sums)
        groups = [[mine + next(told) for mine in group] for group in own]
        return [[group[workload.row] for workload in workloads] for group in groups]
