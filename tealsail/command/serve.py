"""The commands `serve` and `check`: run one relay in the foreground, or only read its configuration."""

import os
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from ..choices.connection_lifetimes import REREAD_DELAYS_S
from ..net.connections import cancel
from ..net.counters import Counters
from ..net.process_memory import resident_bytes
from ..net.relay import Relay
from ..net.relay_configuration import ConfigurationError, UnreadableConfiguration, read, reread
from .process_memory import keep_from_collector
from .process_start import PROCESS_STARTED_S, steady_clock
from .signals import SIGNALS


def run(arguments: dict[str, Any], environment: Mapping[str, str]) -> int:
    """Carries out `serve` or `check` and returns the exit code: 0, or 2 for a configuration that can't be used."""
    try:
        configuration = read(environment)
        document = read_document(arguments["--document"], configuration.relay_settings)
        if arguments["check"]:
            print(
                f"{configuration.name}: listens at {configuration.listen}; "
                f"{len(configuration.known.entries)} units known; "
                f"{len(configuration.relay_settings['workloads'])} workloads; {len(configuration.peers)} relays"
            )
            return 0
        logger.remove()
        logger.add(
            sys.stderr,
            level=arguments["--log-level"].upper(),
            backtrace=False,
            diagnose=False,
            format="{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}",
        )
        return serve(configuration, document)
    except (ConfigurationError, CannotListenError, ValueError, OSError) as problem:
        print(f"tealsail: {' '.join(str(problem).split())}", file=sys.stderr)
    return 2


def log_network_error(event: dict) -> None:
    """Observer of Twisted's log: writes its warnings and errors to the relay's log, and drops the rest."""
    if event["log_level"] >= LogLevel.warn:
        logger.error("network: {}", formatEvent(event) or event.get("log_failure"))


class ConfigurationReloader:
    """Reads the configuration file again on request.

    A file that can't be used changes nothing.  One that is half written is read again after the delays
    of REREAD_DELAYS_S, for as long as the former addresses may still answer.
    """

    def __init__(self, reactor: Any, relay: Relay) -> None:
        self.reactor, self.relay, self.timer = reactor, relay, None

    def start(self) -> None:
        """Begins a reload; one that waits for its next attempt is dropped."""
        cancel(self.timer)
        self.reload(0)

    def reload(self, attempts: int) -> None:
        """Reads the file and reconfigures the relay with it; `attempts` were made before."""
        retry_note = ""
        try:
            self.relay.reconfigure(reread(os.environ))
        except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError, ConfigurationError) as problem:
            if isinstance(problem, UnreadableConfiguration) and attempts < len(REREAD_DELAYS_S):
                self.timer = self.reactor.callLater(REREAD_DELAYS_S[attempts], self.reload, attempts + 1)
                retry_note = f" (read again in {REREAD_DELAYS_S[attempts]} s)"
            self.relay.counters.add("configuration.refused")
            logger.error("configuration not taken: {}{}", " ".join(str(problem).split()), retry_note)


def read_document(path: str, relay_settings: dict[str, Any]) -> Any:
    """Reads the operator's document, and returns None if there is no file.

    The module for documents is imported only if there is one.  Raises ConfigurationError for a document that can't be
    used, or does not fit the platform's settings `relay_settings`.
    """
    if not os.path.exists(path):
        return None
    from ..setup import document

    try:
        parsed = document.read(path)
        parsed.extra_stages(relay_settings)  # raises if the document does not fit the settings
        return parsed
    except document.InvalidDocument as problem:
        raise ConfigurationError(f"{path}: {problem}" if path not in str(problem) else str(problem)) from None


def serve(configuration: Any, document: Any = None) -> int:
    """Runs one relay until SIGTERM or SIGINT; SIGUSR1 logs the counters, SIGHUP reads the configuration file again.

    Raises ConfigurationError for settings that the relay can't use.
    """
    from twisted.internet import reactor

    reactor.seconds = steady_clock()  # its timers too, so that a step of the wall clock neither fires nor delays them
    globalLogBeginner.beginLoggingTo([log_network_error], redirectStandardIO=False)

    def log_counters() -> None:
        relay.collect_choice_counts()
        logger.info("counters {}", relay.counters.show())

    def stop() -> None:
        if not relay.shutdown:  # a second signal changes nothing
            relay.stop().addCallback(lambda _: reactor.stop())

    try:
        relay = Relay(reactor, configuration, Counters(), document, time.time, resident_bytes, PROCESS_STARTED_S)
        # Set before the relay accepts clients, so that it ends in an orderly way from then on.
        handlers = {
            signal.SIGHUP: ConfigurationReloader(reactor, relay).start,
            signal.SIGUSR1: log_counters,
            signal.SIGTERM: stop,
            signal.SIGINT: stop,
        }
        SIGNALS.set_handlers(handlers, reactor.callFromThread)
        relay.start()
    except (ArithmeticError, AttributeError, LookupError, TypeError) as problem:
        raise ConfigurationError(f"the settings can't be used: {type(problem).__name__}: {problem}") from None
    keep_from_collector()
    reactor.run(installSignalHandlers=False)
    return 0
