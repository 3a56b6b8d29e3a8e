"""Base classes of the connections that a relay opens: to units, to discovery and to the platform.

`OutgoingConnection` is one connection that ends with a code for the reason; `PersistentConnection` keeps one connection
to an address and opens it again whenever it ends.
"""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..choices.backoff import Backoff
from .counters import Counters
from .kernel import has_unread_bytes

CONNECT_TIMEOUT_S = 1.0


class OutgoingConnection(Protocol):
    """A connection that `end` aborts at once; what comes after that is not read any more."""

    code = ""  # the reason for which this side ended it; empty until then
    when_connected: Deferred | None = None  # fires when it is up

    def makeConnection(self, transport: Any) -> None:
        super().makeConnection(transport)
        when_connected, self.when_connected = self.when_connected, None
        if when_connected:
            when_connected.callback(self)

    def end(self, code: str) -> None:
        if not self.code:
            self.code = code
            self.transport.abortConnection()

    def why(self, reason: Failure) -> str:
        """The code for the end of the connection: ours if this side ended it, else `closed` or `broken`."""
        return self.code or ("closed" if reason.check(ConnectionDone) else "broken")


class OutgoingFactory(ClientFactory):
    """Makes one connection; `connect` is the way to use it."""

    noisy = False

    def __init__(self, connection: OutgoingConnection) -> None:
        self.connection = connection

    def buildProtocol(self, address: Any) -> OutgoingConnection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        when_connected, self.connection.when_connected = self.connection.when_connected, None
        if when_connected:
            when_connected.errback(reason)


def connect(reactor: Any, address: str, connection: OutgoingConnection, timeout: float) -> Deferred:
    """Connect to `host:port` within `timeout` seconds; fires with the connection once it is up.

    It fails as Twisted's connectTCP does.  To cancel the Deferred stops the attempt.
    """
    host, port = address.rsplit(":", 1)
    when_connected: Deferred = Deferred(lambda _: connector.stopConnecting())
    connection.when_connected = when_connected
    connector = reactor.connectTCP(host, int(port), OutgoingFactory(connection), timeout)
    return when_connected


class PersistentConnection:
    """One connection to an address, opened again after it ends.

    The pause before the next attempt grows until the other side answers.  After a change of the address the former
    connection stays in use until the one to the new address is up.
    """

    def __init__(self, reactor: Any, address: str, counters: Counters, backoff: Backoff) -> None:
        self.reactor, self.address, self.counters, self.backoff = reactor, address, counters, backoff
        self.connection: Any = None  # the one in use, once it is up
        self.silence_timer: Any = None  # ends the connection if nothing comes over it
        self.retry_timer: Any = None  # starts the next attempt to connect
        self.attempt = 0  # number of the latest attempt to connect; the results of earlier ones are ignored
        self.is_connecting = False  # whether the latest attempt is still under way
        self.stopped = False

    def new_connection(self) -> OutgoingConnection:
        """The protocol object for the next attempt to connect."""
        raise NotImplementedError

    def start_session(self, connection: Any) -> None:
        """Called when a connection is up and has become the one in use."""
        raise NotImplementedError

    def retire(self, connection: Any) -> None:
        """Called when another connection has replaced this one."""
        connection.end("moved")

    def start(self) -> None:
        """Begin a new attempt to connect, unless stopped."""
        if not self.stopped:
            cancel(self.retry_timer)
            self.attempt, self.is_connecting = self.attempt + 1, True
            connect(self.reactor, self.address, self.new_connection(), CONNECT_TIMEOUT_S).addCallbacks(
                self.on_connected, self.on_refused, callbackArgs=(self.attempt,), errbackArgs=(self.attempt,)
            )

    def on_connected(self, connection: Any, attempt: int) -> None:
        if self.stopped or attempt != self.attempt:  # stopped, or a newer attempt began meanwhile
            return connection.end("closing" if self.stopped else "moved")
        self.is_connecting, former = False, self.connection
        if former:
            self.retire(former)
        self.connection = connection
        self.start_session(connection)

    def on_refused(self, reason: Failure, attempt: int) -> None:
        if attempt == self.attempt:
            self.is_connecting = False
            self.schedule_retry("refused")

    def move(self, address: str) -> None:
        """Connect to another address from now on."""
        if address != self.address and not self.stopped:
            self.address = address
            self.backoff.reset()
            self.start()

    def reconnect(self) -> None:
        """Open a new connection at once, because what is known from the present one may be out of date."""
        self.backoff.reset()
        self.start()

    def has_unread_data(self) -> bool:
        """Whether the kernel holds data for the connection in use."""
        connection = self.connection
        return connection is not None and not connection.code and has_unread_bytes(connection.transport)

    def expect_data_within(self, seconds: float) -> None:
        """End the connection unless this is called again, or the expectation ended, within that time."""
        self.stop_expecting_data()
        self.silence_timer = self.reactor.callLater(seconds, self.on_silence)

    def on_silence(self) -> None:
        if self.connection:
            self.connection.end("silent")

    def stop_expecting_data(self) -> None:
        cancel(self.silence_timer)

    def on_disconnect(self, connection: Any) -> None:
        """To be called by each connection when it has ended."""
        if connection is self.connection:
            self.connection = None
            self.stop_expecting_data()
            if not self.is_connecting:
                self.schedule_retry(connection.code or "closed")

    def schedule_retry(self, code: str) -> None:
        cancel(self.retry_timer)
        if not self.stopped:
            self.counters.add(f"kept.again.{code}")
            self.retry_timer = self.reactor.callLater(self.retry_delay(code), self.start)

    def retry_delay(self, code: str) -> float:
        """Seconds until the next attempt, after a connection that ended with this code."""
        return self.backoff.next()

    def stop(self) -> None:
        self.stopped = True
        self.stop_expecting_data()
        cancel(self.retry_timer)
        if self.connection:
            self.connection.end("closing")


def cancel(timer: Any) -> None:
    """Cancel a timer, if there is one and it has not fired yet."""
    if timer and timer.active():
        timer.cancel()
