"""Starts the director of a scale run in a process of its own, and ends it if it does not end by itself."""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from ..scenario import BadScenario, Scenario
from .director import Plan
from .real_relays import CLOCK
from .results import Run

MAX_SECONDS = 480.0  # true ones, for playing
EXIT_SECONDS = 60.0  # true ones, for the end and for reading the record
MAX_ERROR_TEXT = 600  # characters of the director's standard error that are reported
RUN_VARIABLE = "TEALSAIL_SCALE_RUN"  # environment variable of each process of a run: the folder of its logs
MAX_VOTES = 3  # that a decision may need; for more votes relays broadcast, and a scale run carries no broadcasts
# kinds of fault that a scale run can't play: relays reach each other directly, with no carrier between them
UNSUPPORTED_FAULTS = (
    "notes",
    "cut",
    "ring",
    "hold relays",
    "step clocks",
    "run clocks",
    "switch relays",
    "stale lists",
)


class RunFailed(ValueError):
    """The run gave no results; the text says why in one sentence."""


def check(scenario: Scenario, real: int, processes: int) -> None:
    """Raises BadScenario for what a scale run can't play."""
    if real < 1 or real > scenario.fleet.relays or not 1 <= processes <= max(1, scenario.fleet.relays - real):
        raise BadScenario(f"{scenario.name}: {real} real relays and {processes} processes don't fit")
    if max(scenario.platform.on_votes, scenario.platform.back_votes) > MAX_VOTES:
        raise BadScenario(f"{scenario.name}: platform: a scale run needs votes of {MAX_VOTES} at the most")
    for fault in scenario.faults():
        if fault.kind in UNSUPPORTED_FAULTS:
            raise BadScenario(
                f"{scenario.name}: script: {fault.text!r}: relays reach each other directly in a scale run"
            )


def play(
    scenario: Scenario,
    seed: int,
    real: int,
    processes: int,
    slowdown: float = 1.0,
    list_interval: float = 0.5,
    logs: Path | str | None = None,
    max_seconds: float = MAX_SECONDS,
) -> Run:
    """Play one run, and return its results; raises BadScenario or RunFailed.

    `real` relays are real and `processes` hold the others.  A second of the run lasts `slowdown` true ones; changes of
    the list are gathered for `list_interval` seconds of the run, and all ends after `max_seconds` true ones.  Logs and
    records stay in the folder `logs` if one is given."""
    check(scenario, real, processes)
    clock_rate, clock_start = 1 / slowdown, time.monotonic()
    plan = Plan(real, processes, clock_rate, clock_start, list_interval, max_seconds)
    program = ["-m", f"{__package__}.director"]
    if clock_rate != 1.0:
        program = [str(CLOCK), repr(clock_rate), repr(clock_start), f"{__package__}.director"]
    with tempfile.TemporaryDirectory() as folder:
        log_folder = Path(logs or folder).absolute()
        log_folder.mkdir(parents=True, exist_ok=True)
        order = {
            "scenario": scenario.plain(),
            "seed": seed,
            "folder": str(log_folder),
            "plan": msgspec.to_builtins(plan),
        }
        director = subprocess.Popen(
            [sys.executable, "-B", *program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=os.environ | {RUN_VARIABLE: str(log_folder)},
        )
        try:
            out, errors = director.communicate(json.dumps(order).encode(), timeout=max_seconds + EXIT_SECONDS)
        except (subprocess.TimeoutExpired, KeyboardInterrupt):
            director.terminate()  # the director then ends what it started
            director.communicate()
            raise RunFailed(f"{scenario.name}: the run did not end by itself") from None
    if director.returncode or not out:
        raise RunFailed(
            f"{scenario.name}: the director failed: {errors.decode(errors='replace').strip()[-MAX_ERROR_TEXT:]}"
        )
    return msgspec.json.decode(out, type=Run)
