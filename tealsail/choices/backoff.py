"""Backoff with jitter: how long a relay waits before it repeats a request that all relays of its fleet make.

Guards against a fleet that retries in step: 40 relays that asked together, and together again after the same delays,
asked for more than the list of units could answer at any one time, so none of them was ever answered.
"""

from ..parts import RandomGenerator

FIRST_RETRY_S = 0.1  # mean delay after a connection has ended
MAX_RETRY_S = 2.0  # longest mean delay after a connection has ended
FIRST_REQUEST_PER_RELAY_S = 0.1  # a fleet's first requests are spread over this time for each relay
REFUSED_PER_RELAY_S = 0.05  # for each relay of the fleet: first mean delay after a refusal for too many requests
MAX_REFUSED_PER_RELAY_S = 1.0  # for each relay of the fleet: longest mean delay after such refusals
DEFAULT_ASK_WITHIN_S = 10.0  # time within which a relay has to ask for the list, where the platform does not say
ASK_WITHIN_PART = 0.4  # of that time: the bound on a relay's mean delay
FIRST_LIST_WAIT_S = 0.25  # a relay that starts accepts no clients for so long while the list it asked for is on its way
AGENT_RETRY_PART = 0.25  # of the drain's grace: longest mean delay before a relay asks the agent of its machine again
MIN_AGENT_RETRY_S = 0.05  # the same at the least
MIN_JITTER = 0.1  # shortest delay, as a part of the mean delay
JITTER_WIDTH = 1.8  # from the shortest to the longest delay, in mean delays


class Backoff:
    """Random delays in seconds; their mean doubles with each delay until `reset`.

    `first` and `longest` bound the mean.  Each delay is drawn evenly from 0.1 to 1.9 times the mean, so two draws
    spread a fleet that began in step.  `limit` bounds what the other side may ask for.
    """

    def __init__(
        self,
        chance: RandomGenerator,
        first: float = FIRST_RETRY_S,
        longest: float = MAX_RETRY_S,
        limit: float = MAX_RETRY_S,
    ) -> None:
        self.chance, self.first, self.longest, self.limit = chance, first, longest, limit
        self.mean = first

    def next(self, least: float = 0.0) -> float:
        """The next delay.  `least` is the delay that the other side asked for, 0 for none: it is honoured up to
        `limit`, with a random delay of up to `longest` on top, which spreads the fleet here too."""
        delay = (MIN_JITTER + JITTER_WIDTH * self.chance.share()) * self.mean
        self.mean = min(self.longest, 2 * self.mean)
        return max(delay, min(least, self.limit) + self.chance.share() * self.longest) if least else delay

    def reset(self) -> None:
        self.mean = self.first


def agent_backoff(chance: RandomGenerator, is_pushed: bool, drain_grace: float) -> Backoff:
    """The backoff after a connection to discovery has ended or was silent.

    Where lists are pushed, discovery's agent is on the relay's own machine, and what it gets counts as known to the
    relay at once.  A draining unit may get shots for `drain_grace` seconds: the relay asks again within half of it.
    """
    if not is_pushed or not drain_grace:
        return Backoff(chance)
    longest = min(MAX_RETRY_S, max(MIN_AGENT_RETRY_S, AGENT_RETRY_PART * drain_grace))
    return Backoff(chance, min(FIRST_RETRY_S, longest), longest)


def fleet_backoff(chance: RandomGenerator, relays: int, within: float) -> Backoff:
    """The backoff after a refusal because the fleet asks too often.

    Delays grow with the number of relays, so the fleet's request rate stays the same whatever its size.  They are
    bounded, since a relay has to ask again within `within` seconds: after that it counts as having the list anyway.
    """
    limit = within * ASK_WITHIN_PART
    longest = min(max(MAX_RETRY_S, MAX_REFUSED_PER_RELAY_S * relays), limit)
    return Backoff(chance, min(max(FIRST_RETRY_S, REFUSED_PER_RELAY_S * relays), longest), longest, limit)


def initial_request_delay(
    chance: RandomGenerator, relays: int, within: float, on_request: bool, known: bool
) -> float | None:
    """Seconds until a relay that starts asks for the changes since the list that it was started with; None: it asks for
    the whole list at once.

    Where lists are sent on request only (`on_request`), each request is work for the list's server, and all relays that
    started together would ask together.
    """
    return (
        min(FIRST_REQUEST_PER_RELAY_S * relays, within * ASK_WITHIN_PART) * chance.share()
        if on_request and known
        else None
    )
