"""The last moments of a relay that was told to stop: are queries answered whose connections it has just accepted?"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import Answer, Attempt, Client, Discovery, Platform, RelayProcess, Unit, World, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UNITS, HUNG = 11, 2  # 18% hang
CLIENTS = 60
HELD_S = 0.14  # for which the relay is held up
KILL_S = 3.75  # after SIGTERM: the longest deadline is 3 s
LAST_S = 0.42  # after SIGTERM, when the clients send on their open connections
RECONNECT_S = 0.01  # from when a client sees the end to its new connection


async def day(world: World) -> tuple[list[str], bool]:
    units = [Unit(world, f"s-{index:04x}") for index in range(UNITS)]
    discovery, platform = Discovery(world), Platform(world)
    for unit in units:
        await unit.open()
        discovery.entries[unit.name] = unit.entry()
        discovery.changed_at[unit.name] = discovery.version
    await discovery.open()
    await platform.open()
    relay = RelayProcess(world, "n0", discovery, platform)
    for each, deadline in zip(relay.settings["requestClasses"], (2500, 3000)):
        each |= {"aim": 1000, "deadline": deadline}
    relay.write_config()
    hung: set[str] = set()

    async def work(attempt: Attempt) -> None:
        while attempt.unit.name in hung and not attempt.connection.is_closed:
            if await attempt.connection.reader.read(1) == b"":
                return
        await attempt.unit.answer(attempt)

    for unit in units:
        unit.work = work
    await relay.start()
    clients = [await Client.connect(world, relay.port) for _ in range(CLIENTS)]
    for number, client in enumerate(clients):  # each is known to be open: it has been answered
        await client.ask(f"{number:08x}", "report-fetch", 2500, tenant=("caroni-univ", "arima-college")[number % 2])
    hung.update(unit.name for unit in units[:HUNG])
    stopped = world.now()
    relay.send_signal(signal.SIGTERM)
    broken: list[str] = []
    answers: list[Answer] = []
    counts = {"crossed": 0, "answered again": 0, "not accepted": 0, "lost": 0}
    first_failed = asyncio.Event()

    async def follow(number: int, client: Client) -> None:
        tenant = ("caroni-univ", "arima-college")[number % 2]
        await asyncio.sleep(max(0.0, stopped + LAST_S - world.now()))
        answer = await client.ask(f"{number + 1000:08x}", "paper-submit", 3000, 2.0, is_write=True, tenant=tenant)
        answers.append(answer)
        if answer.kind != "failed":
            return client.close()
        first_failed.set()
        request = f"{number + 2000:08x}"  # as soon as it has an answer; it has not read the end
        crossed = await client.ask(request, "paper-submit", 3000, 0.0, is_write=True, tenant=tenant)
        if crossed.kind != "closed":
            return client.close()
        client.close()
        counts["crossed"] += 1
        await asyncio.sleep(RECONNECT_S)
        try:
            client = await Client.connect(world, relay.port)
        except OSError:
            counts["not accepted"] += 1
            return
        answer = await client.ask(request, "paper-submit", 3000, 0.5, is_write=True, tenant=tenant)
        client.close()
        if answer.kind in ("served", "refused", "failed"):
            counts["answered again"] += 1
            return
        counts["lost"] += 1
        broken.append(
            f"{request}: sent {answer.sent - stopped:.3f} s after SIGTERM on a new connection, {answer.kind} "
            f"({answer.detail}) {answer.at - stopped:.3f} s after it, with no answer"
        )

    async def hold() -> None:
        await first_failed.wait()
        await asyncio.sleep(0.004)
        relay.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HELD_S)
        relay.send_signal(signal.SIGCONT)

    followers = [asyncio.ensure_future(follow(number, client)) for number, client in enumerate(clients)]
    holder = asyncio.ensure_future(hold()) if TROUBLE else None
    try:
        await asyncio.wait_for(relay.process.wait(), stopped + KILL_S - world.now())
        world.note("relay ended", relay.process.returncode, f"{world.now() - stopped:.3f} s after SIGTERM")
    except TimeoutError:
        world.note("relay killed")
        relay.kill()
    await asyncio.wait(followers, timeout=5)
    if holder:
        holder.cancel()
    print(counts, f"ended {world.now() - stopped:.2f} s after SIGTERM, exit {relay.process.returncode}")
    return broken, counts["crossed"] > 3


if __name__ == "__main__":
    sys.exit(play(day, HERE))
