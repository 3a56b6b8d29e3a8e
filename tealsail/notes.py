"""What relays tell each other, as bytes, and the sums of what was told.  Nothing is decided here."""
import struct

MOST = 60                                        # figures of a message: 10 + 4 * 60 bytes


def verdict_note(build: int, stage: int, verdict: int) -> bytes:
    return struct.pack("<HBB", build, stage, verdict)


def count_notes(build: int, born: int, taken: int, before: int, cells: list[tuple[int, int]]) -> list[bytes]:
    """As many messages as the (cell, count) pairs need, one at the least."""
    parts = [cells[first:first + MOST] for first in range(0, len(cells), MOST)] or [[]]
    head = build, born & 0xFFFFFFFF, min(65535, taken), min(65535, before)
    rows = [[min(65535, figure) for cell in part for figure in cell] for part in parts]
    return [struct.pack(f"<HIHH{len(row)}H", *head, *row) for row in rows]


def read(data: bytes) -> tuple[int, ...]:
    """A verdict's three figures; of counts build, start, taken, before, then cells and counts; or none."""
    if len(data) == 4:
        return struct.unpack("<HBB", data)
    counts = len(data) >= 10 and len(data) % 4 == 2
    return struct.unpack(f"<HIHH{len(data) // 2 - 5}H", data) if counts else ()


class Pool:
    """Cumulative counts of many senders and their sums: of two of one start the larger is the newer."""

    def __init__(self, size: int) -> None:
        self.sums = [0] * size
        self.known: dict[tuple[int, int], dict[int, int]] = {}   # sender and its start -> cell -> count

    def add(self, sender: int, born: int, cells: tuple[int, ...]) -> None:
        known = self.known.setdefault((sender, born), {})
        for cell, count in zip(cells[::2], cells[1::2]):
            if cell < len(self.sums) and count > known.get(cell, 0):
                self.sums[cell] += count - known.get(cell, 0)
                known[cell] = count

    def rows(self, own: list[list[int]], workloads: list) -> list[list[list[int]]]:
        """The sums with one's own counts: group by group, a row for each workload."""
        told = iter(self.sums)
        groups = [[mine + next(told) for mine in group] for group in own]
        return [[group[workload.row] for workload in workloads] for group in groups]
