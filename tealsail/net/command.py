"""The command line."""
import os
import signal
import sys
from typing import Any

from docopt import DocoptExit, docopt
from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from .. import __version__
from .counters import Counters
from .relay import Relay
from .start import BadStart, read, read_again

USAGE = """tealsail: a front tier that watches over software updates.

Usage:
  tealsail serve [--log-level=LEVEL]
  tealsail check
  tealsail version
  tealsail (-h | --help)

Commands:
  serve    Run one relay, as EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG tell it.
  check    Read the same configuration, print what would be served, and end.
  version  Print the version.

Options:
  --log-level=LEVEL  debug, info, warning or error [default: info].
  -h --help          Show this.
"""


def main(arguments: list[str] | None = None) -> int:
    try:
        chosen = docopt(USAGE, argv=arguments)
        if chosen["version"]:
            print(f"tealsail {__version__}")
            return 0
        told = read(os.environ)
        if chosen["check"]:
            print(f"{told.name}: listens at {told.listen}; {len(told.known.entries)} units known; "
                  f"{len(told.facts['workloads'])} workloads; {len(told.peers)} relays")
            return 0
        logger.remove()
        logger.add(sys.stderr, level=chosen["--log-level"].upper(), backtrace=False, diagnose=False,
                   format="{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}")
        return serve(told)
    except DocoptExit as problem:
        print(problem, file=sys.stderr)
    except (BadStart, CannotListenError, ValueError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def network_fault(event: dict) -> None:
    """What the network library has to say: only what went wrong, as a line of ours."""
    if event["log_level"] >= LogLevel.warn:
        logger.error("network: {}", formatEvent(event) or event.get("log_failure"))


def reload(relay: Relay) -> None:
    """A file that can't be used changes nothing."""
    try:
        relay.assign(read_again(os.environ))
    except BadStart as problem:
        logger.error("configuration not taken: {}", " ".join(str(problem).split()))


def serve(told: Any) -> int:
    """Run one relay until SIGTERM or SIGINT; SIGUSR1 prints the counters, SIGHUP has the file read again."""
    from twisted.internet import reactor
    globalLogBeginner.beginLoggingTo([network_fault], redirectStandardIO=False)
    try:
        relay = Relay(reactor, told, Counters())
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload, relay))   # before any client
        relay.start()
    except (ArithmeticError, AttributeError, LookupError, TypeError) as problem:
        raise BadStart(f"the settings can't be used: {type(problem).__name__}: {problem}") from None

    def ended(_: None) -> None:
        if reactor.running:
            reactor.stop()

    def stop(*_: Any) -> None:
        reactor.callFromThread(lambda: relay.stop().addCallback(ended))

    def show(*_: Any) -> None:
        reactor.callFromThread(lambda: logger.info("counters {}", relay.counters.show()))

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    signal.signal(signal.SIGUSR1, show)
    reactor.run(installSignalHandlers=False)
    return 0
