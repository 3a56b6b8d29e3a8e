"""The list of units, as the discovery agent of each relay has it: delayed, stale or unreachable."""

from typing import NamedTuple

from .random_draws import DELAYS, uniform


class Entry(NamedTuple):
    """One unit; `state` is open, draining or gone; `started` is tenths of a ms, 0 for a unit older than the day."""

    name: str
    build: int
    state: str
    zone: str
    cell: int
    weight: float
    started: int


class UnitList:
    """Versions of the list, and the version that each relay knows.  Times are tenths of a ms.

    Changes are published in rounds.  A relay's agent learns of a round after a delay, which is the same for all rounds
    of that relay.  While the list is frozen nothing is published; at the end all that has accumulated is.
    """

    ROUND = 1_000  # tenths of a ms between rounds

    def __init__(self, least_delay: int, most_delay: int, relays: int, seed: int) -> None:
        self.entries: dict[str, Entry] = {}  # by name, without those that are gone
        self.log: list[Entry] = []  # all changes; version n is the state after the first n
        self.lag = [
            least_delay + int(uniform(seed, DELAYS, relay) * (most_delay - least_delay)) for relay in range(relays)
        ]  # tenths of a ms, by relay
        self.told = [0] * relays  # the version that each relay's agent has
        self.frozen_until = self.round_at = 0
        self.relay_frozen_until: dict[int, int] = {}  # relay -> end of its own agent's freeze

    def change(self, now: int, entry: Entry) -> int:
        """Logs a change; returns when the round that publishes it is due."""
        self.log.append(entry)
        if entry.state == "gone":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.round_at = max(self.frozen_until, (now // self.ROUND + 1) * self.ROUND)
        return self.round_at

    def freeze(self, now: int, span: int) -> int:
        """Publishes nothing for `span`; returns the end, when a round is due."""
        self.frozen_until = max(self.frozen_until, now + span)
        return self.frozen_until

    def freeze_relay(self, relay: int, until: int) -> None:
        """Freezes the list of one relay alone, so that relays have lists of different age."""
        self.relay_frozen_until[relay] = max(until, self.relay_frozen_until.get(relay, 0))

    def is_frozen(self, now: int, relay: int) -> bool:
        """Whether the list of this relay alone is frozen."""
        return now < self.relay_frozen_until.get(relay, 0)

    def take_changes(self, relay: int, version: int) -> tuple[int, list[Entry]]:
        """Brings a relay's agent up to `version`; returns the version that it then has, and the latest entry of each
        unit that changed."""
        since, self.told[relay] = self.told[relay], max(self.told[relay], version)
        latest = {entry.name: entry for entry in self.log[since:version]}
        return self.told[relay], list(latest.values())

    def whole(self, version: int) -> list[Entry]:
        """The whole list as of that version."""
        entries: dict[str, Entry] = {}
        for entry in self.log[:version]:
            entries[entry.name] = entry
        return [entry for entry in entries.values() if entry.state != "gone"]

    @property
    def version(self) -> int:
        """The latest version."""
        return len(self.log)
