"""The network between relays and units and between relays: delays, cuts, and notes that are lost, late, doubled or
old."""

from typing import Any, NamedTuple

from .random_draws import NOTES, share


class Paths(NamedTuple):
    """Times are tenths of a ms, one way."""

    near: int = 2  # inside a zone
    far: int = 10  # to another
    handshake: int = 5  # a new connection's more, on top of the way there and back
    note_least: int = 5  # notes between relays
    note_most: int = 50
    note_loss: float = 0.0
    distances: dict[tuple[str, str], int] = {}  # by zone pairs, where they differ from `far`


class Trouble(NamedTuple):
    """What befalls a part of all notes until a time: lost, late (by `far`), doubled, reordered (late by up to `far`,
    each by chance) or replayed (a copy again after `far`)."""

    kind: str
    until: int
    part: float
    far: int = 0


class Network:
    """Tells how long a message takes, or that it never comes.  `plain` and `take_over` carry what is wrong with it to
    another process that plays a part of the same day."""

    def __init__(self, paths: Paths, relay_zones: list[str], seed: int) -> None:
        self.paths, self.zones, self.seed = paths, relay_zones, seed
        self.cuts: dict[tuple[int, str], int] = {}  # relay and zone -> cut off until
        self.silent: dict[str, int] = {}  # unit -> nothing from or to it until
        self.apart: dict[tuple[int, int], int] = {}  # relay and relay: what one sends the other is lost until
        self.away: dict[tuple[int, str], int] = {}  # relay and `list` or `platform`: cut off until
        self.troubles: list[Trouble] = []
        self.notes = 0

    def plain(self) -> list[Any]:
        """All that is wrong, as lists."""
        return [[[*key, until] for key, until in each.items()] for each in (self.cuts, self.apart, self.away)] + [
            [[name, until] for name, until in self.silent.items()],
            [list(each) for each in self.troubles],
        ]

    def take_over(self, plain: list[Any]) -> None:
        cuts, apart, away, silent, troubles = plain
        self.cuts, self.apart, self.away = (
            {(first, second): until for first, second, until in each} for each in (cuts, apart, away)
        )
        self.silent, self.troubles = dict(silent), [Trouble(*each) for each in troubles]

    def way(self, relay: int, zone: str) -> int:
        """One way from a relay to a unit of that zone."""
        own = self.zones[relay]
        if own == zone:
            return self.paths.near
        return self.paths.distances.get((own, zone), self.paths.distances.get((zone, own), self.paths.far))

    def reaches(self, now: int, relay: int, unit: str, zone: str) -> bool:
        return now >= self.silent.get(unit, 0) and now >= self.cuts.get((relay, zone), 0)

    def has(self, now: int, relay: int, service: str) -> bool:
        """Whether a relay reaches the list or the platform."""
        return now >= self.away.get((relay, service), 0)

    def note(self, now: int, sender: int, to: int) -> list[int]:
        """How long each copy of a note takes; none: it is lost."""
        self.notes += 1
        if self.apart and now < self.apart.get((sender, to), 0):
            return []
        paths, draw = self.paths, share(self.seed, NOTES, self.notes, sender, to)
        loss = paths.note_loss
        if self.troubles:
            self.troubles = [each for each in self.troubles if now < each.until]
            loss = max([loss, *(each.part for each in self.troubles if each.kind == "lost")])
        if loss and share(self.seed, NOTES, self.notes, to, sender, 1) < loss:
            return []
        copies = [paths.note_least + int(draw * (paths.note_most - paths.note_least))]
        for place, each in enumerate(self.troubles, 2):
            if each.kind == "lost" or share(self.seed, NOTES, self.notes, sender, to, place) >= each.part:
                continue
            if each.kind == "late":
                copies = [wait + each.far for wait in copies]
            elif each.kind == "reordered":
                copies = [
                    wait + int(share(self.seed, NOTES, self.notes, to, sender, place) * each.far) for wait in copies
                ]
            else:
                copies.append(copies[0] + each.far)  # doubled, at once; replayed, later
        return copies
