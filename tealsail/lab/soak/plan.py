"""What happens in one run of a soak, drawn from its seed."""

import random
from typing import NamedTuple

from .hostile_clients import CROWDS, KINDS
from .relay_process import Limits

KILL_AFTER_S = 3.7  # from SIGTERM to the earliest SIGKILL: a longest deadline of 3 s, and 0.7 s
LEAST_LIMITS = (Limits(32, 1024), Limits(32, 256), Limits(64, 1024), Limits(192, 1024), Limits(64, 256))
CROWD_SIZES = (100, 400, 800)


class Crowd(NamedTuple):
    """Hostile clients of one kind at one relay: from `after_s` on for `seconds`, `connections` at once."""

    kind: str
    relay: int
    after_s: float
    seconds: float
    connections: int


class Signals(NamedTuple):
    """A relay is ended and started again `times` times in a row.

    With `stops` it gets SIGTERM first, and SIGKILL at the earliest moment allowed; the front brings new connections
    for `new_connections_s` after SIGTERM.  It is down for `down_s`; the next end comes `between_s` after it is ready.
    """

    relay: int
    after_s: float
    times: int
    stops: bool
    down_s: float
    between_s: float
    new_connections_s: float


class Plan(NamedTuple):
    """One run."""

    seed: int
    limits: Limits
    relays: int = 1
    units: int = 14
    hung_units: int = 0  # of them, that take requests and never answer
    unit_latency_s: float = 0.02
    value_bytes: int = 40
    usual_clients: int = 8
    crowds: tuple[Crowd, ...] = ()
    signals: tuple[Signals, ...] = ()


def draw(seed: int) -> Plan:
    """The plan of a seed: every second one has a crowd, others one to three hostile connections; most have signals."""
    chance = random.Random(seed)
    relays = chance.choice((1, 2, 3))
    seconds = 6.0
    crowds = [
        Crowd(
            chance.choice(sorted(KINDS)),
            chance.randrange(relays),
            chance.uniform(0, 1.5),
            seconds - 2,
            1 + chance.randrange(3),
        )
        for _ in range(chance.choice((1, 2, 3)))
    ]
    if chance.random() < 0.5:
        crowds.append(
            Crowd(
                chance.choice(CROWDS),
                chance.randrange(relays),
                chance.uniform(0, 1),
                seconds - 2,
                chance.choice(CROWD_SIZES),
            )
        )
    signals = [
        Signals(
            chance.randrange(relays),
            chance.uniform(0.5, 2.5),
            chance.choice((1, 1, 2, 3)),
            chance.random() < 0.6,
            chance.choice((0.0, 0.3, 1.0)),
            chance.choice((0.0, 0.1, 1.0)),
            chance.uniform(0.2, 0.4),
        )
    ] * (chance.random() < 0.8)
    return Plan(
        seed,
        chance.choice(LEAST_LIMITS),
        relays,
        unit_latency_s=chance.choice((0.005, 0.05, 0.3, 1.0)),
        value_bytes=chance.choice((40, 40, 4000, 65_536)),
        usual_clients=chance.choice((4, 12, 24)),
        hung_units=chance.choice((0, 0, 1, 2)),
        crowds=tuple(crowds),
        signals=tuple(signals),
    )
