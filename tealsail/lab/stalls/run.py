"""One run, or those of the seeds on the command line: `python -m tealsail.lab.stalls.run SEED...`."""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from ..soak.collector import earlier_objects_left_out
from ..soak.relay_process import CHECKOUT, Limits, RelayProcess
from ..soak.run import compile_program
from .checks import Finding, findings
from .clients import Client
from .control_plane import Discovery, TrialPlatform
from .observations import Clock, Observations, Span
from .plan import SECONDS, Plan, Stop, draw
from .units import Unit

LIMITS = Limits(192, 1024)


class RunResult(NamedTuple):
    """What a run showed: breaks of rules, what else is wrong with the relay, and what became of the requests."""

    findings: list[Finding]
    problems: list[str]
    outcomes: Counter[str]
    attempts: int


class StallRelay(RelayProcess):
    """A relay that stands still for a while."""

    async def stand_still(self, stop: Stop, clock: Clock, seen: Observations) -> None:
        """Stop the process for a while."""
        await asyncio.sleep(stop.after_s)
        self.life.process.send_signal(signal.SIGSTOP)
        since = clock.span().earliest
        await asyncio.sleep(stop.seconds)
        self.life.process.send_signal(signal.SIGCONT)
        seen.stopped.append(Span(since, clock.span().latest))


async def play(plan: Plan, checkout: Path = CHECKOUT) -> RunResult:
    """Play one plan with a real relay process; raises RuntimeError if that does not start."""
    compile_program()
    clock, seen, chance = Clock(), Observations(), random.Random(plan.seed)
    units = [Unit(number, plan, chance, clock, seen) for number in range(plan.units)]
    discovery, platform = Discovery(units, clock, seen), TrialPlatform(plan, clock, seen)
    servers = [await each.listen() for each in (*units, discovery, platform)]
    with earlier_objects_left_out(), tempfile.TemporaryDirectory(prefix="stalls-") as folder:
        relay = StallRelay(0, Path(folder), LIMITS, discovery, platform, checkout)
        relay.settings = plan.settings()
        try:
            await relay.start()
            await play_events(plan, relay, units, discovery, platform, clock, seen)
        finally:
            await relay.kill()
            clock.stop()
            for server in servers:
                server.close()
    outcomes = Counter(answer.outcome for answer in seen.answers.values())
    return RunResult(findings(plan, seen), relay.findings, outcomes, len(seen.attempts))


async def play_events(
    plan: Plan,
    relay: StallRelay,
    units: list[Unit],
    discovery: Discovery,
    platform: TrialPlatform,
    clock: Clock,
    seen: Observations,
) -> None:
    """Let clients ask, and units, the relay, discovery and the platform do what is planned."""
    clients = [Client(number, relay.port, plan, clock, seen) for number in range(plan.clients)]
    running = [asyncio.ensure_future(client.run()) for client in clients]
    events = [units[unit].stand_still(stop) for unit, stop in plan.unit_stops]
    events += [relay.stand_still(stop, clock, seen) for stop in plan.relay_stops]
    events += [discovery.drain(drain) for drain in plan.drains]
    await asyncio.gather(asyncio.sleep(SECONDS), platform.end_cap(), *events)
    for client in clients:
        client.is_over = True
    await asyncio.gather(*running)


def main() -> None:
    """Play the plans of the seeds on the command line, one after another."""
    for seed in map(int, sys.argv[1:]):
        begun = time.monotonic()
        result = asyncio.run(play(draw(seed)))
        counts = " ".join(f"{name}={count}" for name, count in sorted(result.outcomes.items()))
        print(f"seed {seed}: {counts}, {result.attempts} attempts; {time.monotonic() - begun:.0f} s", flush=True)
        for finding in result.findings:
            print(f"  {finding.rule.value}: {finding.text}", flush=True)
        for problem in result.problems:
            print(f"  {problem}", flush=True)


if __name__ == "__main__":
    main()
