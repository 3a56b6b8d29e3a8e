"""A burst whose connections come up late: does a build on trial get more than its share in some window?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import Answer, Client, Discovery, Platform, RelayProcess, Unit, World, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 0.23  # a new connection comes up so late; dialTimeout is 0.25 s
SPAN_S, FREE, CAP = 2.0, 1, 0.42  # domain.span, domain.free, domain.mostShares of the second stage
PASSES, PASSES_SHARE = 2, 0.04  # "2 attempts and 4% more than the cap pass"
HELD_S = 0.15  # for which a relay may be held up: requests of so long before a window count as taken in it
REQUESTS, RATE = 40, 750.0
UNITS, NEW_UNITS = 12, 3  # a quarter of the fleet, as the second stage has it
BUILD = 42
TENANTS = ("caroni-univ", "arima-college")


SEEDS = ("8c1f30d27a5be964", "1d20", "2e31", "3f42")  # one start of a relay with each: its choices are random


async def play_burst(world: World, seed: str) -> tuple[float, str, int, int]:
    """One start and one burst: by how much the worst window is over, in words, the attempts, and the answers."""
    units = [Unit(world, f"s-{index:04x}", BUILD if index < NEW_UNITS else 41, 0.15) for index in range(UNITS)]
    discovery, platform = Discovery(world), Platform(world)
    platform.state = {"Revision": BUILD, "Wave": 1, "State": "canary", "MaxShare": CAP}
    platform.since = world.now() - 1
    for unit in units:
        await unit.open()
        unit.setup_delay_s = lambda: LATE_S if TROUBLE else 0.0
        discovery.entries[unit.name] = unit.entry()
        discovery.changed_at[unit.name] = discovery.version
    await discovery.open()
    await platform.open()
    relay = RelayProcess(world, f"n-{seed}", discovery, platform)
    relay.write_config(seed=seed)
    await relay.start()
    await asyncio.sleep(1)
    taken: list[float] = []
    answers: list[Answer] = []

    async def ask(number: int) -> None:
        client = await Client.connect(world, relay.port)
        taken.append(world.now())
        answers.append(await client.ask(f"{number:08x}", "report-fetch", 3000, tenant=TENANTS[number % 2]))
        client.close()

    asked = []
    for number in range(REQUESTS):
        asked.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / RATE)
    await asyncio.wait(asked, timeout=6)
    attempts = sorted(each.at for unit in units[:NEW_UNITS] for each in unit.attempts)
    worst = (0.0, "")
    for begin in attempts:
        sent = sum(begin <= at < begin + SPAN_S for at in attempts)
        requests = sum(begin - HELD_S <= at < begin + SPAN_S for at in taken)
        most = FREE + CAP * requests * (1 + PASSES_SHARE) + PASSES
        strict = FREE + CAP * sum(begin <= at < begin + SPAN_S for at in taken) * (1 + PASSES_SHARE) + PASSES
        text = (
            f"in the {SPAN_S:g} s from {begin - taken[0]:.3f} s after the first request on: {sent} attempts at build "
            f"{BUILD}, at most {most:.1f} for {requests} requests ({strict:.1f} without {HELD_S} s of allowance)"
        )
        worst = max(worst, (sent - most, text))
    kinds = {kind: sum(each.kind == kind for each in answers) for kind in ("served", "refused", "failed")}
    print(f"{kinds}, {len(attempts)} attempts at the build on trial; the worst window is over by {worst[0]:.1f}")
    world.note(kinds, worst)
    relay.kill()
    await relay.process.wait()
    return *worst, len(attempts), len(answers)


async def day(world: World) -> tuple[list[str], bool]:
    bursts = [await play_burst(world, seed) for seed in SEEDS]
    broken = [text for over, text, _, _ in bursts if over > 0]
    attempts = [each[2] for each in bursts]
    return broken, max(attempts) > 3 and all(each[3] == REQUESTS for each in bursts)


if __name__ == "__main__":
    sys.exit(play(day, HERE))
