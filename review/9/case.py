"""A relay restarts while discovery is down: does it send to a unit that its agent has listed as draining?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import (  # noqa: E402
    READY,
    Answer,
    Attempt,
    Client,
    Discovery,
    Platform,
    RelayProcess,
    Unit,
    World,
    error,
    play,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 1.0  # rules.drainGrace
SLACK_S = 0.05  # on sockets
DOWN_S = 8.0  # for which discovery is down
RATE = 8.0  # requests a second
QUIET_S = 1.2  # from the new process's readiness to its first request


async def day(world: World) -> tuple[list[str], bool]:
    units = [Unit(world, f"s-{index:04x}") for index in range(5)]
    discovery, platform = Discovery(world), Platform(world)
    for unit in units:
        await unit.open()
        discovery.entries[unit.name] = unit.entry()
        discovery.changed_at[unit.name] = discovery.version
    await discovery.open()
    await platform.open()
    relay = RelayProcess(world, "n0", discovery, platform)
    relay.write_config()  # `known` holds the list as this relay had it last
    await relay.start()
    answers: list[Answer] = []

    async def ask(number: int) -> None:
        client = await Client.connect(world, relay.port)
        kind = "paper-submit" if number % 4 == 0 else "report-fetch"
        answers.append(await client.ask(f"{number:08x}", kind, 3000, is_write=number % 4 == 0))
        client.close()

    async def traffic(seconds: float, first: int) -> None:
        asked = []
        end = world.now() + seconds
        while world.now() < end:
            asked.append(asyncio.ensure_future(ask(first + len(asked))))
            await asyncio.sleep(1 / RATE)
        await asyncio.wait(asked, timeout=5)

    await traffic(3.0, 0)
    drained = max(units, key=lambda unit: len(unit.attempts))
    world.note("the relay is killed")
    relay.kill()
    await relay.process.wait()

    async def turn_away(attempt: Attempt) -> None:
        attempt.connection.write(error("53300", "draining") + READY)

    drained.work = turn_away
    await discovery.tell(drained.entry("draining"))
    world.note("the agent has it:", drained.name, "drains")
    await asyncio.sleep(0.5)
    if TROUBLE:
        await discovery.set_silent(True)
    began = world.now()
    await relay.start()
    ready = world.now()
    told = ready  # later than "from the first moment of a new process"
    await asyncio.sleep(QUIET_S)
    loading = asyncio.ensure_future(traffic(DOWN_S - (world.now() - began) - 0.2, 1000))
    await asyncio.sleep(max(0.0, DOWN_S - (world.now() - began)))
    returned = world.now()
    await discovery.set_silent(False)
    await loading
    await traffic(1.0, 5000)
    late = [each for each in drained.attempts if told + GRACE_S + SLACK_S < each.at < returned]
    broken = [
        f"{len(late)} attempts at {drained.name} from {late[0].at - told:.2f} to {late[-1].at - told:.2f} s after "
        "the new process was told that it drains"
        for _ in late[:1]  # one line, if any
    ]
    kinds = {kind: sum(each.kind == kind for each in answers) for kind in ("served", "refused", "failed")}
    print(f"{len(answers)} answers {kinds}; {len(late)} attempts at the draining unit after the grace")
    world.note(kinds, "late attempts:", len(late))
    return broken, len(answers) > 30 and kinds["served"] > 30


if __name__ == "__main__":
    sys.exit(play(day, HERE))
