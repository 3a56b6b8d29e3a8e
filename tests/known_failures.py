"""The list of known failures, KNOWN-RED.txt, and a test run that passes over exactly the tests on it.

An entry begins with `- `, the test's full name and a colon.  A listed test is run and its failure printed, but does not
fail the run; a listed test that does not exist does.
"""

import re
import sys
import unittest
from pathlib import Path
from typing import Any

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"- ([\w.]+):")


def listed_tests(text: str) -> list[str]:
    """The names of the tests in the list's text, in its order."""
    return [match[1] for match in map(ENTRY.match, text.splitlines()) if match]


class KnownFailuresResult(unittest.TextTestResult):
    """A result that keeps the failures of listed tests apart."""

    def __init__(self, *arguments: Any, known: list[str], **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.known = known
        self.known_failed: dict[str, str] = {}  # by the test's name: its traceback
        self.seen: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:
        self.seen.add(test.id())
        super().startTest(test)

    def addFailure(self, test: unittest.TestCase, err: Any) -> None:
        if not self.take_known(test, err):
            super().addFailure(test, err)

    def addError(self, test: unittest.TestCase, err: Any) -> None:
        if not self.take_known(test, err):
            super().addError(test, err)

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: Any) -> None:
        if err is None or not self.take_known(test, err):
            super().addSubTest(test, subtest, err)

    def take_known(self, test: unittest.TestCase, err: Any) -> bool:
        """Keep the failure of a listed test; False for any other test."""
        if test.id() not in self.known:
            return False
        self.known_failed[test.id()] = self._exc_info_to_string(err, test)
        self.stream.writeln("known failure")
        return True

    def print_known(self) -> None:
        """Print what became of each listed test."""
        for name in self.known:
            state = "failed" if name in self.known_failed else "passed" if name in self.seen else "does not exist"
            self.stream.writeln(f"known failure {name}: {state}")
            self.stream.writeln(self.known_failed.get(name, ""))

    def is_passed(self) -> bool:
        """Whether every test that is not listed has passed, and every listed one exists."""
        return self.wasSuccessful() and all(name in self.seen for name in self.known)


def run(suite: unittest.TestSuite, known: list[str], stream: Any = None) -> bool:
    """Run the suite; returns whether it passed."""
    runner = unittest.TextTestRunner(
        stream=stream,
        verbosity=2,
        resultclass=lambda *arguments, **options: KnownFailuresResult(*arguments, known=known, **options),
    )
    result = runner.run(suite)
    result.print_known()
    return result.is_passed()


def main() -> int:
    """Run all tests; returns the exit code."""
    home = KNOWN_FAILURES.parent
    suite = unittest.defaultTestLoader.discover(str(home / "tests"), top_level_dir=str(home))
    return 0 if run(suite, listed_tests(KNOWN_FAILURES.read_text())) else 1


if __name__ == "__main__":
    sys.exit(main())
