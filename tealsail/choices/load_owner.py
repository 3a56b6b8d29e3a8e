"""What an owner knows of its units' load: the newest figures of each relay that reported, and their sums.

A row lives for LIFE after its report; `forget_old` empties the tables, and after a stop `forget_all` does.
"""

from typing import NamedTuple

from .digest_messages import LOW_16, LOW_32, REPORT, Message, Row

LIFE = 50_000  # tenths of a ms for which a report counts
LISTENS = 20_000  # tenths of a ms that an owner hears of a unit before it answers for it: until then "no other relay"
# may only mean that the others have not reported yet; standbys are told at least as often
MOST_ROWS_KEPT = 8_192  # of all units together: some 2 MB
MOST_SENDERS = 4_096
HALF_16, HALF_32 = 0x8000, 0x80000000
FAILING_STEP = 0.15  # how far one report's failed part moves a unit's


class Told(NamedTuple):
    """One relay's latest row of a unit, and when it came."""

    out: int
    mean: float
    at: int


class UnitLoad:
    """One unit: rows by relay, and their sums."""

    __slots__ = ("by_relay", "out", "mean", "failing", "since")

    def __init__(self, now: int) -> None:
        self.since = now  # when it was first heard of
        self.by_relay: dict[int, Told] = {}
        self.out = 0
        self.mean = 0.0
        self.failing = 0.0

    def put(self, relay: int, told: Told) -> None:
        self.drop(relay)
        self.by_relay[relay] = told
        self.out += told.out
        self.mean += told.mean

    def drop(self, relay: int) -> None:
        before = self.by_relay.pop(relay, None)
        if before is None:
            return
        self.out -= before.out
        self.mean -= before.mean
        if not self.by_relay:
            self.mean = 0.0  # no rounding is left over


class Sender(NamedTuple):
    """The newest report of a relay."""

    epoch: int
    sequence: int
    at: int
    wants_digest: bool


class LoadOwner:
    """Takes reports, gives the rows of their digests."""

    def __init__(self) -> None:
        self.units: dict[int, UnitLoad] = {}
        self.senders: dict[int, Sender] = {}
        self.rows_kept = 0

    def is_newer(self, relay: int, message: Message) -> bool:
        """Whether a report is newer than what its sender reported before, by its start and its count."""
        before = self.senders.get(relay)
        if before is None:
            return len(self.senders) < MOST_SENDERS
        if message.epoch != before.epoch:
            return (message.epoch - before.epoch & LOW_32) < HALF_32
        return 0 < (message.sequence - before.sequence & LOW_16) < HALF_16

    def take(self, relay: int, message: Message, now: int) -> bool:
        """False for an old report, which changes nothing."""
        if not self.is_newer(relay, message):
            return False
        self.senders[relay] = Sender(message.epoch, message.sequence, now, message.kind == REPORT)
        for row in message.rows:
            self.put(relay, row, now)
        return True

    def put(self, relay: int, row: Row, now: int) -> None:
        load = self.units.get(row.unit)
        is_new = load is None or relay not in load.by_relay
        if is_new and self.rows_kept >= MOST_ROWS_KEPT:
            return
        if load is None:
            load = self.units[row.unit] = UnitLoad(now)
        self.rows_kept += is_new
        load.put(relay, Told(row.out, row.mean, now))
        if row.ended:
            load.failing += FAILING_STEP * (min(1.0, row.failed / row.ended) - load.failing)

    def others(self, relay: int, unit: int, now: int) -> Row | None:
        """What all but that relay have at the unit; None where too little was heard to say so."""
        load = self.units.get(unit)
        if load is None or now - load.since < LISTENS:
            return None
        mine = load.by_relay.get(relay)
        if mine is None:
            return Row(unit, load.out, max(0.0, load.mean), len(load.by_relay), round(255 * load.failing))
        mean = max(0.0, load.mean - mine.mean)
        return Row(unit, load.out - mine.out, mean, len(load.by_relay) - 1, round(255 * load.failing))

    def forget_old(self, now: int) -> None:
        """Rows and senders not heard of for LIFE."""
        for unit, load in list(self.units.items()):
            for relay in [relay for relay, told in load.by_relay.items() if told.at <= now - LIFE]:
                load.drop(relay)
                self.rows_kept -= 1
            if not load.by_relay:
                del self.units[unit]
        for relay in [relay for relay, sender in self.senders.items() if sender.at <= now - LIFE]:
            del self.senders[relay]

    def forget_all(self) -> None:
        self.units.clear()
        self.senders.clear()
        self.rows_kept = 0
