"""What stand-ins observe: attempts, answers, and news, each with the span of time in which it may have happened.

The process of the stand-ins may be held up itself.  So an observation has the time of the event loop's last turn before
it as well; what is checked against a limit is the end of the span that is kinder to the relay.
"""

import asyncio
import time
from typing import NamedTuple

TICK_S = 0.002  # between two turns of the event loop, at the most, unless it is held up


class Span(NamedTuple):
    """Something happened between these two times, in seconds of the monotonic clock."""

    earliest: float
    latest: float


class Clock:
    """Tells in what span an event happened that the event loop handles now."""

    def __init__(self) -> None:
        self.last_turn = time.monotonic()
        self.task = asyncio.ensure_future(self.tick())

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.last_turn = time.monotonic()

    def span(self) -> Span:
        """From the loop's last turn to now."""
        return Span(self.last_turn, time.monotonic())

    def stop(self) -> None:
        self.task.cancel()


class Attempt(NamedTuple):
    """A query whose last byte has come to a unit's machine."""

    id: str
    request_class: str
    unit: int
    build: int
    told_s: float  # the time to wait that the query names
    began: Span  # its first byte came
    ended: Span  # its last byte came
    may_have_run: bool


class Request(NamedTuple):
    """A client's request."""

    id: str
    request_class: str
    sent: Span
    deadline_s: float


class Answer(NamedTuple):
    """The answer to a request; `lost`: the connection ended without one, or nothing came in time."""

    outcome: str
    at: Span
    is_right: bool


class Observations:
    """All that was observed in one run."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.requests: dict[str, Request] = {}
        self.answers: dict[str, Answer] = {}
        self.left: dict[str, Span] = {}  # when clients closed their connection before the answer
        self.drains: list[tuple[int, Span, float]] = []  # unit, when it was told, and until when it drained
        self.cap_ended: Span | None = None
        self.stopped: list[Span] = []  # when the relay stood still
