"""One run of a soak: relays at given limits, usual and hostile clients, signals; and what broke a rule."""

import asyncio
import compileall
import json
import py_compile
import signal
import sys
import tempfile
import time
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

from .collector import earlier_objects_left_out
from .hostile_clients import HostileReport, Order
from .plan import KILL_AFTER_S, Crowd, Plan, Signals
from .relay_process import CHECKOUT, RelayProcess, proportional_memory_mb
from .stand_ins import Attempt, Discovery, Platform, Unit
from .usual_clients import Answered, UsualClients

LEFT_GRACE_S = 0.1  # after its client's close an attempt may still begin
MAX_ATTEMPTS = 3  # for one request, by the settings of relay_process.py
MEMORY_S = 3.0  # for which units remember a keyed request, by the same settings
HOSTILE_END_S = 30.0  # within which hostile clients end after their time
SETTLE_S = 0.5  # after the clients' end, until memory is read
MAX_UNMET_SHARE = 0.02  # of clients owed an error or a close


class RunResult(NamedTuple):
    """What a run showed: sentences on what broke a rule, and figures."""

    findings: list[str]
    # Proportional memory of the first relay before the clients came, the most of any relay, and that of the first
    # after the clients had left (0 if it had ended).
    rest_mb: float
    peak_mb: float
    end_mb: float
    answers: list[Answered]  # of the usual clients
    owed: int
    unmet: int

    def count(self, outcome: str) -> int:
        """The usual clients' requests with that outcome."""
        return sum(answer.outcome == outcome for answer in self.answers)

    def latency(self, share: float) -> float:
        """The quantile of the seconds that served requests of usual clients took; 0 without any."""
        served = sorted(answer.seconds for answer in self.answers if answer.outcome == "served")
        return served[min(len(served) - 1, int(share * len(served)))] if served else 0.0


async def play(plan: Plan) -> RunResult:
    """Play one plan with real processes; raises RuntimeError if a relay does not start."""
    compile_program()
    with earlier_objects_left_out(), tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return await Run(plan, Path(folder)).play()


def compile_program() -> None:
    """Compile the program, as `build` of the deploy file does."""
    mode = py_compile.PycInvalidationMode.CHECKED_HASH
    compileall.compile_dir(CHECKOUT / "tealsail", quiet=2, invalidation_mode=mode)


class Run:
    """One run under way."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.attempts: list[Attempt] = []
        self.units = [
            Unit(f"s-{number}", self.attempts, plan.unit_latency_s, plan.value_bytes) for number in range(plan.units)
        ]
        for unit in self.units[: plan.hung_units]:
            unit.is_hung = True
        self.discovery, self.platform = Discovery(self.units), Platform()
        self.relays = [
            RelayProcess(index, folder, plan.limits, self.discovery, self.platform) for index in range(plan.relays)
        ]
        ports = [relay.port for relay in self.relays]
        for relay in self.relays:
            relay.peers = ports
        self.clients: list[UsualClients] = []
        self.reports: list[HostileReport] = []
        self.servers: list[asyncio.Server] = []
        self.rest_mb = self.end_mb = 0.0

    async def start(self) -> None:
        """Let the stand-ins listen, and start the relays."""
        self.servers = [await each.listen() for each in (*self.units, self.discovery, self.platform)]
        await asyncio.gather(*(relay.start() for relay in self.relays))

    async def end(self) -> None:
        """End all that still runs."""
        await asyncio.gather(*(relay.kill() for relay in self.relays))
        for server in self.servers:
            server.close()

    async def play(self) -> RunResult:
        """Start, let the clients and signals of the plan act, and end."""
        try:
            await self.start()
            self.rest_mb = proportional_memory_mb(self.relays[0].life.process.pid)
            self.clients = [
                UsualClients(relay, self.plan.usual_clients, self.plan.seed, self.plan.value_bytes)
                for relay in self.relays
            ]
            await asyncio.gather(
                *(self.send_hostile(each) for each in self.plan.crowds), *map(self.signal, self.plan.signals)
            )
            await asyncio.gather(*(each.end() for each in self.clients))
            await asyncio.sleep(SETTLE_S)
            self.end_mb = proportional_memory_mb(self.relays[0].life.process.pid)
        finally:
            await self.end()
        return self.result()

    async def send_hostile(self, crowd: Crowd) -> None:
        """Start hostile clients at their time, and wait for their report."""
        await asyncio.sleep(crowd.after_s)
        number = self.plan.seed * 100 + self.plan.crowds.index(crowd)
        order = Order(crowd.kind, self.relays[crowd.relay].port, crowd.seconds, crowd.connections, number)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "tealsail.lab.soak.hostile_clients",
            cwd=CHECKOUT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            output, _ = await asyncio.wait_for(
                process.communicate(json.dumps(order._asdict()).encode()), crowd.seconds + HOSTILE_END_S
            )
            self.reports.append(HostileReport(**json.loads(output)))
        finally:
            if process.returncode is None:
                process.kill()

    async def signal(self, signals: Signals) -> None:
        """End a relay in one way or another and start it again, several times in a row."""
        relay, clients = self.relays[signals.relay], self.clients[signals.relay]
        await asyncio.sleep(signals.after_s)
        for _ in range(signals.times):
            if signals.stops:
                relay.life.signal(signal.SIGTERM)
                asyncio.get_running_loop().call_later(signals.new_connections_s, setattr, clients, "accepts_new", False)
                await self.wait_or_kill(relay)
            relay.life.signal(signal.SIGKILL)
            await relay.wait_ended()
            await asyncio.sleep(signals.down_s)
            await relay.start()
            clients.accepts_new = True
            await asyncio.sleep(signals.between_s)

    async def wait_or_kill(self, relay: RelayProcess) -> None:
        """Wait until the relay has ended, or for the earliest moment at which it may be killed."""
        try:
            await asyncio.wait_for(asyncio.shield(relay.life.process.wait()), KILL_AFTER_S)
        except TimeoutError:
            return

    def result(self) -> RunResult:
        findings = [finding for relay in self.relays for finding in relay.findings]
        findings += [finding for clients in self.clients for finding in clients.findings]
        findings += self.crossed_findings() + self.repeat_findings() + self.left_findings()
        owed, unmet = sum(each.owed for each in self.reports), sum(each.unmet for each in self.reports)
        if unmet > MAX_UNMET_SHARE * owed:
            findings.append(f"{unmet} of {owed} hostile clients got neither an error nor a close in time")
        return RunResult(
            findings,
            self.rest_mb,
            max(relay.peak_mb for relay in self.relays),
            self.end_mb,
            [answer for clients in self.clients for answer in clients.answers],
            owed,
            unmet,
        )

    def crossed_findings(self) -> list[str]:
        """Requests that a unit got and whose connection the relay ended without an answer."""
        begun = {attempt.id for attempt in self.attempts}
        return [
            f"{identifier} was sent on, and its connection ended without an answer"
            for clients in self.clients
            for identifier in clients.crossed
            if identifier in begun
        ]

    def repeat_findings(self) -> list[str]:
        """Requests that began more often than their class allows."""
        times: dict[tuple[str, str], list[float]] = {}
        for attempt in self.attempts:
            times.setdefault((attempt.id, attempt.request_class), []).append(attempt.at)
        return [
            f"{identifier} of class {name} began {len(begun)} times: {[round(at - begun[0], 3) for at in begun]}"
            for (identifier, name), begun in times.items()
            if (name == "submit" and any(not self.was_restarted(identifier, *pair) for pair in pairwise(begun)))
            or (name == "book" and begun[-1] - begun[0] > MEMORY_S)
            or (len(begun) > MAX_ATTEMPTS and not self.was_restarted(identifier, begun[0], begun[-1]))
        ]

    def was_restarted(self, identifier: str, since: float, until: float) -> bool:
        """Whether the relay that the request went to began anew in between, which knows no ids of before."""
        port = int(identifier.split("x")[1])
        return any(since < at < until for relay in self.relays if relay.port == port for at in relay.started_at)

    def left_findings(self) -> list[str]:
        """Attempts that began too long after their client's close."""
        closed = {identifier: at for report in self.reports for identifier, at in report.left}
        late = [
            (attempt, attempt.at - closed[attempt.id])
            for attempt in self.attempts
            if attempt.at > closed.get(attempt.id, attempt.at) + LEFT_GRACE_S
        ]
        return [f"{attempt.id} began {after:.3f} s after its client had left" for attempt, after in late]


def summary(result: RunResult) -> str:
    """The figures of a run on one line."""
    outcomes = Counter(answer.outcome for answer in result.answers)
    counts = " ".join(f"{name}={count}" for name, count in sorted(outcomes.items()))
    return (
        f"memory {result.rest_mb:.1f}, peak {result.peak_mb:.1f}, end {result.end_mb:.1f} MB; usual clients {counts}, "
        f"p50 {result.latency(0.5) * 1000:.0f} ms, p99 {result.latency(0.99) * 1000:.0f} ms; "
        f"{result.unmet} of {result.owed} hostile clients unmet"
    )


def main() -> None:
    """Play the plans of the seeds on the command line, one after another."""
    from .plan import draw

    for seed in map(int, sys.argv[1:]):
        begun = time.monotonic()
        plan = draw(seed)
        result = asyncio.run(play(plan))
        print(f"seed {seed}: {plan}: {summary(result)}; {time.monotonic() - begun:.0f} s", flush=True)
        for finding in result.findings:
            print(f"  {finding}", flush=True)


if __name__ == "__main__":
    main()
