"""The process group of a trial: backends, clients and the carrier of relays' messages, one or more members a role.

A member lives in the coordinator's process (`LocalMember`) or in one of its own, which the coordinator starts as
`python -m` this module and exchanges messages with (`ProcessMember` there, `MemberProcess` here).
"""

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
from .clients import ClientPool
from .process_messages import FinalReport, Message, RoleAssignment, Stop, Violation, decode, encode
from .relay_messages import MessageCarrier
from .trial_setup import TrialSetup, use_shared_clock

ROLES = {"units": BackendPool, "clients": ClientPool, "notes": MessageCarrier}  # notes: messages between relays
MAX_DESCRIPTORS = 65_536  # that a process asks the system for
MAX_ERROR_BYTES = 4_000  # of a member's standard error that are kept
MAX_ERROR_TEXT = 300  # characters of it that are reported
LAST_MESSAGE_S = 0.1  # seconds in which a member's last message goes out


def raise_descriptor_limit() -> None:
    """Allow this process as many file descriptors as the system does, up to MAX_DESCRIPTORS: hundreds of relays keep
    thousands of connections."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_DESCRIPTORS if most == resource.RLIM_INFINITY else min(MAX_DESCRIPTORS, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))


class LocalMember:
    """A member in the coordinator's process; its lines go straight to the record."""

    def __init__(self, setup: TrialSetup, role: str) -> None:
        self.member, self.name = ROLES[role](setup, 0, 1), role
        self.setup = setup

    def send(self, message: Message) -> None:
        if isinstance(message, Stop):
            self.setup.reactor.callLater(0, self.setup.send, self.member.final_report())
        else:
            self.member.receive(message)


class ProcessMember(ProcessProtocol):
    """A member in a process of its own, as the coordinator sees it.

    Messages go in and out as lines; its lines of the record are kept in a file (`record`)."""

    def __init__(self, setup: TrialSetup, role: str, index: int, count: int, folder: Path) -> None:
        self.setup, self.name, self.buffer, self.has_ended = setup, f"{role}-{index}", b"", False
        self.record, self.errors = folder / f"{self.name}.record", b""
        self.process = setup.reactor.spawnProcess(
            self, sys.executable, [sys.executable, "-B", "-m", "tealsail.lab.loopback.process_group"], None
        )
        self.send(
            RoleAssignment(
                role, index, count, setup.scenario.plain(), setup.seed, setup.addresses.port, str(self.record)
            )
        )

    def send(self, message: Message) -> None:
        if not self.has_ended:
            self.transport.write(encode(message))

    def outReceived(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.setup.send(decode(line))

    def errReceived(self, data: bytes) -> None:
        self.errors = (self.errors + data)[-MAX_ERROR_BYTES:]

    def processEnded(self, reason: Failure) -> None:
        self.has_ended = True
        if self.errors or reason.value.exitCode:
            self.setup.report_violation(
                f"{self.name}: "
                f"{self.errors.decode(errors='replace').strip()[-MAX_ERROR_TEXT:] or reason.getErrorMessage()}"
            )
            self.setup.send(FinalReport({}, [], 0.0))


class MemberProcess:
    """One member in its own process, from the assignment of its role to its final report."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.buffer = reactor, b""
        self.member: Any = None
        self.writer: Writer | None = None
        self.out: Any = None  # the transport to the coordinator

    def dataReceived(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.receive(decode(line))

    def receive(self, message: Message) -> None:
        match message:
            case RoleAssignment():
                self.take_role(message)
            case Stop():
                self.finish()
            case _:
                self.member.receive(message)

    def take_role(self, assignment: RoleAssignment) -> None:
        """Build the member; its lines of the record go to the file that the assignment names."""
        self.writer = Writer(assignment.record)
        scenario = convert(assignment.scenario)
        self.writer(Head(0, VERSION, "trial", scenario.name, assignment.seed, {}))
        setup = TrialSetup(
            self.reactor,
            scenario,
            assignment.seed,
            assignment.port,
            self.writer,
            lambda text: self.send(Violation(text)),
            self.send,
        )
        self.member = ROLES[assignment.role](setup, assignment.index, assignment.count)

    def finish(self) -> None:
        """Send the final report, and end the process."""
        report = self.member.final_report()
        self.writer.close()
        self.send(msgspec.structs.replace(report, cpu=time.process_time()))
        self.reactor.callLater(LAST_MESSAGE_S, self.reactor.stop)

    def send(self, message: Message) -> None:
        self.out.write(encode(message))


def main() -> None:
    from twisted.internet import reactor
    from twisted.internet.protocol import Protocol
    from twisted.internet.stdio import StandardIO

    raise_descriptor_limit()
    process = MemberProcess(use_shared_clock(reactor))

    class CoordinatorInput(Protocol):
        def connectionMade(self) -> None:
            process.out = self.transport

        def dataReceived(self, data: bytes) -> None:
            process.dataReceived(data)

        def connectionLost(self, reason: Failure = None) -> None:
            """The coordinator has ended."""
            if reactor.running:
                reactor.stop()

    StandardIO(CoordinatorInput())
    reactor.run()


if __name__ == "__main__":
    main()
