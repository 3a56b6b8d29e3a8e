"""The network between relays and units and between relays: delays, cuts, and notes that are lost."""
from typing import NamedTuple

from .draws import NOTES, share


class Paths(NamedTuple):
    """Times are tenths of a ms, one way."""
    near: int = 2                                # inside a zone
    far: int = 10                                # to another
    handshake: int = 5                           # a new connection's more, on top of the way there and back
    note_least: int = 5                          # notes between relays
    note_most: int = 50
    note_loss: float = 0.0
    distances: dict[tuple[str, str], int] = {}   # by zone pairs, where they differ from `far`


class Network:
    """Tells how long a message takes, or that it never comes."""

    def __init__(self, paths: Paths, relay_zones: list[str], seed: int) -> None:
        self.paths, self.zones, self.seed = paths, relay_zones, seed
        self.cuts: dict[tuple[int, str], int] = {}               # relay and zone -> cut off until
        self.silent: dict[str, int] = {}         # unit -> nothing from or to it until
        self.lost_until, self.lost_part = 0, 0.0
        self.notes = 0

    def way(self, relay: int, zone: str) -> int:
        """One way from a relay to a unit of that zone."""
        own = self.zones[relay]
        if own == zone:
            return self.paths.near
        return self.paths.distances.get((own, zone), self.paths.distances.get((zone, own), self.paths.far))

    def reaches(self, now: int, relay: int, unit: str, zone: str) -> bool:
        return now >= self.silent.get(unit, 0) and now >= self.cuts.get((relay, zone), 0)

    def note(self, now: int, sender: int, to: int) -> int:
        """How long a note takes, -1 if it is lost."""
        self.notes += 1
        paths, draw = self.paths, share(self.seed, NOTES, self.notes, sender, to)
        loss = max(paths.note_loss, self.lost_part if now < self.lost_until else 0.0)
        if share(self.seed, NOTES, self.notes, to, sender, 1) < loss:
            return -1
        return paths.note_least + int(draw * (paths.note_most - paths.note_least))
