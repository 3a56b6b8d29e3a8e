"""The parts of a trial that are not its director: in the director's process, or each in one of its own (`python -m` it)."""

import resource
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ...record.files import Writer
from ...record.lines import VERSION, Head
from ..scenario import convert
from .backends import BackendPool
from .clients import Crowd
from .process_messages import FinalReport, Message, RoleAssignment, Stop, Violation, decode, encode
from .relay_messages import MessageCarrier
from .trial_setup import TrialSetup, use_shared_clock

PARTS = {"units": BackendPool, "clients": Crowd, "notes": MessageCarrier}
LONGEST = 64 * 1024 * 1024  # bytes of a word
DESCRIPTORS = 65_536  # that a process may hold, as far as the system allows


def widen() -> None:
    """As many descriptors as are allowed: hundreds of relays keep thousands of connections."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if most == resource.RLIM_INFINITY else min(DESCRIPTORS, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))


class LocalMember:
    """A part in the director's process; its lines go straight to the record."""

    def __init__(self, setup: TrialSetup, part: str) -> None:
        self.part, self.name = PARTS[part](setup, 0, 1), part
        self.setup = setup

    def tell(self, message: Message) -> None:
        if isinstance(message, Stop):
            self.setup.reactor.callLater(0, self.setup.send, self.part.over())
        else:
            self.part.heard(message)


class ProcessMember(ProcessProtocol):
    """A part in a process of its own, which is told and says words as lines, and keeps its lines of the record in a file."""

    def __init__(self, setup: TrialSetup, part: str, place: int, many: int, folder: Path) -> None:
        self.setup, self.name, self.held, self.ended = setup, f"{part}-{place}", b"", False
        self.record, self.errors = folder / f"{self.name}.record", b""
        self.process = setup.reactor.spawnProcess(
            self, sys.executable, [sys.executable, "-B", "-m", "tealsail.lab.loopback.process_group"], None
        )
        self.tell(
            RoleAssignment(
                part, place, many, setup.scenario.plain(), setup.seed, setup.addresses.port, str(self.record)
            )
        )

    def tell(self, message: Message) -> None:
        if not self.ended:
            self.transport.write(encode(message))

    def outReceived(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            self.setup.send(decode(line))

    def errReceived(self, data: bytes) -> None:
        self.errors = (self.errors + data)[-4_000:]

    def processEnded(self, reason: Failure) -> None:
        self.ended = True
        if self.errors or reason.value.exitCode:
            self.setup.report_violation(
                f"{self.name}: {self.errors.decode(errors='replace').strip()[-300:] or reason.getErrorMessage()}"
            )
            self.setup.send(FinalReport({}, [], 0.0))


class MemberProcess:
    """One part in its own process, from its first word to the last."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.held = reactor, b""
        self.part: Any = None
        self.writer: Writer | None = None
        self.out: Any = None  # the transport to the director

    def dataReceived(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            self.heard(decode(line))

    def heard(self, message: Any) -> None:
        match message:
            case RoleAssignment(part, place, many, scenario, seed, port, record):
                self.writer = Writer(record)
                day = convert(scenario)
                self.writer(Head(0, VERSION, "trial", day.name, seed, {}))
                setup = TrialSetup(
                    self.reactor, day, seed, port, self.writer, lambda text: self.say(Violation(text)), self.say
                )
                self.part = PARTS[part](setup, place, many)
            case Stop():
                over = self.part.over()
                self.writer.close()
                self.say(msgspec.structs.replace(over, cpu=time.process_time()))
                self.reactor.callLater(0.1, self.reactor.stop)
            case _:
                self.part.heard(message)

    def say(self, message: Message) -> None:
        self.out.write(encode(message))


def main() -> None:
    from twisted.internet import reactor
    from twisted.internet.protocol import Protocol
    from twisted.internet.stdio import StandardIO

    widen()
    member = MemberProcess(use_shared_clock(reactor))

    class CoordinatorInput(Protocol):
        def connectionMade(self) -> None:
            member.out = self.transport

        def dataReceived(self, data: bytes) -> None:
            member.dataReceived(data)

        def connectionLost(self, reason: Failure = None) -> None:
            """The director has gone."""
            if reactor.running:
                reactor.stop()

    StandardIO(CoordinatorInput())
    reactor.run()


if __name__ == "__main__":
    main()
