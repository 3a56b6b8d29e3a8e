"""One relay in the foreground, from its start to its end."""

import os
import signal
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from ..choices.connection_lifetimes import REREAD_DELAYS_S
from ..net.connections import cancel
from ..net.counters import Counters
from ..net.relay import Relay
from ..net.relay_configuration import ConfigurationError, UnreadableConfiguration, read, reread
from .signals import SIGNALS


def run(chosen: dict[str, Any], environment: Mapping[str, str]) -> int:
    """`serve` and `check`; returns the exit code."""
    try:
        told = read(environment)
        document = operators(chosen["--document"], told.facts)
        if chosen["check"]:
            print(
                f"{told.name}: listens at {told.listen}; {len(told.known.entries)} units known; "
                f"{len(told.facts['workloads'])} workloads; {len(told.peers)} relays"
            )
            return 0
        logger.remove()
        logger.add(
            sys.stderr,
            level=chosen["--log-level"].upper(),
            backtrace=False,
            diagnose=False,
            format="{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}",
        )
        return serve(told, document)
    except (ConfigurationError, CannotListenError, ValueError, OSError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def network_fault(event: dict) -> None:
    """What the network library has to say: only what went wrong, as a line of ours."""
    if event["log_level"] >= LogLevel.warn:
        logger.error("network: {}", formatEvent(event) or event.get("log_failure"))


class Reloads:
    """The configuration's file, read again when that is asked for.  One that can't be used changes nothing; one that
    is half written is looked at again, for as long as the former addresses may still answer."""

    def __init__(self, reactor: Any, relay: Relay) -> None:
        self.reactor, self.relay, self.timer = reactor, relay, None

    def asked(self) -> None:
        cancel(self.timer)
        self.read(0)

    def read(self, tries: int) -> None:
        again = ""
        try:
            self.relay.reconfigure(reread(os.environ))
        except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError, ConfigurationError) as problem:
            if isinstance(problem, UnreadableConfiguration) and tries < len(REREAD_DELAYS_S):
                self.timer = self.reactor.callLater(REREAD_DELAYS_S[tries], self.read, tries + 1)
                again = f" (read again in {REREAD_DELAYS_S[tries]} s)"
            self.relay.counters.add("configuration.refused")
            logger.error("configuration not taken: {}{}", " ".join(str(problem).split()), again)


def operators(path: str, facts: dict[str, Any]) -> Any:
    """The operator's document, None where there is no file; its library is brought in only where there is one."""
    if not os.path.exists(path):
        return None
    from ..setup import document

    try:
        found = document.read(path)
        found.extra_stages(facts)  # whether it fits what the platform told
        return found
    except document.BadDocument as problem:
        raise ConfigurationError(f"{path}: {problem}" if path not in str(problem) else str(problem)) from None


def steady_clock() -> Callable[[], float]:
    """Seconds of a clock that never steps; one that counts the time in which a machine sleeps where the system has
    it."""
    try:
        boot = time.CLOCK_BOOTTIME
        time.clock_gettime(boot)
    except (AttributeError, OSError):
        return time.monotonic
    return lambda: time.clock_gettime(boot)


def serve(told: Any, document: Any = None) -> int:
    """Run one relay until SIGTERM or SIGINT; SIGUSR1 prints the counters, SIGHUP has the file read again."""
    from twisted.internet import reactor

    reactor.seconds = steady_clock()  # its timers too: a step of the wall clock must not fire or hold them
    globalLogBeginner.beginLoggingTo([network_fault], redirectStandardIO=False)

    def counted() -> None:
        relay.collect_choice_counts()
        logger.info("counters {}", relay.counters.show())

    def stop() -> None:
        if not relay.shutdown:  # a second signal asks for nothing more
            relay.stop().addCallback(lambda _: reactor.stop())

    try:
        relay = Relay(reactor, told, Counters(), document, time.time)
        acts = {
            signal.SIGHUP: Reloads(reactor, relay).asked,
            signal.SIGUSR1: counted,
            signal.SIGTERM: stop,
            signal.SIGINT: stop,
        }  # before any client: from then on an end is in order
        SIGNALS.act(acts, reactor.callFromThread)
        relay.start()
    except (ArithmeticError, AttributeError, LookupError, TypeError) as problem:
        raise ConfigurationError(f"the settings can't be used: {type(problem).__name__}: {problem}") from None
    reactor.run(installSignalHandlers=False)
    return 0
