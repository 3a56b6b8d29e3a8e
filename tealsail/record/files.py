"""Records as files: written in order, read as a stream with one line in memory at a time."""

import gzip
import io
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

from .lines import VERSION, AnyLine, Close, Head, InvalidRecord, Line, decode, encode

LONGEST = 1 << 20  # bytes of a line; a head holds a day
LEVEL = 4  # of gzip


class Writer:
    """Writes one record.  The same lines give the same bytes: no name or time goes into the gzip head."""

    def __init__(self, path: Path | str) -> None:
        self.file: BinaryIO = open(path, "wb")
        self.packed = gzip.GzipFile("", "wb", LEVEL, self.file, mtime=0) if str(path).endswith(".gz") else None
        self.out: Any = io.BufferedWriter(self.packed, 1 << 16) if self.packed else self.file
        self.lines, self.last = 0, 0

    def __call__(self, line: Line) -> None:
        self.out.write(encode(line))
        self.lines, self.last = self.lines + 1, line.at

    def close(self, late: int = 0) -> None:
        """The last line tells that nothing is missing."""
        try:
            self(Close(self.last, self.lines, late))
            self.out.close()
            if self.packed:
                self.packed.close()
        finally:
            self.file.close()


class ReadReport:
    """What a reader found amiss, in figures: lines skipped, steps back of the clock, whether the end is missing."""

    def __init__(self) -> None:
        self.skipped, self.steps_back, self.cut_off = 0, 0, True
        self.first_problem = ""


def read(path: Path | str, notes: ReadReport | None = None) -> Iterator[AnyLine]:
    """The lines of a record, its head first; what can't be read is skipped and noted.  Without `notes` it raises.

    A last line cut in half (its writer was killed) is no fault, only noted.  Raises Unreadable for a file that is
    no record or of another version, OSError where there is none.
    """
    strict, notes = notes is None, notes or ReadReport()
    with open(path, "rb") as file:
        packed = file.peek(2)[:2] == b"\x1f\x8b"
        with gzip.open(file) if packed else file as lines:
            first, last = True, 0
            while True:
                try:
                    text = lines.readline(LONGEST)
                except (EOFError, OSError, zlib.error) as problem:  # packed, and cut off
                    if strict:
                        raise InvalidRecord(f"{path}: {problem}") from None
                    return
                if not text:
                    return
                if first:
                    yield head(path, text)
                    first = False
                    continue
                try:
                    if not text.endswith(b"\n"):
                        raise InvalidRecord("half a line, or one beyond bounds")
                    line = decode(text)
                except InvalidRecord as problem:
                    notes.skipped += 1
                    notes.first_problem = notes.first_problem or str(problem)
                    if strict:
                        raise InvalidRecord(f"{path}: {problem}") from None
                    continue
                if line.at < last:
                    notes.steps_back += 1
                last = line.at
                if isinstance(line, Close):
                    notes.cut_off = False
                yield line


def head(path: Path | str, text: bytes) -> Head:
    """The first line of a file that is said to be a record."""
    try:
        line = decode(text)
    except InvalidRecord as problem:
        raise InvalidRecord(f"{path}: not a record: {problem}") from None
    if not isinstance(line, Head):
        raise InvalidRecord(f"{path}: not a record: its first line is no head")
    if line.version != VERSION:
        raise InvalidRecord(f"{path}: a record of version {line.version}; this program reads version {VERSION}")
    return line
