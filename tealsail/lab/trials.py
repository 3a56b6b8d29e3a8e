"""Trials: a scenario played for real in a process of its own, and what came of it."""

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
from .runs import day_seed, judge
from .scenario import Scenario

FIRST_REAL = 1000  # replicas' seeds lie below, real days' from here on
MORE, EACH = 90.0, 0.5  # seconds beyond the day's length, and for each relay: then a trial is ended


class Void(ValueError):
    """A trial that can't be judged, in one sentence."""


def play(
    scenario: Scenario,
    seed: int,
    record: Path | str | None = None,
    logs: Path | str | None = None,
    progress: Callable[[int, int], None] | None = None,
    on_time: bool = True,
) -> tuple[Result, list[Breach]]:
    """Real relays on loopback for the length of the scenario.  Raises Void where the trial itself broke, or ran late
    unless that does not matter (`on_time`): the rules hold on a busy machine too, figures don't."""
    with tempfile.TemporaryDirectory() as folder:
        kept = Path(logs) if logs else Path(folder)
        kept.mkdir(parents=True, exist_ok=True)
        told = {
            "scenario": scenario.plain(),
            "seed": seed,
            "folder": str(kept),
            "record": str(Path(record).absolute()) if record else "",
        }
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "tealsail.lab.loopback.trial"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        ticking = threading.Event()
        if progress:
            threading.Thread(target=ticks, args=(ticking, progress, scenario.seconds), daemon=True).start()
        try:
            out, errors = process.communicate(
                json.dumps(told).encode(), timeout=scenario.seconds + MORE + EACH * scenario.fleet.relays
            )
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            raise Void(f"{scenario.name}: the trial did not end by itself") from None
        finally:
            ticking.set()
    if process.returncode or not out:
        raise Void(f"{scenario.name}: the trial broke: {errors.decode(errors='replace').strip()[-400:]}")
    return read(scenario, json.loads(out), on_time)


def days(
    scenarios: list[Scenario], repeats: int, at_once: int, keep: str | None, progress: Callable[[int, int], None]
) -> list[list[tuple[Result, list[Breach]]]]:
    """So many real days of each scenario, in turns, so that drift of the machine hits all alike.  What is found in
    `keep` from before is not played again.  A void day is played once more; a second time raises Void."""
    work = [(place, repeat) for repeat in range(repeats) for place in range(len(scenarios))]
    folder = Path(keep) if keep else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)

    def one(key: tuple[int, int]) -> tuple[Result, list[Breach]]:
        place, repeat = key
        name = f"{'ABCDEFGH'[place]}-{repeat}"
        kept = folder / f"{name}.json" if folder else None
        record = folder / f"{name}.record.gz" if folder else None
        if kept and kept.exists():
            result, breaches = msgspec.json.decode(kept.read_bytes(), type=tuple[Result, list[Breach]])
            if record.exists():  # the figures of today from the record of then
                again, _ = judge(record)
                result = msgspec.structs.replace(again, breaches=result.breaches, late_ms=result.late_ms)
            return result, breaches
        scenario = scenarios[place]
        seed = day_seed(scenario, FIRST_REAL + repeat)
        try:
            found = play(scenario, seed, record)
        except Void:
            found = play(scenario, seed, record)
        if kept:
            kept.write_bytes(msgspec.json.encode(found))
        return found

    done = {}
    with ThreadPoolExecutor(at_once) as pool:
        for count, (key, found) in enumerate(zip(work, pool.map(one, work)), 1):
            done[key] = found
            progress(count, len(work))
    return [[done[place, repeat] for repeat in range(repeats)] for place in range(len(scenarios))]


def read(scenario: Scenario, tree: dict[str, Any], on_time: bool = True) -> tuple[Result, list[Breach]]:
    result = msgspec.convert(tree["result"], Result)
    if tree["void"] and on_time:
        raise Void(
            f"{scenario.name}: the trial ran late itself: one arrival in a hundred by {result.late_ms:.1f} ms; "
            "it is not judged"
        )
    breaches = [Breach(*each) for each in tree["breaches"]]
    return result, breaches + [Breach(0, "problems", text) for text in tree["problems"][:10]]


def ticks(ticking: threading.Event, progress: Callable[[int, int], None], seconds: float) -> None:
    start = time.monotonic()
    while not ticking.wait(0.5):
        progress(int(min(seconds, time.monotonic() - start)), int(seconds))
