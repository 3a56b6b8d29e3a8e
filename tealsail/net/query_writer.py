"""Writes a query to a unit, and holds back its end until the rules allow the query at the moment in which it arrives.

The rules count a query when its last byte has come to the unit.  What our kernel has taken may lie there for as long as
the unit's process stands still, and leaves without asking this process, which may stand still as well.  So the last
bytes are written only once the unit's machine has room for all that is left, and the rules are asked just before.
"""

from enum import Enum, auto
from typing import Any, Protocol

from ..choices.query_ends import ALWAYS_ROOM_BYTES, MAX_HELD_BYTES, may_tell, room_check_delay
from .connections import cancel
from .kernel import write_now
from .statements import UnitQuery
from .tcp_state import read_send_state


class QueryGate(Protocol):
    """Decides over one query while it is written."""

    def why_stop(self, waited_s: float) -> str | None:
        """The outcome with which the query is given up after a wait of so many seconds; None: it may wait on."""

    def is_informed(self) -> bool:
        """Whether all has been read that may forbid the query."""

    def may_send(self) -> bool:
        """Whether the query may be sent now; if so, it counts as sent."""

    def on_sent(self) -> None:
        """The last byte of the query has been sent."""

    def on_refused(self, outcome: str, has_begun: bool) -> None:
        """The query will not be sent; `has_begun`: a part of it has been."""


class Progress(Enum):
    """How far a query is written."""

    NOT_BEGUN = auto()
    START_WRITTEN = auto()  # to the transport, which may still hold a part of it
    END_HELD = auto()  # our kernel has all but the end
    COMPLETE = auto()


class QueryWriter:
    """Writes one query; `advance` begins."""

    __slots__ = (
        "reactor",
        "transport",
        "query",
        "gate",
        "tells_room",
        "progress",
        "start",
        "end",
        "waits_since",
        "told_at",
        "timer",
        "is_stopped",
    )

    def __init__(self, reactor: Any, transport: Any, query: UnitQuery, gate: QueryGate, tells_room: bool) -> None:
        """`tells_room`: whether the kernel tells how much room the unit's machine has; else there is always room."""
        self.reactor, self.transport, self.query, self.gate = reactor, transport, query, gate
        self.tells_room = tells_room
        self.progress = Progress.NOT_BEGUN
        self.start: tuple[bytes, ...] = ()  # parts that are to be written when the transport asks for them
        self.end: bytes | None = None  # what is left if it can't be made anew; None: `query.end` makes it
        self.waits_since = self.told_at = reactor.seconds()  # `told_at`: when the time to wait in the message was made
        self.timer: Any = None  # of the next check
        self.is_stopped = False  # nothing more is written

    @property
    def is_complete(self) -> bool:
        """Whether the last byte has been sent; before that the unit can't have run the query."""
        return self.progress == Progress.COMPLETE

    def advance(self) -> None:
        """Write all if the unit's machine has room for it, else all but the end; or check again later."""
        cancel(self.timer)
        if self.is_stopped:
            return
        if self.progress == Progress.START_WRITTEN:
            return self.wait()
        if self.has_room(self.rest_length()):
            self.send()
        else:
            self.wait()

    def rest_length(self) -> int:
        """How many bytes are still to be written, at the most."""
        return self.query.max_length() if self.progress == Progress.NOT_BEGUN else len(self.rest())

    def rest(self) -> bytes:
        """What is still to be written."""
        if self.progress == Progress.NOT_BEGUN:
            return self.query.whole()
        return self.query.end() if self.end is None else self.end

    def has_room(self, length: int) -> bool:
        """Whether the unit's machine takes in at once all that is left."""
        if not self.tells_room or (self.progress == Progress.NOT_BEGUN and length <= ALWAYS_ROOM_BYTES):
            return True
        state = read_send_state(self.transport)
        return state is None or length <= state.room()

    def wait(self) -> None:
        """There is no room for the rest yet: write the start, or check again later, or give up."""
        waited = self.reactor.seconds() - self.waits_since
        if not self.is_up_to_date():
            self.refuse("moot")
        elif outcome := self.gate.why_stop(waited):
            self.refuse(outcome)
        elif self.progress != Progress.NOT_BEGUN:
            self.check_later(room_check_delay(waited))
        elif self.gate.is_informed():
            self.write_start(self.query.start(), self.query.end())
        else:
            self.check_later(0)

    def is_up_to_date(self) -> bool:
        """Whether the time to wait that the message tells is made when it is sent, or a moment ago."""
        return self.end is None or may_tell(self.reactor.seconds() - self.told_at)

    def refuse(self, outcome: str) -> None:
        """The query will not be sent."""
        self.gate.on_refused(outcome, self.progress != Progress.NOT_BEGUN)

    def send(self) -> None:
        """Ask the gate, and write all that is left in the same call."""
        if not self.gate.is_informed():
            return self.check_later(0)
        if not self.is_up_to_date() or not self.gate.may_send():
            return self.refuse("moot")
        rest = self.rest()
        taken = write_now(self.transport, rest)
        if taken == len(rest):
            self.progress = Progress.COMPLETE
            self.gate.on_sent()
        else:
            self.hold(rest[taken:], taken)

    def hold(self, rest: bytes, taken: int) -> None:
        """Our kernel had no room for this part."""
        if taken:
            return self.write_start((), rest)
        self.check_later(room_check_delay(self.reactor.seconds() - self.waits_since))

    def write_start(self, start: tuple[bytes, ...], end: bytes) -> None:
        """Write all but the end, of which the time to wait is made anew if it can be held as it is."""
        self.progress, self.start = Progress.START_WRITTEN, start
        if not start or len(end) > MAX_HELD_BYTES:
            self.start, self.end, self.told_at = (*start, end[:-1]), end[-1:], self.reactor.seconds()
        self.check_later(room_check_delay(0))
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Called when the transport holds nothing: at once, and when our kernel has all of the start."""
        if self.start:
            start, self.start = self.start, ()
            self.transport.writeSequence(start)
        else:
            self.transport.unregisterProducer()
            self.progress = Progress.END_HELD
            self.advance()

    def stopProducing(self) -> None:
        """The connection has ended."""

    def check_later(self, seconds: float) -> None:
        self.timer = self.reactor.callLater(seconds, self.advance)

    def stop(self) -> None:
        """Write nothing more: the shot or the connection has ended."""
        self.is_stopped = True
        cancel(self.timer)
