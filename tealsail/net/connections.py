"""What connections that a relay makes have in common: an end with a code for its reason, and, where one
connection to an address is to stand always, making it anew."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..choices.pauses import Pauses
from .counters import Counters

CONNECT = 1.0  # seconds


class Ended(Protocol):
    """A connection that ends at once when asked to; nothing more of it is read then."""

    code = ""

    def end(self, code: str) -> None:
        if not self.code:
            self.code = code
            self.transport.abortConnection()

    def why(self, reason: Failure) -> str:
        return self.code or ("closed" if reason.check(ConnectionDone) else "broken")


class Kept:
    """One connection to an address, made anew after a pause that grows until something comes.  After a move
    the former connection serves on until the one to the new address is up."""

    def __init__(self, reactor: Any, address: str, counters: Counters, pauses: Pauses) -> None:
        self.reactor, self.address, self.counters, self.pauses = reactor, address, counters, pauses
        self.caller: Any = None  # the connection that counts, once it is up
        self.silence: Any = None  # the timer of what is waited for on it
        self.retry: Any = None  # the timer of the next try
        self.tries, self.trying = 0, False  # only the latest try counts, and whether it is under way
        self.stopped = False

    def protocol(self) -> Ended:
        raise NotImplementedError

    def joined(self, caller: Any) -> None:
        """The connection is up; it counts from now on."""
        raise NotImplementedError

    def outdated(self, caller: Any) -> None:
        """Another one counts from now on."""
        caller.end("moved")

    def start(self) -> None:
        if not self.stopped:
            cancel(self.retry)
            self.tries, self.trying = self.tries + 1, True
            host, port = self.address.rsplit(":", 1)
            endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=CONNECT)
            connectProtocol(endpoint, self.protocol()).addCallbacks(
                self.up, self.refused, callbackArgs=(self.tries,), errbackArgs=(self.tries,)
            )

    def up(self, caller: Any, number: int) -> None:
        if self.stopped or number != self.tries:  # there has been a move, or the end, meanwhile
            return caller.end("closing" if self.stopped else "moved")
        self.trying, former = False, self.caller
        if former:
            self.outdated(former)
        self.caller = caller
        self.joined(caller)

    def refused(self, reason: Failure, number: int) -> None:
        if number == self.tries:
            self.trying = False
            self.again("refused")

    def move(self, address: str) -> None:
        """From now on the other side is found there."""
        if address != self.address and not self.stopped:
            self.address = address
            self.pauses.reset()
            self.start()

    def anew(self) -> None:
        """What is known may be old: a new connection at once, and all of it asked for there."""
        self.pauses.reset()
        self.start()

    def expect(self, seconds: float) -> None:
        """Without a sign from the other side within that time, the connection ends."""
        self.quiet()
        self.silence = self.reactor.callLater(seconds, self.overdue)

    def overdue(self) -> None:
        if self.caller:
            self.caller.end("silent")

    def quiet(self) -> None:
        cancel(self.silence)

    def lost(self, caller: Any) -> None:
        if caller is self.caller:
            self.caller = None
            self.quiet()
            if not self.trying:
                self.again(caller.code or "closed")

    def again(self, code: str) -> None:
        cancel(self.retry)
        if not self.stopped:
            self.counters.add(f"kept.again.{code}")
            self.retry = self.reactor.callLater(self.wait(code), self.start)

    def wait(self, code: str) -> float:
        """Seconds until the next try after such an end."""
        return self.pauses.next()

    def stop(self) -> None:
        self.stopped = True
        self.quiet()
        cancel(self.retry)
        if self.caller:
            self.caller.end("closing")


def cancel(timer: Any) -> None:
    if timer and timer.active():
        timer.cancel()
