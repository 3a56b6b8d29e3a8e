"""How long a relay waits before it tries again what all relays of its fleet try.

Guards against a fleet in step: what 40 relays asked for together, and together again after the same pauses, was more
than the list of units could answer at any one time, so nobody was ever answered.
"""

from ..parts import RandomGenerator

AGAIN, LONGEST_AGAIN = 0.1, 2.0  # seconds: after a connection's end, and at the most
FIRST, EACH, LONGEST_EACH = 0.1, 0.05, 1.0  # for each relay of the fleet: until a first question; after being turned
# away as one of too many, and then at the most
DEFAULT_ASK_WITHIN_S = 10.0  # seconds within which lists are asked for, where the platform does not say
PART = 0.4  # of the time within which a relay has to ask, for the mean of its pauses
FIRST_LIST_WAIT_S = 0.25  # seconds for which a relay that starts holds its door for the list it asked for
LEAST, WIDTH = 0.1, 1.8  # a pause is drawn evenly from this part of its bound, and so wide


class Backoff:
    """Pauses in seconds, each drawn by chance around a bound that doubles until `reset`.

    `first` and `longest` bound the mean in seconds; a try is followed by a pause of 0.1 to 1.9 times the bound, so
    that two draws part a fleet that began in step.
    """

    def __init__(
        self,
        chance: RandomGenerator,
        first: float = AGAIN,
        longest: float = LONGEST_AGAIN,
        limit: float = LONGEST_AGAIN,
    ) -> None:
        self.chance, self.first, self.longest, self.limit = chance, first, longest, limit
        self.bound = first

    def next(self, least: float = 0.0) -> float:
        """`least`: what the other side asked for; kept to as far as the limit goes, and parted too."""
        pause = (LEAST + WIDTH * self.chance.share()) * self.bound
        self.bound = min(self.longest, 2 * self.bound)
        return max(pause, min(least, self.limit) + self.chance.share() * self.longest) if least else pause

    def reset(self) -> None:
        self.bound = self.first


def fleet_backoff(chance: RandomGenerator, relays: int, within: float) -> Backoff:
    """After having been turned away for too much asked by all: what the fleet asks a second stays the same however many
    relays it has, but for the limit: a relay has to ask again `within` so many seconds, or counts as told all the
    same."""
    limit = within * PART
    longest = min(max(LONGEST_AGAIN, LONGEST_EACH * relays), limit)
    return Backoff(chance, min(max(AGAIN, EACH * relays), longest), longest, limit)


def initial_request_delay(
    chance: RandomGenerator, relays: int, within: float, on_request: bool, known: bool
) -> float | None:
    """Seconds until a relay that starts asks for what is new since the list it was told; None: for the whole list, at
    once.

    Where lists are asked for, each question is work for their keeper and all that started together would ask together.
    """
    return min(FIRST * relays, within * PART) * chance.share() if on_request and known else None
