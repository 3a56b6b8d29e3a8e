"""What happens in one run, drawn from its seed."""

import random
from typing import Any, NamedTuple

from ..soak.relay_process import SETTINGS

SECONDS = 8.0  # of a run, until clients begin no more requests
SMALLEST_BUFFER, SMALL_BUFFER, LARGE_BUFFER = 1, 5_000, 32_768  # bytes, which the kernel doubles
MAX_VALUE_BYTES = 65_536  # the largest value of the protocol
DRAIN_GRACE_S = SETTINGS["rules"]["drainGrace"] / 1000
BUILD, TRIAL_BUILD = 41, 42


class Stop(NamedTuple):
    """A process stands still from `after_s` on, for `seconds`."""

    after_s: float
    seconds: float


class Drain(NamedTuple):
    """Discovery lists a unit as draining from `after_s` on, and as ready again `seconds` later."""

    unit: int
    after_s: float
    seconds: float


class Plan(NamedTuple):
    """One run.  Times are in seconds."""

    seed: int
    memory_s: float  # for which units remember keyed requests
    deadline_s: float  # of clients
    may_cancel: bool
    units: int
    trial_units: int  # of them, the last ones, which have a build on trial
    receive_buffer: int | None  # of the units' connections; None: the kernel's own
    clients: int
    large_share: float  # of requests, that write up to MAX_VALUE_BYTES
    leave_share: float  # of requests, whose clients leave early
    lost_share: float  # of attempts, whose answer is lost and whose connection is reset up to `memory_s` later
    pause_share: float  # of connections that are welcomed or probed, whose unit stops reading them then
    longest_pause_s: float
    unit_stops: tuple[tuple[int, Stop], ...]  # by unit: all of its connections
    relay_stops: tuple[Stop, ...]
    drains: tuple[Drain, ...]
    cap_ends_after_s: float  # the cap of the build on trial falls to 0

    def settings(self) -> dict[str, Any]:
        """The relay's settings."""
        given = dict(SETTINGS)
        given["requestClasses"] = [
            each | {"memorySpan": self.memory_s * 1000, "deadline": self.deadline_s * 1000}
            for each in SETTINGS["requestClasses"]
        ]
        given["limits"] = SETTINGS["limits"] | {"cancel": self.may_cancel}
        return given


def draw_stops(chance: random.Random, many: int, longest_s: float) -> tuple[Stop, ...]:
    """So many stops that do not overlap."""
    part = SECONDS / many
    return tuple(
        Stop(number * part + chance.uniform(0, part / 3), min(part / 2, chance.uniform(0.05, longest_s)))
        for number in range(many)
    )


def draw(seed: int) -> Plan:
    """The plan of a seed."""
    chance = random.Random(seed)
    units = chance.choice((6, 9, 12))
    standing = chance.sample(range(units), units // 3)
    return Plan(
        seed,
        memory_s=chance.choice((1.0, 1.5, 3.0)),
        deadline_s=chance.choice((1.5, 3.0, 5.0)),
        may_cancel=chance.random() < 0.5,
        units=units,
        trial_units=units // 3,
        receive_buffer=chance.choice((SMALLEST_BUFFER, SMALL_BUFFER, LARGE_BUFFER, None)),
        clients=chance.choice((6, 12)),
        large_share=chance.choice((0.3, 0.6, 1.0)),
        leave_share=chance.choice((0.05, 0.2)),
        lost_share=chance.choice((0.05, 0.2)),
        pause_share=chance.choice((0.02, 0.1, 0.3)),
        longest_pause_s=chance.choice((0.3, 1.0, 2.0)),
        unit_stops=tuple((unit, stop) for unit in standing for stop in draw_stops(chance, 2, 2.0)),
        relay_stops=draw_stops(chance, chance.choice((2, 4)), chance.choice((0.2, 1.5))),
        drains=tuple(
            Drain(unit, chance.uniform(0.5, SECONDS - 3), 2.5)
            for unit in chance.sample(range(units - units // 3), chance.choice((0, 2)))
        ),
        cap_ends_after_s=chance.uniform(2.0, SECONDS - 1),
    )
