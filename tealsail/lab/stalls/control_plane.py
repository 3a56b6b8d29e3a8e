"""Stand-ins of discovery and the platform that tell changes."""

import asyncio
import json
from typing import Any

from ..soak.stand_ins import Platform
from ..soak.wire import LOOPBACK
from .observations import Clock, Observations
from .plan import BUILD, TRIAL_BUILD, Drain, Plan
from .units import Unit

CAP = 0.9  # of the build on trial, before its end


class Discovery:
    """The list of units, and watches on its changes."""

    def __init__(self, units: list[Unit], clock: Clock, seen: Observations) -> None:
        self.units, self.clock, self.seen = units, clock, seen
        self.version, self.port = 41, 0
        self.states = ["ready"] * len(units)
        self.changed_at = [0] * len(units)  # the version of each unit's last change
        self.change = asyncio.Condition()

    async def listen(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def tree(self, units: list[Unit], whole: bool) -> dict[str, Any]:
        """The list in discovery's form."""
        return {"generation": self.version, "reset": whole, "instances": [self.entry(each) for each in units]}

    def entry(self, unit: Unit) -> dict[str, Any]:
        return {
            "instanceId": unit.name,
            "hostPort": f"{LOOPBACK}:{unit.port}",
            "zone": "soak-dc",
            "machineType": "m2",
            "cell": 0,
            "lifecycle": self.states[unit.number],
            "weight": 1.0,
            "startedAtMs": 0,
            "build": unit.build,
        }

    async def drain(self, drain: Drain) -> None:
        await asyncio.sleep(drain.after_s)
        await self.set_state(drain.unit, "draining")
        told = self.clock.span()
        await asyncio.sleep(drain.seconds)
        self.seen.drains.append((drain.unit, told, self.clock.span().earliest))
        await self.set_state(drain.unit, "ready")

    async def set_state(self, unit: int, state: str) -> None:
        async with self.change:
            self.version += 1
            self.states[unit], self.changed_at[unit] = state, self.version
            self.change.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                writer.write(await self.reply(path))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def reply(self, path: str) -> bytes:
        """The whole list, or what has changed since a version once there is something."""
        _, is_watch, rest = path.partition("after=")
        if not is_watch:
            return self.encode(self.tree(self.units, True))
        after, wait_ms = rest.split("&wait_ms=")
        async with self.change:
            try:
                await asyncio.wait_for(
                    self.change.wait_for(lambda: self.version > int(after)), timeout=int(wait_ms) / 1000
                )
            except TimeoutError:
                pass
        changed = [unit for unit in self.units if self.changed_at[unit.number] > int(after)]
        return self.encode(self.tree(changed, False))

    def encode(self, tree: dict[str, Any]) -> bytes:
        body = json.dumps(tree).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class TrialPlatform(Platform):
    """Tells the state of the build on trial, whose cap falls to 0 once."""

    def __init__(self, plan: Plan, clock: Clock, seen: Observations) -> None:
        build = TRIAL_BUILD if plan.trial_units else BUILD
        super().__init__({"Revision": build, "Wave": 3, "State": "canary", "MaxShare": CAP, "AgeMs": 600})
        self.plan, self.clock, self.seen = plan, clock, seen

    async def end_cap(self) -> None:
        """Lower the cap at its time."""
        await asyncio.sleep(self.plan.cap_ends_after_s)
        self.state["MaxShare"] = 0.0
        for writer in self.subscribers:
            self.send_state(writer)
        self.seen.cap_ended = self.clock.span()
