"""The network between relays and units and between relays: delays, cuts, and notes lost, late, doubled or replayed."""

from typing import Any, NamedTuple

from .random_draws import NOTES, uniform


class NetworkPaths(NamedTuple):
    """Delays of the network.  Times are tenths of a ms, one way."""

    near: int = 2  # within a zone
    far: int = 10  # to another zone
    handshake: int = 5  # added by a new connection, on top of its round trip
    note_least: int = 5  # notes between relays take from this
    note_most: int = 50  # to this
    note_loss: float = 0.0  # share of notes that are lost
    distances: dict[tuple[str, str], int] = {}  # by pair of zones, where they differ from `far`


class NoteFault(NamedTuple):
    """A fault of a share of all notes, until a time.  Times are tenths of a ms.

    `kind` is lost, late (by `far`), doubled, reordered (each note late by a random time up to `far`) or replayed (a
    second copy after `far`).
    """

    kind: str
    until: int
    part: float  # share of the notes
    far: int = 0


class Network:
    """Tells how long a message takes, or that it never arrives.  Times are tenths of a ms.

    `plain` and `restore` carry its faults to another process that plays a part of the same day.
    """

    def __init__(self, paths: NetworkPaths, relay_zones: list[str], seed: int) -> None:
        self.paths, self.zones, self.seed = paths, relay_zones, seed
        self.zone_cuts: dict[tuple[int, str], int] = {}  # relay and zone of units -> cut off until
        self.silent_units: dict[str, int] = {}  # unit -> nothing from it or to it until
        self.relay_cuts: dict[tuple[int, int], int] = {}  # sender and receiver -> notes are lost until
        self.service_cuts: dict[tuple[int, str], int] = {}  # relay and `list` or `platform` -> cut off until
        self.note_faults: list[NoteFault] = []
        self.notes = 0  # so far

    def plain(self) -> list[Any]:
        """All faults, as lists that JSON can hold."""
        return [
            [[*key, until] for key, until in cuts.items()]
            for cuts in (self.zone_cuts, self.relay_cuts, self.service_cuts)
        ] + [
            [[name, until] for name, until in self.silent_units.items()],
            [list(fault) for fault in self.note_faults],
        ]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all faults by what `plain` returned."""
        zone_cuts, relay_cuts, service_cuts, silent_units, note_faults = plain
        self.zone_cuts, self.relay_cuts, self.service_cuts = (
            {(first, second): until for first, second, until in cuts} for cuts in (zone_cuts, relay_cuts, service_cuts)
        )
        self.silent_units, self.note_faults = dict(silent_units), [NoteFault(*fault) for fault in note_faults]

    def delay(self, relay: int, zone: str) -> int:
        """From a relay to a unit of that zone, one way."""
        own = self.zones[relay]
        if own == zone:
            return self.paths.near
        return self.paths.distances.get((own, zone), self.paths.distances.get((zone, own), self.paths.far))

    def reaches(self, now: int, relay: int, unit: str, zone: str) -> bool:
        """Whether a relay and a unit reach each other."""
        return now >= self.silent_units.get(unit, 0) and now >= self.zone_cuts.get((relay, zone), 0)

    def reaches_service(self, now: int, relay: int, service: str) -> bool:
        """Whether a relay reaches the service `list` (discovery) or `platform`."""
        return now >= self.service_cuts.get((relay, service), 0)

    def note(self, now: int, sender: int, to: int) -> list[int]:
        """Sends a note from one relay to another; returns the delay of each copy that arrives, none if it is lost."""
        self.notes += 1
        if self.relay_cuts and now < self.relay_cuts.get((sender, to), 0):
            return []
        paths, draw = self.paths, uniform(self.seed, NOTES, self.notes, sender, to)
        loss = paths.note_loss
        if self.note_faults:
            self.note_faults = [fault for fault in self.note_faults if now < fault.until]
            loss = max([loss, *(fault.part for fault in self.note_faults if fault.kind == "lost")])
        if loss and uniform(self.seed, NOTES, self.notes, to, sender, 1) < loss:
            return []
        delays = [paths.note_least + int(draw * (paths.note_most - paths.note_least))]
        for index, fault in enumerate(self.note_faults, 2):
            if fault.kind == "lost" or uniform(self.seed, NOTES, self.notes, sender, to, index) >= fault.part:
                continue
            if fault.kind == "late":
                delays = [delay + fault.far for delay in delays]
            elif fault.kind == "reordered":
                delays = [
                    delay + int(uniform(self.seed, NOTES, self.notes, to, sender, index) * fault.far)
                    for delay in delays
                ]
            else:  # doubled, with `far` 0, or replayed
                delays.append(delays[0] + fault.far)
        return delays
