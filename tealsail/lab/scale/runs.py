"""A scale run from outside: the director in a process of its own, ended if it does not end itself."""

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

MOST_SECONDS = 480.0  # true ones
MORE_SECONDS = 60.0  # to end in, and to read the record
MARK = "TEALSAIL_SCALE_RUN"  # in the environment of each process of a run: the folder of its logs
MOST_VOTES = 3  # needed; above that relays speak to all at once, and a run has nobody who would carry that
CARRIED = ("notes", "cut", "ring", "hold relays", "step clocks", "run clocks", "switch relays", "stale lists")


class Broken(ValueError):
    """A run that came to no end, in one sentence."""


def check(scenario: Scenario, real: int, processes: int) -> None:
    """Raises BadScenario for what a scale run has nobody to do."""
    if real < 1 or real > scenario.fleet.relays or not 1 <= processes <= max(1, scenario.fleet.relays - real):
        raise BadScenario(f"{scenario.name}: {real} real relays and {processes} processes don't fit")
    if max(scenario.platform.on_votes, scenario.platform.back_votes) > MOST_VOTES:
        raise BadScenario(f"{scenario.name}: platform: a scale run needs votes of {MOST_VOTES} at the most")
    for fault in scenario.faults():
        if fault.kind in CARRIED:
            raise BadScenario(
                f"{scenario.name}: script: {fault.text!r}: relays reach each other directly in a scale run"
            )


def play(
    scenario: Scenario,
    seed: int,
    real: int,
    processes: int,
    slow: float = 1.0,
    list_every: float = 0.5,
    logs: Path | str | None = None,
    most_seconds: float = MOST_SECONDS,
) -> Run:
    """One run; `slow`: how many true seconds a second of it lasts.  Raises BadScenario or Broken."""
    check(scenario, real, processes)
    rate, zero = 1 / slow, time.monotonic()
    plan = Plan(real, processes, rate, zero, list_every, most_seconds)
    program = ["-m", f"{__package__}.director"]
    if rate != 1.0:
        program = [str(CLOCK), repr(rate), repr(zero), f"{__package__}.director"]
    with tempfile.TemporaryDirectory() as folder:
        kept = Path(logs or folder).absolute()
        kept.mkdir(parents=True, exist_ok=True)
        told = {"scenario": scenario.plain(), "seed": seed, "folder": str(kept), "plan": msgspec.to_builtins(plan)}
        director = subprocess.Popen(
            [sys.executable, "-B", *program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=os.environ | {MARK: str(kept)},
        )
        try:
            out, errors = director.communicate(json.dumps(told).encode(), timeout=most_seconds + MORE_SECONDS)
        except (subprocess.TimeoutExpired, KeyboardInterrupt):
            director.terminate()  # it ends what it started
            director.communicate()
            raise Broken(f"{scenario.name}: the run did not end by itself") from None
    if director.returncode or not out:
        raise Broken(f"{scenario.name}: the run broke: {errors.decode(errors='replace').strip()[-600:]}")
    return msgspec.json.decode(out, type=Run)
