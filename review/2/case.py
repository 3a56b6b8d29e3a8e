"""A relay that shuts down takes requests that it does not answer before it is killed, where a unit hangs."""

import asyncio
import random
import signal
from pathlib import Path

from sites import POS_TEXTMATCH
from stand_ins import BROKEN, HELD, TROUBLE, CannotRun, ClientConnection, Fleet, Record, Unit, insert, now, play

EXCUSED_S = 0.7  # after SIGTERM: what came by then and is unanswered at SIGKILL is not lost
KILL_S = 3.8  # after SIGTERM: not sooner than 3 s (for deadlines of 3 s or more) and 0.7 s more
HANG_S = 0.8  # after SIGTERM; the units hang for 6.3 s (the site: 6.2 to 21 s)
LAST_S = 1.8  # after SIGTERM: clients begin nothing later
UNITS, HUNG = 13, 2  # at most 18% of the units hang
CLIENTS = 8  # of each relay


async def case(record: Record, folder: Path) -> int:
    chance = random.Random(7)
    hung: set[str] = set()
    runs: dict[str, str] = {}  # by id: the unit that it reached last

    def begin(unit: Unit, fields: dict[str, str]) -> tuple[str, float]:
        runs[fields["id"]] = unit.name
        if unit.name in hung:
            record.add(f"unit {unit.name} hangs and takes id={fields['id']}")
            return "hang", 0.0
        return "serve", min(1.2, chance.lognormvariate(-1.5, 0.5))  # mean 0.25 s

    units = [Unit(f"c{at}", "chaguanas-dc", record, begin) for at in range(UNITS)]
    fleet = Fleet(record, folder, units, 3, POS_TEXTMATCH)
    number = 0
    lost: list[str] = []
    late_requests = 0  # that came more than 0.7 s after SIGTERM

    def begin_to_hang(names: list[str]) -> None:
        if TROUBLE:
            hung.update(names)
            record.add(f"units {' '.join(names)} hang from now on")

    async def restart(relay: int, hanging: list[str]) -> None:
        nonlocal number, late_requests
        told_at: float | None = None
        process = fleet.relays[relay]

        async def client(name: str) -> None:
            nonlocal number, late_requests
            connection = ClientConnection()
            await connection.open(process.port)
            answered_here = False
            while told_at is None or now() < told_at + LAST_S:
                number += 1
                fields = {"id": f"{number:x}", "c": "paper-submit", "t": "caroni-univ", "d": 5000}
                if connection.reader.at_eof():
                    return record.add(f"client {name} sees the end of its connection and leaves")
                sent = now()
                what, _ = await connection.ask(insert(f"p{number}", fields))
                if what == "closed" and answered_here and told_at is not None and now() < told_at + KILL_S - 0.05:
                    # It crossed the end of a resting connection: once more, on a new one.
                    connection.close()
                    connection = ClientConnection()
                    try:
                        await connection.open(process.port)
                    except ConnectionError:
                        return record.add(f"client {name} finds the relay gone")
                    sent, answered_here = now(), False
                    record.add(f"client {name} sends id={fields['id']} once more, {sent - told_at:.3f} s after SIGTERM")
                    what, _ = await connection.ask(insert(f"p{number}", fields))
                answered_here = True
                is_late = told_at is not None and sent > told_at + EXCUSED_S
                late_requests += is_late
                if told_at is not None:
                    record.add(f"client {name} id={fields['id']} sent {sent - told_at:.3f} s after SIGTERM: {what}")
                if what == "closed":
                    if is_late:
                        lost.append(fields["id"])
                        record.add(f"LOST id={fields['id']}, last at unit {runs.get(fields['id'], 'none')}")
                    return
            connection.close()

        clients = [asyncio.ensure_future(client(f"{relay}.{at}")) for at in range(CLIENTS)]
        await asyncio.sleep(2.0)
        process.send(signal.SIGTERM)
        told_at = now()
        hang = asyncio.get_running_loop().call_later(HANG_S, begin_to_hang, hanging)
        try:
            await asyncio.wait_for(process.process.wait(), KILL_S)
            record.add(f"relay {relay} ended by itself with {process.process.returncode}")
        except TimeoutError:
            process.send(signal.SIGKILL)
        await asyncio.gather(*clients)
        hang.cancel()
        await asyncio.sleep(max(0.0, told_at + HANG_S + 6.3 - now()))
        if hung:
            record.add("the units answer again")
        hung.clear()
        await process.wait_ended()
        await process.start()

    try:
        await fleet.start()
        for turn in range(6):
            await restart(turn % 3, [units[(2 * turn + at) % UNITS].name for at in range(HUNG)])
    finally:
        await fleet.end()
    if not late_requests:
        raise CannotRun("no request came more than 0.7 s after SIGTERM")
    record.add(
        f"requests that came more than 0.7 s after SIGTERM: {late_requests}; lost: {len(lost)} ({' '.join(lost)})"
    )
    return BROKEN if lost else HELD


play(Path(__file__).resolve().parent, case)
