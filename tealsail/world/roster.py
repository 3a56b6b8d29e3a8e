"""The list of units, as each relay's agent has it: late, stale or silent."""

from typing import NamedTuple

from .random_draws import LIST, share


class Entry(NamedTuple):
    """One unit; `state`: open, draining or gone; `started` 0 for long ago."""

    name: str
    build: int
    state: str
    zone: str
    cell: int
    weight: float
    started: int


class Roster:
    """Keeps versions.  A change is known to a relay's agent some time after it happened, the same time for all
    changes of one round at one relay; while it is stale nothing new goes out, and what has piled up goes at its end."""

    ROUND = 1_000  # tenths of a ms: changes of so long go out together

    def __init__(self, least: int, most: int, relays: int, seed: int) -> None:
        self.entries: dict[str, Entry] = {}  # all that is not gone
        self.log: list[Entry] = []  # every change; its place + 1 is its version
        self.lag = [least + int(share(seed, LIST, relay) * (most - least)) for relay in range(relays)]
        self.told = [0] * relays  # the version that each relay's agent has
        self.stale_until = self.round_at = 0
        self.late_at: dict[int, int] = {}  # relay -> its agent stands still until

    def change(self, now: int, entry: Entry) -> int:
        """Returns when the round that tells of it goes out."""
        self.log.append(entry)
        if entry.state == "gone":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.round_at = max(self.stale_until, (now // self.ROUND + 1) * self.ROUND)
        return self.round_at

    def stale(self, now: int, span: int) -> int:
        """Nothing new for so long; returns its end, when a round is due."""
        self.stale_until = max(self.stale_until, now + span)
        return self.stale_until

    def stale_at(self, relay: int, until: int) -> None:
        """One relay's agent alone stands still: lists of different age at different relays."""
        self.late_at[relay] = max(until, self.late_at.get(relay, 0))

    def stands(self, now: int, relay: int) -> bool:
        return now < self.late_at.get(relay, 0)

    def news(self, relay: int, version: int) -> tuple[int, list[Entry]]:
        """What that relay's agent is told up to `version` beyond what it has, the last word on each unit; and the
        version that it has then."""
        since, self.told[relay] = self.told[relay], max(self.told[relay], version)
        last = {entry.name: entry for entry in self.log[since:version]}
        return self.told[relay], list(last.values())

    def whole(self, version: int) -> list[Entry]:
        """The list as it was at that version."""
        entries: dict[str, Entry] = {}
        for entry in self.log[:version]:
            entries[entry.name] = entry
        return [entry for entry in entries.values() if entry.state != "gone"]

    @property
    def version(self) -> int:
        return len(self.log)
