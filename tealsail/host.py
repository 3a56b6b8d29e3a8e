"""What the decision module asks of the place it runs in, and nothing else.

A host owns the sockets or the wire.  It builds one `policy.Relay` for each instance, hands it each event, and carries
out the calls below.  Times are whole tenths of a millisecond of one clock that only goes forward.  Numbers of units and
invocations are whatever the host uses towards the decision module.
"""

from typing import Protocol


class Host(Protocol):
    """The calls that a `policy.Relay` makes while it handles an event."""

    def send(self, invocation: int, unit: int, wait: int) -> None:
        """Send the invocation's next shot; `wait` is its time-out (0: until the client stops waiting)."""

    def cancel(self, invocation: int, shot: int) -> None:
        """Stop waiting for one shot; shots of an invocation are numbered from 0."""

    def reject(self, invocation: int, come_back: int) -> None:
        """Final answer: not done, trying again is harmless (after `come_back`; 0: no advice)."""

    def forfeit(self, invocation: int) -> None:
        """Final answer: failed, and nothing is promised about its effect."""

    def vote(self, build: int, stage: int, verdict: int) -> None:
        """Cast this relay's one vote: 1 on, 2 hold, 3 back, 0 none."""

    def send_note(self, relay: int, data: bytes) -> None:
        """Send a note of at most 256 bytes to another relay, or to all of them (-1); it may be lost."""

    def wake(self, at: int, token: int) -> None:
        """Call `Relay.on_wake(token)` at that time or soon after."""

    def log(self, text: str) -> None:
        """Write a line for on-call staff."""
