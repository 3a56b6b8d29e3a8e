"""What the decision module asks of the place it runs in, and nothing else.

A host owns the sockets or the wire.  It builds one `policy.Relay` for each instance, feeds it what
happens and carries out the calls below.  Times are whole tenths of a millisecond of one clock that
only goes forward; ids are whatever the host uses at its door.
"""

from typing import Protocol


class Host(Protocol):
    def send(self, invocation: int, unit: int, wait: int) -> None:
        """Start the invocation's next shot; `wait` is its time-out (0: until the client stops waiting)."""

    def cancel(self, invocation: int, shot: int) -> None:
        """Stop waiting for one shot."""

    def reject(self, invocation: int, come_back: int) -> None:
        """Final answer: not done, trying again is harmless (after `come_back`, 0: no advice)."""

    def forfeit(self, invocation: int) -> None:
        """Final answer: failed, nothing is promised."""

    def vote(self, build: int, stage: int, verdict: int) -> None:
        """Cast this relay's one vote: 1 on, 2 hold, 3 back, 0 none."""

    def send_note(self, relay: int, data: bytes) -> None:
        """Send at most 256 bytes to another relay; they may be lost."""

    def wake(self, at: int, token: int) -> None:
        """Call `Relay.on_wake(token)` at that time or soon after."""

    def log(self, text: str) -> None:
        """Write a line for on-call staff."""
