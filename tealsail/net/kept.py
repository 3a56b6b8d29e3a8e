"""What connections that a relay makes have in common: an end with a code for its reason, and, where one
connection to an address is to stand always, making it anew."""
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from .counters import Counters

CONNECT, AGAIN, LONGEST_AGAIN = 1.0, 0.1, 2.0    # seconds: to connect, and pauses after an end


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
    """One connection to an address, made anew after a pause that doubles until something comes."""

    def __init__(self, reactor: Any, address: str, counters: Counters) -> None:
        self.reactor, self.address, self.counters = reactor, address, counters
        self.caller: Any = None                  # the connection, once it is up
        self.timer: Any = None                   # of the next try, or of what is waited for
        self.pause = AGAIN
        self.stopped = False

    def protocol(self) -> Ended:
        raise NotImplementedError

    def joined(self, caller: Any) -> None:
        raise NotImplementedError

    def start(self) -> None:
        if not self.stopped:
            host, port = self.address.rsplit(":", 1)
            endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=CONNECT)
            connectProtocol(endpoint, self.protocol()).addCallbacks(
                self.joined, lambda reason: self.again("refused"))

    def expect(self, seconds: float) -> None:
        """Without a sign from the other side within that time, the connection ends."""
        self.quiet()
        self.timer = self.reactor.callLater(seconds, self.overdue)

    def overdue(self) -> None:
        if self.caller:
            self.caller.end("silent")

    def quiet(self) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()

    def lost(self, caller: Any) -> None:
        if caller is self.caller:
            self.caller = None
            self.again(caller.code or "closed")

    def again(self, code: str) -> None:
        self.quiet()
        if not self.stopped:
            self.counters.add(f"kept.again.{code}")
            self.timer = self.reactor.callLater(self.pause, self.start)
            self.pause = min(LONGEST_AGAIN, 2 * self.pause)

    def stop(self) -> None:
        self.stopped = True
        self.quiet()
        if self.caller:
            self.caller.end("closing")
