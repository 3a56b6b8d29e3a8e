"""Trials: days of a scenario with real relays on loopback, each played by a process of its own."""

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from ..world.rules import Breach
from .figures import Result
from .runs import day_seed, evaluate_record
from .scenario import Scenario

FIRST_TRIAL_REPLICA = 1000  # smaller replica numbers are those of the model's days
# a trial is ended once it exceeds the day's length by these
TIMEOUT_S = 90.0
TIMEOUT_PER_RELAY_S = 0.5


class VoidTrial(ValueError):
    """A trial that gives no figures; the text says why in one sentence."""


def play(
    scenario: Scenario,
    seed: int,
    record: Path | str | None = None,
    logs: Path | str | None = None,
    progress: Callable[[int, int], None] | None = None,
    on_time: bool = True,
) -> tuple[Result, list[Breach]]:
    """Plays a scenario with real relays on loopback.  Raises VoidTrial if the trial itself failed or, with `on_time`,
    ran late: on a busy machine the rules hold, but the figures mean nothing."""
    with tempfile.TemporaryDirectory() as folder:
        log_folder = Path(logs) if logs else Path(folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        order = {
            "scenario": scenario.plain(),
            "seed": seed,
            "folder": str(log_folder),
            "record": str(Path(record).absolute()) if record else "",
        }
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "tealsail.lab.loopback.trial"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        ended = threading.Event()
        if progress:
            threading.Thread(target=report_progress, args=(ended, progress, scenario.seconds), daemon=True).start()
        try:
            output, errors = process.communicate(
                json.dumps(order).encode(),
                timeout=scenario.seconds + TIMEOUT_S + TIMEOUT_PER_RELAY_S * scenario.fleet.relays,
            )
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            raise VoidTrial(f"{scenario.name}: the trial did not end in time") from None
        finally:
            ended.set()
    if process.returncode or not output:
        raise VoidTrial(f"{scenario.name}: the trial failed: {errors.decode(errors='replace').strip()[-400:]}")
    return read(scenario, json.loads(output), on_time)


def days(
    scenarios: list[Scenario], repeats: int, at_once: int, keep: str | None, progress: Callable[[int, int], None]
) -> list[list[tuple[Result, list[Breach]]]]:
    """Plays `repeats` days of each scenario, in turns, so that drift of the machine affects all alike.  Days whose
    files are in the folder `keep` are not played again.  A void day is played once more; if it is void again, VoidTrial
    is raised."""
    work = [(option, repeat) for repeat in range(repeats) for option in range(len(scenarios))]
    folder = Path(keep) if keep else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)

    def play_one(key: tuple[int, int]) -> tuple[Result, list[Breach]]:
        option, repeat = key
        name = f"{'ABCDEFGH'[option]}-{repeat}"
        result_path = folder / f"{name}.json" if folder else None
        record_path = folder / f"{name}.record.gz" if folder else None
        if result_path and result_path.exists():
            result, breaches = msgspec.json.decode(result_path.read_bytes(), type=tuple[Result, list[Breach]])
            if record_path.exists():  # the figures are those of the current program
                evaluated, _ = evaluate_record(record_path)
                result = msgspec.structs.replace(evaluated, breaches=result.breaches, late_ms=result.late_ms)
            return result, breaches
        scenario = scenarios[option]
        seed = day_seed(scenario, FIRST_TRIAL_REPLICA + repeat)
        try:
            outcome = play(scenario, seed, record_path)
        except VoidTrial:
            outcome = play(scenario, seed, record_path)
        if result_path:
            result_path.write_bytes(msgspec.json.encode(outcome))
        return outcome

    outcomes = {}
    with ThreadPoolExecutor(at_once) as pool:
        for count, (key, outcome) in enumerate(zip(work, pool.map(play_one, work)), 1):
            outcomes[key] = outcome
            progress(count, len(work))
    return [[outcomes[option, repeat] for repeat in range(repeats)] for option in range(len(scenarios))]


def read(scenario: Scenario, tree: dict[str, Any], on_time: bool = True) -> tuple[Result, list[Breach]]:
    """Converts the JSON output of a trial's process; `problems` become breaches.  Raises VoidTrial, as `play`."""
    result = msgspec.convert(tree["result"], Result)
    if tree["void"] and on_time:
        raise VoidTrial(
            f"{scenario.name}: the trial itself ran late: one arrival in a hundred by {result.late_ms:.1f} ms; "
            "it is not judged"
        )
    breaches = [Breach(*each) for each in tree["breaches"]]
    return result, breaches + [Breach(0, "problems", text) for text in tree["problems"][:10]]


def report_progress(ended: threading.Event, progress: Callable[[int, int], None], seconds: float) -> None:
    """Reports the seconds played until `ended` is set."""
    start = time.monotonic()
    while not ended.wait(0.5):
        progress(int(min(seconds, time.monotonic() - start)), int(seconds))
