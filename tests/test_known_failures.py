"""The list of known failures: a run passes over exactly the tests on it, and prints them."""

import io
import unittest

from .known_failures import listed_tests, run

LIST = """Faults that a test shows.

- tests.test_a.A.test_b: command, seed, what was seen (issue 1)
  more of it - tests.test_a.A.test_c:
- tests.test_d.D.test_e: another
"""


class Sample(unittest.TestCase):
    def passes(self) -> None:
        pass

    def fails(self) -> None:
        self.fail("a wrong figure")

    def breaks(self) -> None:
        raise OSError("broken")

    def fails_in_part(self) -> None:
        for part in range(2):
            with self.subTest(part=part):
                self.assertEqual(part, 0)


class KnownFailures(unittest.TestCase):
    def play(self, known: tuple[str, ...], *names: str) -> tuple[bool, str]:
        stream = io.StringIO()
        own = f"{Sample.__module__}.{Sample.__qualname__}."
        passed = run(unittest.TestSuite(map(Sample, names)), [own + name for name in known], stream)
        return passed, stream.getvalue()

    def test_entries_are_lines_that_begin_with_a_test(self) -> None:
        self.assertEqual(listed_tests(LIST), ["tests.test_a.A.test_b", "tests.test_d.D.test_e"])
        self.assertEqual(listed_tests("None.\n"), [])

    def test_a_listed_failure_passes_and_is_printed(self) -> None:
        for name in ("fails", "breaks", "fails_in_part"):
            passed, text = self.play((name,), name, "passes")
            self.assertTrue(passed)
            self.assertIn(f".{name}: failed", text)
            self.assertIn("Error", text)

    def test_any_other_failure_fails_the_run(self) -> None:
        for name in ("fails", "breaks", "fails_in_part"):
            self.assertFalse(self.play(("passes",), name, "passes")[0])

    def test_a_listed_test_that_does_not_exist_fails_the_run(self) -> None:
        passed, text = self.play(("missing",), "passes")
        self.assertFalse(passed)
        self.assertIn(".missing: does not exist", text)
