"""Clients: arrivals that do not wait for answers, repeats of their own, and when they stop waiting."""

import heapq
from typing import NamedTuple

from . import draws
from .random_draws import Gaps, Sorts, share

STREAM, TRY = 10**7, 10**12  # numbers: try * TRY + stream * STREAM + place in the stream
SECOND = 10_000


class Workload(NamedTuple):
    """Times are tenths of a ms."""

    name: str
    effect: str  # harmless, stamped or one-shot
    part: float  # of the arrivals
    promised: int
    abandon: int
    payoff: float


class Habits(NamedTuple):
    """What clients do.  Times are tenths of a ms."""

    rate: float = 100.0  # first tries a second, all relays together
    skew: float = 0.0  # relay i gets 1 / (i + 1) ** skew of it, in proportion
    keys: int = 1_000  # different keys of a customer
    most_repeats: int = 0
    repeat_after: int = 1_000  # before the first repeat; twice as long before each further one
    marks: bool = True  # repeats are marked as such
    hot: float = 1.0  # relay 0 gets so many times what it would get by the rest


def weights(relays: int, skew: float, hot: float) -> list[float]:
    """What each relay gets of all traffic, in proportion."""
    return [(hot if relay == 0 else 1.0) * (relay + 1) ** -skew for relay in range(relays)]


class Arrival(NamedTuple):
    """One try, as its client means to send it.  `first` is the number of its first try."""

    at: int
    number: int
    first: int
    intended: int  # of the first try
    relay: int
    workload: int
    customer: int
    key: str
    give_up: int  # the client stops waiting, for all of its tries

    @property
    def repeat(self) -> bool:
        return self.number != self.first


class Stream:
    """Poisson arrivals at one relay: all customers' usual traffic, or what one sends beyond it."""

    def __init__(self, number: int, relay: int, rate: float, start: int, end: int, customer: int, seed: int) -> None:
        self.number, self.relay, self.rate, self.end, self.customer = number, relay, rate / SECOND, end, customer
        self.gaps, self.place, self.at = Gaps(seed, draws.ARRIVALS, number), 0, float(start)

    def next(self) -> int | None:
        """When the next one is due; None once it has ended."""
        if self.rate <= 0:
            return None
        self.at += self.gaps.gap() / self.rate
        self.place += 1
        return int(self.at) if self.at < self.end else None


class Clients:
    """All clients of a day.  `next` gives first tries in order; `answered` what a client sends next, if it does."""

    def __init__(
        self, habits: Habits, workloads: list[Workload], customers: list[float], relays: int, span: int, seed: int
    ) -> None:
        self.habits, self.workloads, self.seed, self.span = habits, workloads, seed, span
        self.customers = customers or [1.0]
        self.which, self.whose = Sorts([each.part for each in workloads]), Sorts(self.customers)
        each = weights(relays, habits.skew, habits.hot)
        self.parts = [weight / sum(each) for weight in each]
        self.waiting: list[tuple[int, int, Stream]] = []
        self.streams = 0
        for relay, part in enumerate(self.parts):
            self.add(relay, habits.rate * part, 0, span, -1)

    def add(self, relay: int, rate: float, start: int, end: int, customer: int) -> None:
        stream = Stream(self.streams, relay, rate, start, min(end, self.span), customer, self.seed)
        self.streams += 1
        due = stream.next()
        if due is not None:
            heapq.heappush(self.waiting, (due, stream.number, stream))

    def surge(self, customer: int, times: float, start: int, end: int) -> None:
        """One customer (-1: all of them) sends so many times its usual rate; what it sends anyway stays as it is."""
        total = sum(self.customers)
        part = self.customers[customer] / total if customer >= 0 else 1.0
        for relay, weight in enumerate(self.parts):
            self.add(relay, self.habits.rate * weight * part * (times - 1), start, end, customer)

    @property
    def due(self) -> int | None:
        return self.waiting[0][0] if self.waiting else None

    def next(self) -> Arrival:
        """The next first try; call it only if `due` is not None."""
        at, _, stream = heapq.heappop(self.waiting)
        number = stream.number * STREAM + stream.place
        due = stream.next()
        if due is not None:
            heapq.heappush(self.waiting, (due, stream.number, stream))
        seed = self.seed
        workload = self.which.at(share(seed, draws.ARRIVALS, number, 1))
        customer = stream.customer if stream.customer >= 0 else self.whose.at(share(seed, draws.ARRIVALS, number, 2))
        key = str(int(share(seed, draws.ARRIVALS, number, 3) * self.habits.keys) * 100 + customer)
        return Arrival(
            at, number, number, at, stream.relay, workload, customer, key, at + self.workloads[workload].abandon
        )

    def answered(self, now: int, one: Arrival, answer: str, come_back: int = 0) -> Arrival | None:
        """The repeat that its client sends after this answer, or None.  What may have run and must not run twice is
        not repeated; a rejection is."""
        tries = one.number // TRY
        if answer not in ("rejected", "forfeited") or tries >= self.habits.most_repeats:
            return None
        if answer == "forfeited" and self.workloads[one.workload].effect != "harmless":
            return None
        wait = self.habits.repeat_after * (1 << tries) * (0.5 + share(self.seed, draws.RETRY, one.number))
        at = now + max(come_back, int(wait))
        if at >= one.give_up:
            return None
        return one._replace(at=at, number=one.number + TRY)
