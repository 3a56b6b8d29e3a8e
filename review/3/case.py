"""Where nothing may be called off, an attempt begins for a client that has gone while a connection was being set up."""

import asyncio
import random
from pathlib import Path

from sites import DEPOSITS_THREE_SITES
from stand_ins import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    ClientConnection,
    Fleet,
    Record,
    Unit,
    insert,
    message,
    now,
    play,
)

ALLOWED_S = 0.15  # after the close: 0.1 s, and every time limit is 50 ms longer
LATE_S = 0.3  # by which new connections come up late; the page says up to 1 s
CLIENTS = 40
ZONES = "harbour", "upland", "plains"


async def case(record: Record, folder: Path) -> int:
    chance = random.Random(11)
    closed_at: dict[str, float] = {}  # by id: when its client closed its connection
    begun: dict[str, float] = {}  # by id: when its latest attempt's last byte came

    def begin(unit: Unit, fields: dict[str, str]) -> tuple[str, float]:
        request = fields["id"]
        begun[request] = now()
        after = now() - closed_at[request] if request in closed_at else None
        record.add(
            f"unit {unit.name} runs id={request}"
            + (f", {after:.3f} s after its client closed" if after is not None else "")
        )
        return "serve", 0.16

    units = [Unit(f"l{at}", ZONES[at % 3], record, begin) for at in range(12)]
    fleet = Fleet(record, folder, units, 3, DEPOSITS_THREE_SITES)
    try:
        await fleet.start()
        if TROUBLE:
            record.add(f"from now on new connections to units come up {LATE_S} s late")
            for unit in units:
                unit.late = LATE_S

        async def client(at: int) -> None:
            request = f"{at:x}"
            connection = ClientConnection()
            await connection.open(fleet.relays[at % 3].port)
            statement = insert(f"a{at}", {"id": request, "c": "deposit", "t": "", "d": 4000})
            connection.writer.write(message(b"Q", statement.encode() + b"\0"))
            record.add(f"client sends deposit id={request}")
            await asyncio.sleep(chance.uniform(0.05, 0.12))
            closed_at[request] = now()
            connection.close()
            record.add(f"client closes its connection, id={request}")

        for at in range(CLIENTS):
            await client(at)
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
    finally:
        await fleet.end()
    if not TROUBLE and not begun:
        raise CannotRun("no deposit reached a unit")
    late = sorted(
        (begun[request] - closed_at[request], request)
        for request in begun
        if begun[request] > closed_at[request] + ALLOWED_S
    )
    record.add(f"deposits of {CLIENTS} that began more than {ALLOWED_S} s after the close: {len(late)}")
    return BROKEN if late else HELD


play(Path(__file__).resolve().parent, case)
