"""The end of a relay that was told to stop: it serves on for a moment, drains its clients, then closes everything."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.defer import Deferred

from ..choices.connection_lifetimes import ShutdownWatch, answer_deadline
from .clients import Clients
from .counters import Counters
from .kernel import accept_pending

STOP_GRACE_S = 0.5  # after a stop is requested, in which the relay still serves as before
DRAIN_CHECK_S = 0.05  # between checks for remaining clients


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
        self.answer_deadline = answer_deadline(relay.clock(), relay.client_deadlines())
        self.watch: ShutdownWatch | None = None  # whether clients remain, once the relay drains
        relay.reactor.callLater(STOP_GRACE_S, self.start_drain)

    def start_drain(self) -> None:
        """End idle connections, and the others once they are answered.

        The client listener stays open until no client is left, for clients whose query crossed the end of their
        connection and who connect again; other clients don't come any more.  Messages of other relays are still taken,
        since open invocations may need their answers.
        """
        self.relay.accept_clients()
        self.relay.clients.stop_sweeping()
        self.watch = ShutdownWatch(self.relay.clock(), self.relay.client_deadlines())
        self.check_drain()

    def check_drain(self) -> None:
        """Check for remaining clients every DRAIN_CHECK_S, and close everything after the last check.

        Each check accepts the connections that the kernel has already completed, so that they are served.
        """
        relay, now = self.relay, self.relay.clock()
        if now >= self.answer_deadline:
            self.forfeit_open_invocations()
        is_overdue = self.watch.is_overdue(now)
        if not is_overdue:
            accept_pending(relay.client_listener, lambda: relay.counters.counts["clients.connections"])
        relay.clients.close()
        is_over = self.watch.is_over(now, len(relay.clients.connections))
        if is_overdue:  # clients that never read their answers, or keep reconnecting, must not hold the relay for ever
            relay.clients.abort_stalled()
        if not is_over:
            relay.reactor.callLater(DRAIN_CHECK_S, self.check_drain)
            return
        relay.close()
        self.done.callback(None)

    def forfeit_open_invocations(self) -> None:
        """Answer those that were taken before the stop and are still open: the process may be killed from now on.

        Each may also hold back the answers to later queries of its connection.
        """
        for invocation in list(self.relay.serving.values()):
            if not invocation.is_over:
                self.relay.counters.add("clients.forfeited_at_stop")
                invocation.forfeit()
