"""Files of records: written in order, and read as a stream with one line in memory at a time."""

import gzip
import io
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

from .lines import VERSION, AnyLine, Head, InvalidRecord, Line, RecordEnd, decode, encode

LONGEST_LINE_BYTES = 1 << 20  # the head is the longest: it may hold a whole scenario
GZIP_LEVEL = 4


class Writer:
    """Writes one record, packed with gzip if the path ends in `.gz`.  Call it with each line, the head first.

    The same lines give the same bytes: neither a file name nor a time goes into the gzip header.
    """

    def __init__(self, path: Path | str) -> None:
        self.file: BinaryIO = open(path, "wb")
        self.gzip_file = gzip.GzipFile("", "wb", GZIP_LEVEL, self.file, mtime=0) if str(path).endswith(".gz") else None
        self.stream: Any = io.BufferedWriter(self.gzip_file, 1 << 16) if self.gzip_file else self.file
        self.lines, self.last_at = 0, 0  # lines written, and the time of the last of them

    def __call__(self, line: Line) -> None:
        self.stream.write(encode(line))
        self.lines, self.last_at = self.lines + 1, line.at

    def close(self, late: int = 0) -> None:
        """Writes the line that marks the record as complete; `late` goes into it."""
        try:
            self(RecordEnd(self.last_at, self.lines, late))
            self.stream.close()
            if self.gzip_file:
                self.gzip_file.close()
        finally:
            self.file.close()


class ReadReport:
    """Problems that were found while a record was read.

    `skipped` lines could not be read, `steps_back` lines have a time before the one of the line before them, and
    `is_cut_off` holds until the line that marks a record as complete is read.
    """

    def __init__(self) -> None:
        self.skipped, self.steps_back, self.is_cut_off = 0, 0, True
        self.first_problem = ""


def read(path: Path | str, report: ReadReport | None = None) -> Iterator[AnyLine]:
    """Yields the lines of a record, its head first.

    With `report`, lines that can't be read are skipped and counted there, among them a last line that is cut in half
    because its writer was killed.  Without `report`, the first such line raises InvalidRecord.  In both cases a file
    that is not a record, or is one of another version, raises InvalidRecord, and an absent file OSError.
    """
    is_strict, report = report is None, report or ReadReport()
    with open(path, "rb") as file:
        is_packed = file.peek(2)[:2] == b"\x1f\x8b"
        with gzip.open(file) if is_packed else file as lines:
            is_first, last_at = True, 0
            while True:
                try:
                    text = lines.readline(LONGEST_LINE_BYTES)
                except (EOFError, OSError, zlib.error) as problem:  # a packed file that is cut off
                    if is_strict:
                        raise InvalidRecord(f"{path}: {problem}") from None
                    return
                if not text:
                    return
                if is_first:
                    yield decode_head(path, text)
                    is_first = False
                    continue
                try:
                    if not text.endswith(b"\n"):
                        raise InvalidRecord("half a line, or one longer than the limit")
                    line = decode(text)
                except InvalidRecord as problem:
                    report.skipped += 1
                    report.first_problem = report.first_problem or str(problem)
                    if is_strict:
                        raise InvalidRecord(f"{path}: {problem}") from None
                    continue
                if line.at < last_at:
                    report.steps_back += 1
                last_at = line.at
                if isinstance(line, RecordEnd):
                    report.is_cut_off = False
                yield line


def decode_head(path: Path | str, text: bytes) -> Head:
    """Decodes the first line of a file.  Raises InvalidRecord if it is not the head of a record of this version."""
    try:
        line = decode(text)
    except InvalidRecord as problem:
        raise InvalidRecord(f"{path}: not a record: {problem}") from None
    if not isinstance(line, Head):
        raise InvalidRecord(f"{path}: not a record: its first line is not a head")
    if line.version != VERSION:
        raise InvalidRecord(f"{path}: a record of version {line.version}; this program reads version {VERSION}")
    return line
