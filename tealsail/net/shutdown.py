"""The end of a relay that was told to stop: it serves on for a moment, drains its clients, then closes everything."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.defer import Deferred

from ..choices.connection_lifetimes import ShutdownWatch, answer_deadline
from .clients import Clients
from .counters import Counters
from .kernel import accept_pending, close_listener

STOP_GRACE_S = 0.5  # after a stop is requested, in which the relay still serves as before


class OpenInvocation(Protocol):
    """One invocation that a relay has taken."""

    is_over: bool  # answered, or the client has left

    def forfeit(self) -> None:
        """Answer the client at once."""


class StoppingRelay(Protocol):
    """What a shutdown uses of its relay."""

    reactor: Any
    clock: Callable[[], int]  # tenths of a millisecond
    counters: Counters
    clients: Clients
    client_listener: Any
    serving: dict[int, OpenInvocation]

    def client_deadlines(self) -> list[int]:
        """How long the clients of each workload wait at the most, in tenths of a millisecond."""

    def accept_clients(self) -> None:
        """Accept clients from now on if they were held in the kernel."""

    def close(self) -> None:
        """Close all that is open."""


class Shutdown:
    """One relay's shutdown, which begins with this object; `done` fires when all is answered and closed.

    All that the relay has taken is answered by `answer_deadline`, in tenths of a millisecond of its clock.
    """

    def __init__(self, relay: StoppingRelay) -> None:
        logger.info("stopping: {} open invocations", len(relay.serving))
        self.relay = relay
        self.done: Deferred[None] = Deferred()
        stopped_at = relay.clock()
        self.answer_deadline = answer_deadline(stopped_at, relay.client_deadlines())
        self.watch = ShutdownWatch(stopped_at, relay.client_deadlines())
        relay.reactor.callLater(STOP_GRACE_S, self.start_drain)

    def start_drain(self) -> None:
        """End idle connections, and the others once they are answered.

        The client listener stays open until no client is left, or shortly before the process may be killed, for clients
        whose query crossed the end of their connection and who connect again; other clients don't come any more.
        Messages of other relays are still taken, since open invocations may need their answers.
        """
        self.relay.accept_clients()
        self.relay.clients.stop_sweeping()
        self.check_drain()

    def check_drain(self) -> None:
        """Check for remaining clients, and close everything after the last check.

        Each check accepts the connections that the kernel has already completed, so that they are served.
        """
        relay, now = self.relay, self.relay.clock()
        if now >= self.answer_deadline:
            self.forfeit_open_invocations()
        self.accept_or_close_listener(now)
        relay.clients.close()
        if now >= self.watch.ends_idle_at():  # clients that never read their answers must not hold the relay for ever
            relay.clients.end_without_query()
        if self.watch.is_over(now, len(relay.clients.connections)):
            relay.clients.abort_all()
            relay.close()
            self.done.callback(None)
            return
        relay.reactor.callLater(self.watch.check_delay(now), self.check_drain)

    def accept_or_close_listener(self, now: int) -> None:
        """Accept what is in the backlog, and close the client listener behind it if no more clients may come."""
        relay = self.relay
        if self.watch.closed_at is not None:
            return
        accept_pending(relay.client_listener, relay.clients.accepted)
        if self.watch.may_accept(now, len(relay.clients.connections)):
            return
        if close_listener(relay.client_listener, relay.clients.accepted, relay.clients.room):
            self.watch.listener_closed(now)

    def forfeit_open_invocations(self) -> None:
        """Answer those that were taken before the stop and are still open: the process may be killed from now on.

        Each may also hold back the answers to later queries of its connection.
        """
        for invocation in list(self.relay.serving.values()):
            if not invocation.is_over:
                self.relay.counters.add("clients.forfeited_at_stop")
                invocation.forfeit()
