"""What a relay does, as lines of its record (tealsail/record/); only where the operator's document asks for one."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from .. import __version__, settings
from ..record.lines import VERSION, Came, End, Head, News, Shot, Take, Told
from ..record.recorder import Recorder
from .clients import Answer, Forfeited, Rejected
from .discovery import Entry, number_of

if TYPE_CHECKING:
    from ..facade import Facade
    from .counters import Counters
    from .platform import State
    from .relay_configuration import Assignment
    from .statements import Statement

MB = 1 << 20
STATES = {"ready": "open"}  # other states keep their names


class Recorded(Protocol):
    """What a record reads of the relay that it is kept for."""

    told: "Assignment"
    counters: "Counters"
    facade: "Facade"
    clock: Callable[[], int]  # tenths of a millisecond


class Record:
    """One relay's record: its own number throughout, times from its start."""

    def __init__(self, relay: Recorded, wanted: Any) -> None:
        facts = relay.told.facts
        self.relay, self.zero = relay, relay.clock()
        self.own = int(facts.get("index", 0))
        self.names: dict[int, tuple[str, int]] = {}  # unit -> its name and build
        head = Head(
            0, VERSION, "relay", relay.told.name, 0, facts, {"zero_unix_ms": self.zero // 10, "tealsail": __version__}
        )
        self.recorder = Recorder(wanted.file, head, wanted.most_mb * MB, wanted.queue, wanted.keys, relay.counters.add)

    def now(self) -> int:
        return self.relay.clock() - self.zero

    def taken(self, number: int, statement: "Statement", at: int) -> None:
        facade = self.relay.facade
        customer = facade.place(statement.customer)
        at -= self.zero
        self.recorder.note(
            Take(
                self.now(),
                self.own,
                number,
                at,
                facade.workloads[statement.workload],
                customer,
                self.recorder.key(statement.key),
                at + settings.tenths(statement.wait),
                -1 if statement.repeat else number,
            )
        )

    def shot(self, number: int, place: int, unit: int, wait: int) -> None:
        name, build = self.names.get(unit, ("", 0))
        self.recorder.note(Shot(self.now(), self.own, number, place, name, build, wait))

    def came(self, number: int, place: int, outcome: str) -> None:
        self.recorder.note(Came(self.now(), self.own, number, place, outcome))

    def ended(self, number: int, answer: Answer | None) -> None:
        """None: its client has gone."""
        word = (
            "left"
            if answer is None
            else "rejected"
            if isinstance(answer, Rejected)
            else "forfeited"
            if isinstance(answer, Forfeited)
            else "served"
        )
        self.recorder.note(End(self.now(), self.own, number, word))

    def listed(self, entries: list[Entry]) -> None:
        for entry in entries:
            number = number_of(entry.id)
            if entry.state == "gone":
                self.names.pop(number, None)
            else:
                self.names[number] = entry.id, entry.build
            started = max(0, settings.tenths(entry.started) - self.zero) if entry.started else 0
            self.recorder.note(
                Told(self.now(), self.own, entry.id, entry.build, STATES.get(entry.state, entry.state), started)
            )

    def stood(self, state: "State") -> None:
        self.recorder.note(News(self.now(), self.own, state.build, state.stage, state.phase, state.cap))

    def close(self) -> None:
        self.recorder.close()
        if self.recorder.problem:
            logger.warning("record: {}", self.recorder.problem)
