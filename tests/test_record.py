"""Records: one format, read as a stream, whatever happened to the file."""

import gzip
import tempfile
import tracemalloc
import unittest
from pathlib import Path

from hypothesis import given, strategies as st

from tealsail.lab import imports
from tealsail.record import files, lines
from tealsail.record.lines import (
    Close,
    Head,
    InvalidRecord,
    InvocationEnded,
    InvocationTaken,
    ShotEnded,
    ShotSent,
    Vote,
)

HEAD = Head(0, lines.VERSION, "model", "a day", 7, {"workloads": []})
WORDS = st.text(max_size=20)
TIMES = st.integers(0, 1 << 50)
ANY = st.one_of(
    st.builds(InvocationTaken, TIMES, TIMES, TIMES, TIMES, TIMES, TIMES, WORDS, TIMES, TIMES),
    st.builds(ShotSent, TIMES, TIMES, TIMES, TIMES, WORDS, TIMES, TIMES),
    st.builds(ShotEnded, TIMES, TIMES, TIMES, TIMES, WORDS),
    st.builds(InvocationEnded, TIMES, TIMES, TIMES, WORDS),
    st.builds(Vote, TIMES, TIMES, TIMES, TIMES, WORDS, WORDS),
)


class Records(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def written(self, name: str, *more: object) -> Path:
        path = self.folder / name
        writer = files.Writer(path)
        for line in (HEAD, *more):
            writer(line)
        writer.close(late=3)
        return path

    @given(ANY)
    def test_every_line_comes_back_as_it_was(self, line) -> None:
        text = lines.encode(line)
        self.assertEqual((lines.decode(text), text.count(b"\n")), (line, 1))

    @given(st.binary(max_size=200))
    def test_whatever_bytes_come_a_line_is_read_or_turned_down(self, data) -> None:
        try:
            self.assertIsInstance(lines.decode(data), lines.Line)
        except InvalidRecord:
            pass

    def test_plain_and_packed_alike_and_the_same_bytes_twice(self) -> None:
        ends = [InvocationEnded(at, 0, at, "served") for at in range(100)]
        for name in ("a.record", "a.record.gz"):
            path = self.written(name, *ends)
            self.assertEqual(list(files.read(path)), [HEAD, *ends, Close(99, 101, 3)])
            self.assertEqual(path.read_bytes(), self.written("again" + path.suffix, *ends).read_bytes())
        self.assertEqual((self.folder / "a.record.gz").read_bytes()[:2], b"\x1f\x8b")

    def test_half_a_last_line_is_noted_and_all_before_it_counts(self) -> None:
        path = self.written("a.record", InvocationEnded(5, 0, 1, "served"))
        path.write_bytes(path.read_bytes()[:-7])
        notes = files.ReadReport()
        self.assertEqual(list(files.read(path, notes)), [HEAD, InvocationEnded(5, 0, 1, "served")])
        self.assertEqual((notes.skipped, notes.cut_off), (1, True))
        with self.assertRaises(InvalidRecord):
            list(files.read(path))

    def test_a_packed_record_whose_writer_was_killed(self) -> None:
        path = self.written("a.record.gz", *(InvocationEnded(at, 0, at, "served") for at in range(5000)))
        path.write_bytes(path.read_bytes()[:-2000])
        notes = files.ReadReport()
        self.assertGreater(len(list(files.read(path, notes))), 100)
        self.assertTrue(notes.cut_off)

    def test_a_clock_that_steps_back_and_a_spoilt_line_are_noted(self) -> None:
        path = self.written("a.record", InvocationEnded(500, 0, 1, "served"), InvocationEnded(400, 0, 2, "served"))
        path.write_bytes(path.read_bytes().replace(b'["end",400', b'["what",400'))
        notes = files.ReadReport()
        read = list(files.read(path, notes))
        self.assertEqual((len(read), notes.skipped, notes.steps_back, notes.cut_off), (3, 1, 1, False))
        self.assertIn("no line of a record", notes.first_problem)

    def test_a_foreign_version_and_what_is_no_record_are_turned_down(self) -> None:
        other = self.folder / "b.record"
        other.write_bytes(lines.encode(Head(0, 99, "model", "x", 1, {})))
        for path, why in ((other, "version 99"), (Path(__file__), "not a record")):
            with self.assertRaisesRegex(InvalidRecord, why):
                list(files.read(path))

    def test_a_long_record_is_read_in_bounded_memory(self) -> None:
        path = self.folder / "long.record.gz"
        with gzip.open(path, "wb", 1) as file:
            file.write(lines.encode(HEAD))
            block = b"".join(lines.encode(InvocationEnded(at, 0, at, "served")) for at in range(1000))
            for _ in range(300):
                file.write(block)
        tracemalloc.start()
        count = sum(1 for _ in files.read(path, files.ReadReport()))
        _, most = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(count, 300_001)
        self.assertLess(most, 4 << 20)

    def test_a_line_without_an_end_does_not_fill_the_memory(self) -> None:
        path = self.folder / "wide.record"
        path.write_bytes(
            lines.encode(HEAD) + b"[" * (5 << 20) + b"\n" + lines.encode(InvocationEnded(1, 0, 1, "served"))
        )
        notes = files.ReadReport()
        tracemalloc.start()
        read = list(files.read(path, notes))
        _, most = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual((read[-1], notes.skipped), (InvocationEnded(1, 0, 1, "served"), 6))
        self.assertLess(most, 8 << 20)

    def imported(self, text: str, **how) -> tuple[imports.Imported, list]:
        source = self.folder / "trace.csv"
        source.write_text(text)
        found = imports.from_csv(source, self.folder / "trace.record", **how)
        return found, [line for line in files.read(self.folder / "trace.record") if isinstance(line, InvocationTaken)]

    def test_csv_with_gaps_steps_back_and_spoilt_lines(self) -> None:
        found, takes = self.imported(
            "at_ms,workload,customer,key\n1000,fetch,acme,k1\n1010.5,fetch,,k2\n"
            "what,fetch,acme,k\n61010.5,submit,umbra,k3\n61000,fetch,acme,k4\n61003,fetch,acme,k5\n"
            "nan,fetch,a,b\n,,,\n"
        )
        self.assertEqual([take.intended for take in takes], [0, 105, 600_105, 600_105, 600_135])
        self.assertEqual((found.lines, found.skipped, found.steps_back, found.longest_gap), (5, 3, 1, 600_000))
        self.assertIn("line 4", found.first_problem)
        self.assertEqual([take.workload for take in takes], [0, 0, 1, 0, 0])

    def test_csv_without_its_columns(self) -> None:
        with self.assertRaisesRegex(ValueError, "no column workload"):
            self.imported("at_ms,what\n1,2\n")


if __name__ == "__main__":
    unittest.main()
