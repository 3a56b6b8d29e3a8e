"""A relay's record of its own traffic (tealsail/record/), kept only where the operator's document asks for one."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from .. import __version__, settings
from ..record.lines import (
    VERSION,
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    ShotEnded,
    ShotSent,
    StageReceived,
)
from ..record.recorder import Recorder
from .answers import Answer, Forfeited, Rejected
from .discovery import Entry, unit_number

if TYPE_CHECKING:
    from ..facade import Facade
    from .counters import Counters
    from .platform import PlatformState
    from .relay_configuration import RelayConfiguration
    from .statements import Statement

BYTES_PER_MB = 1 << 20
RECORDED_STATES = {"ready": "open"}  # by discovery's name of a unit's state; the others keep their names


class RecordedRelay(Protocol):
    """What a record reads of its relay."""

    configuration: "RelayConfiguration"
    counters: "Counters"
    facade: "Facade"
    clock: Callable[[], int]  # tenths of a millisecond


class Record:
    """The record of one relay.  Its lines bear the relay's index, and times in tenths of a millisecond since its start.

    Raises OSError if the file can't be opened.
    """

    def __init__(self, relay: RecordedRelay, recording: Any) -> None:
        """`recording` is the `recording` table of the operator's document (tealsail/setup/document.py)."""
        relay_settings = relay.configuration.relay_settings
        self.relay, self.zero = relay, relay.clock()
        self.index = int(relay_settings.get("index", 0))
        self.units: dict[int, tuple[str, int]] = {}  # by a unit's number: its name and build
        head = Head(
            0,
            VERSION,
            "relay",
            relay.configuration.name,
            0,
            relay_settings,
            {"zero_unix_ms": self.zero // 10, "tealsail": __version__},
        )
        self.recorder = Recorder(
            recording.file, head, recording.most_mb * BYTES_PER_MB, recording.queue, recording.keys, relay.counters.add
        )

    def now(self) -> int:
        return self.relay.clock() - self.zero

    def invocation_taken(self, number: int, statement: "Statement", at: int) -> None:
        """`at`: when it came, by the relay's clock."""
        facade = self.relay.facade
        customer = facade.customer_index(statement.customer)
        at -= self.zero
        self.recorder.enqueue(
            InvocationTaken(
                self.now(),
                self.index,
                number,
                at,
                facade.workloads[statement.workload],
                customer,
                self.recorder.key(statement.key),
                at + settings.tenths(statement.wait),
                -1 if statement.repeat else number,
            )
        )

    def shot_sent(self, number: int, shot_number: int, unit: int, wait: int) -> None:
        """`wait`: the shot's time-out in tenths of a millisecond."""
        name, build = self.units.get(unit, ("", 0))
        self.recorder.enqueue(ShotSent(self.now(), self.index, number, shot_number, name, build, wait))

    def shot_ended(self, number: int, shot_number: int, outcome: str) -> None:
        self.recorder.enqueue(ShotEnded(self.now(), self.index, number, shot_number, outcome))

    def invocation_ended(self, number: int, answer: Answer | None) -> None:
        """`answer` None: the client left before it was answered."""
        recorded_answer = (
            "left"
            if answer is None
            else "rejected"
            if isinstance(answer, Rejected)
            else "forfeited"
            if isinstance(answer, Forfeited)
            else "served"
        )
        self.recorder.enqueue(InvocationEnded(self.now(), self.index, number, recorded_answer))

    def units_listed(self, entries: list[Entry]) -> None:
        for entry in entries:
            number = unit_number(entry.id)
            if entry.state == "gone":
                self.units.pop(number, None)
            else:
                self.units[number] = entry.id, entry.build
            started = max(0, settings.tenths(entry.started_ms) - self.zero) if entry.started_ms else 0
            self.recorder.enqueue(
                EntryReceived(
                    self.now(),
                    self.index,
                    entry.id,
                    entry.build,
                    RECORDED_STATES.get(entry.state, entry.state),
                    started,
                )
            )

    def rollout_changed(self, state: "PlatformState") -> None:
        self.recorder.enqueue(StageReceived(self.now(), self.index, state.build, state.stage, state.phase, state.cap))

    def close(self) -> None:
        """Write what is queued and close the file."""
        self.recorder.close()
        if self.recorder.problem:
            logger.warning("record: {}", self.recorder.problem)
