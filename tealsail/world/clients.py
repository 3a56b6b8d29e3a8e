"""Clients: arrivals that do not wait for earlier answers (an open workload), their repeats and abandon times.

The number of a try is its count of repeats times NUMBERS_PER_TRY, plus the number of its stream times
NUMBERS_PER_STREAM, plus its index in the stream.
"""

import heapq
from typing import NamedTuple

from ..time_limits import SECOND
from . import random_draws
from .random_draws import PoissonGaps, WeightedChoice, uniform

NUMBERS_PER_STREAM = 10**7
NUMBERS_PER_TRY = 10**12


class Workload(NamedTuple):
    """One workload of the day's clients.  Times are tenths of a ms."""

    name: str
    effect: str  # harmless, stamped or one-shot
    weight: float  # share of the arrivals, relative to the other workloads
    promised: int  # answer time that was promised
    abandon: int  # the client stops waiting after this
    payoff: float  # of an answer in time


class ClientBehaviour(NamedTuple):
    """How all clients behave.  Times are tenths of a ms."""

    rate: float = 100.0  # first tries per second, over all relays
    skew: float = 0.0  # relay i gets traffic in proportion to 1 / (i + 1) ** skew
    keys: int = 1_000  # different keys per customer
    most_repeats: int = 0  # per invocation
    repeat_after: int = 1_000  # wait before the first repeat; doubles with each further one
    marks: bool = True  # repeats are marked as such
    hot: float = 1.0  # factor on what relay 0 gets by `skew`


def relay_weights(relays: int, skew: float, hot: float) -> list[float]:
    """The relays' weights in the distribution of traffic, not normalised."""
    return [(hot if relay == 0 else 1.0) * (relay + 1) ** -skew for relay in range(relays)]


class Arrival(NamedTuple):
    """One try, as its client means to send it.  Times are tenths of a ms."""

    at: int
    number: int
    first: int  # number of the first try of the same invocation
    intended: int  # time of the first try
    relay: int
    workload: int
    customer: int
    key: str
    deadline: int  # when the client stops waiting, the same for all tries

    @property
    def repeat(self) -> bool:
        """Whether this is not the first try."""
        return self.number != self.first


class Stream:
    """Poisson arrivals at one relay: the usual traffic of all customers, or additional traffic of a surge.

    `rate` is arrivals per second, kept per tenth of a ms; `customer` is -1 for a customer drawn for each arrival.
    """

    def __init__(self, number: int, relay: int, rate: float, start: int, end: int, customer: int, seed: int) -> None:
        self.number, self.relay, self.rate, self.end, self.customer = number, relay, rate / SECOND, end, customer
        self.gaps, self.index, self.at = PoissonGaps(seed, random_draws.ARRIVALS, number), 0, float(start)

    def next(self) -> int | None:
        """Moves on to the next arrival; returns its time, or None after the end."""
        if self.rate <= 0:
            return None
        self.at += self.gaps.gap() / self.rate
        self.index += 1
        return int(self.at) if self.at < self.end else None


class Clients:
    """All clients of a day: `next` returns first tries in the order of their times, `answered` the repeats.

    `customers` are the customers' shares of the traffic (empty: one customer); `span` is the length of the day in
    tenths of a ms.
    """

    def __init__(
        self,
        behaviour: ClientBehaviour,
        workloads: list[Workload],
        customers: list[float],
        relays: int,
        span: int,
        seed: int,
    ) -> None:
        self.behaviour, self.workloads, self.seed, self.span = behaviour, workloads, seed, span
        self.customers = customers or [1.0]
        self.workload_choice = WeightedChoice([workload.weight for workload in workloads])
        self.customer_choice = WeightedChoice(self.customers)
        weights = relay_weights(relays, behaviour.skew, behaviour.hot)
        self.relay_shares = [weight / sum(weights) for weight in weights]
        self.heap: list[tuple[int, int, Stream]] = []  # time of the next arrival, number of its stream, stream
        self.streams = 0  # so far
        for relay, share in enumerate(self.relay_shares):
            self.add_stream(relay, behaviour.rate * share, 0, span, -1)

    def add_stream(self, relay: int, rate: float, start: int, end: int, customer: int) -> None:
        stream = Stream(self.streams, relay, rate, start, min(end, self.span), customer, self.seed)
        self.streams += 1
        due = stream.next()
        if due is not None:
            heapq.heappush(self.heap, (due, stream.number, stream))

    def surge(self, customer: int, times: float, start: int, end: int) -> None:
        """One customer (-1: all) sends `times` its usual rate.  The usual arrivals stay as they are; the surplus comes
        from streams of its own."""
        total = sum(self.customers)
        customer_share = self.customers[customer] / total if customer >= 0 else 1.0
        for relay, share in enumerate(self.relay_shares):
            self.add_stream(relay, self.behaviour.rate * share * customer_share * (times - 1), start, end, customer)

    @property
    def due(self) -> int | None:
        """Time of the next first try; None when there are no more."""
        return self.heap[0][0] if self.heap else None

    def next(self) -> Arrival:
        """Returns the next first try; to be called only if `due` is not None."""
        at, _, stream = heapq.heappop(self.heap)
        number = stream.number * NUMBERS_PER_STREAM + stream.index
        due = stream.next()
        if due is not None:
            heapq.heappush(self.heap, (due, stream.number, stream))
        seed = self.seed
        workload = self.workload_choice.at(uniform(seed, random_draws.ARRIVALS, number, 1))
        customer = (
            stream.customer
            if stream.customer >= 0
            else self.customer_choice.at(uniform(seed, random_draws.ARRIVALS, number, 2))
        )
        key = str(int(uniform(seed, random_draws.ARRIVALS, number, 3) * self.behaviour.keys) * 100 + customer)
        return Arrival(
            at, number, number, at, stream.relay, workload, customer, key, at + self.workloads[workload].abandon
        )

    def answered(self, now: int, arrival: Arrival, answer: str, retry_after: int = 0) -> Arrival | None:
        """The repeat that the client sends after this answer, at the earliest after `retry_after`; or None.

        A rejected invocation is repeated.  A forfeited one may have run, so it is repeated only if that is harmless.
        """
        repeats = arrival.number // NUMBERS_PER_TRY
        if answer not in ("rejected", "forfeited") or repeats >= self.behaviour.most_repeats:
            return None
        if answer == "forfeited" and self.workloads[arrival.workload].effect != "harmless":
            return None
        wait = (
            self.behaviour.repeat_after
            * (1 << repeats)
            * (0.5 + uniform(self.seed, random_draws.RETRY, arrival.number))
        )
        at = now + max(retry_after, int(wait))
        if at >= arrival.deadline:
            return None
        return arrival._replace(at=at, number=arrival.number + NUMBERS_PER_TRY)
