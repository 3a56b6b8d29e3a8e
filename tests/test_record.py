"""Records: lines are read as they were written, and a damaged file is reported, in bounded memory."""

import gzip
import tempfile
import tracemalloc
import unittest
from pathlib import Path

from hypothesis import given, strategies as st

from tealsail.lab import imports
from tealsail.record import files, lines
from tealsail.record.lines import (
    Head,
    InvalidRecord,
    InvocationEnded,
    InvocationTaken,
    RecordEnd,
    ShotEnded,
    ShotSent,
    Vote,
)

HEAD = Head(0, lines.VERSION, "model", "a day", 7, {"workloads": []})
TEXTS = st.text(max_size=20)
TIMES = st.integers(0, 1 << 50)
LINES = st.one_of(
    st.builds(InvocationTaken, TIMES, TIMES, TIMES, TIMES, TIMES, TIMES, TEXTS, TIMES, TIMES),
    st.builds(ShotSent, TIMES, TIMES, TIMES, TIMES, TEXTS, TIMES, TIMES),
    st.builds(ShotEnded, TIMES, TIMES, TIMES, TIMES, TEXTS),
    st.builds(InvocationEnded, TIMES, TIMES, TIMES, TEXTS),
    st.builds(Vote, TIMES, TIMES, TIMES, TIMES, TEXTS, TEXTS),
)


class Records(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write_record(self, name: str, *more: object) -> Path:
        path = self.folder / name
        writer = files.Writer(path)
        for line in (HEAD, *more):
            writer(line)
        writer.close(late=3)
        return path

    @given(LINES)
    def test_every_line_is_decoded_as_it_was_encoded(self, line) -> None:
        text = lines.encode(line)
        self.assertEqual((lines.decode(text), text.count(b"\n")), (line, 1))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_refused(self, data) -> None:
        try:
            self.assertIsInstance(lines.decode(data), lines.Line)
        except InvalidRecord:
            pass

    def test_plain_and_packed_records_hold_the_same_lines_and_are_reproducible(self) -> None:
        ends = [InvocationEnded(at, 0, at, "served") for at in range(100)]
        for name in ("a.record", "a.record.gz"):
            path = self.write_record(name, *ends)
            self.assertEqual(list(files.read(path)), [HEAD, *ends, RecordEnd(99, 101, 3)])
            self.assertEqual(path.read_bytes(), self.write_record("again" + path.suffix, *ends).read_bytes())
        self.assertEqual((self.folder / "a.record.gz").read_bytes()[:2], b"\x1f\x8b")

    def test_a_truncated_last_line_is_reported_and_those_before_are_read(self) -> None:
        path = self.write_record("a.record", InvocationEnded(5, 0, 1, "served"))
        path.write_bytes(path.read_bytes()[:-7])
        report = files.ReadReport()
        self.assertEqual(list(files.read(path, report)), [HEAD, InvocationEnded(5, 0, 1, "served")])
        self.assertEqual((report.skipped, report.is_cut_off), (1, True))
        with self.assertRaises(InvalidRecord):
            list(files.read(path))

    def test_a_packed_record_whose_writer_was_killed_is_read_as_far_as_it_goes(self) -> None:
        path = self.write_record("a.record.gz", *(InvocationEnded(at, 0, at, "served") for at in range(5000)))
        path.write_bytes(path.read_bytes()[:-2000])
        report = files.ReadReport()
        self.assertGreater(len(list(files.read(path, report))), 100)
        self.assertTrue(report.is_cut_off)

    def test_a_clock_that_steps_back_and_an_invalid_line_are_reported(self) -> None:
        path = self.write_record("a.record", InvocationEnded(500, 0, 1, "served"), InvocationEnded(400, 0, 2, "served"))
        path.write_bytes(path.read_bytes().replace(b'["end",400', b'["what",400'))
        report = files.ReadReport()
        read = list(files.read(path, report))
        self.assertEqual((len(read), report.skipped, report.steps_back, report.is_cut_off), (3, 1, 1, False))
        self.assertIn("not a line of a record", report.first_problem)

    def test_another_version_and_another_file_are_refused(self) -> None:
        other = self.folder / "b.record"
        other.write_bytes(lines.encode(Head(0, 99, "model", "x", 1, {})))
        for path, message in ((other, "version 99"), (Path(__file__), "not a record")):
            with self.assertRaisesRegex(InvalidRecord, message):
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
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(count, 300_001)
        self.assertLess(peak, 4 << 20)

    def test_a_line_beyond_the_limit_is_read_in_bounded_memory(self) -> None:
        path = self.folder / "wide.record"
        path.write_bytes(
            lines.encode(HEAD) + b"[" * (5 << 20) + b"\n" + lines.encode(InvocationEnded(1, 0, 1, "served"))
        )
        report = files.ReadReport()
        tracemalloc.start()
        read = list(files.read(path, report))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual((read[-1], report.skipped), (InvocationEnded(1, 0, 1, "served"), 6))
        self.assertLess(peak, 8 << 20)

    def import_csv(self, text: str, **how) -> tuple[imports.Imported, list]:
        source = self.folder / "trace.csv"
        source.write_text(text)
        found = imports.from_csv(source, self.folder / "trace.record", **how)
        return found, [line for line in files.read(self.folder / "trace.record") if isinstance(line, InvocationTaken)]

    def test_csv_with_gaps_steps_back_and_invalid_lines_is_imported(self) -> None:
        found, takes = self.import_csv(
            "at_ms,workload,customer,key\n1000,fetch,acme,k1\n1010.5,fetch,,k2\n"
            "what,fetch,acme,k\n61010.5,submit,umbra,k3\n61000,fetch,acme,k4\n61003,fetch,acme,k5\n"
            "nan,fetch,a,b\n,,,\n"
        )
        self.assertEqual([take.intended for take in takes], [0, 105, 600_105, 600_105, 600_135])
        self.assertEqual((found.lines, found.skipped, found.steps_back, found.longest_gap), (5, 3, 1, 600_000))
        self.assertIn("line 4", found.first_problem)
        self.assertEqual([take.workload for take in takes], [0, 0, 1, 0, 0])

    def test_csv_without_a_required_column_is_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "no column workload"):
            self.import_csv("at_ms,what\n1,2\n")


if __name__ == "__main__":
    unittest.main()
