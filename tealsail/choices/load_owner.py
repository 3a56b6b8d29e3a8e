"""The load table of a unit's owner: the newest figures of each relay that reported, and their sums.

A row counts for REPORT_LIFETIME after its report.  `forget_old` removes older ones, and `forget_all` all, after a stop.
"""

from typing import NamedTuple

from .digest_messages import LOW_16, LOW_32, REPORT, Message, Row

REPORT_LIFETIME = 50_000  # tenths of a ms for which a report counts
# Tenths of a ms for which an owner receives reports on a unit before it answers for it: until then "no other relay" may
# only mean that the others have not reported yet.  Standbys receive reports at least as often.
LISTEN_TIME = 20_000
MAX_ROWS_KEPT = 8_192  # of all units together: some 2 MB
MAX_SENDERS = 4_096
HALF_16 = 0x8000  # a sequence less far ahead, modulo 2**16, is newer
HALF_32 = 0x80000000  # an epoch less far ahead, modulo 2**32, is newer
FAILING_STEP = 0.15  # weight of one report in a unit's failed part


class RelayLoad(NamedTuple):
    """One relay's latest row on a unit, and when it came."""

    out: int
    mean: float
    at: int


class UnitLoad:
    """The rows on one unit by relay, and their sums."""

    __slots__ = ("by_relay", "out", "mean", "failing", "since")

    def __init__(self, now: int) -> None:
        self.since = now  # when the first report came
        self.by_relay: dict[int, RelayLoad] = {}
        self.out = 0
        self.mean = 0.0
        self.failing = 0.0  # part of the shots that failed, of late

    def put(self, relay: int, load: RelayLoad) -> None:
        self.drop(relay)
        self.by_relay[relay] = load
        self.out += load.out
        self.mean += load.mean

    def drop(self, relay: int) -> None:
        before = self.by_relay.pop(relay, None)
        if before is None:
            return
        self.out -= before.out
        self.mean -= before.mean
        if not self.by_relay:
            self.mean = 0.0  # removes what rounding has left


class Sender(NamedTuple):
    """The newest report of a relay."""

    epoch: int
    sequence: int
    at: int
    wants_digest: bool


class LoadOwner:
    """Takes reports and gives the rows of digests.  Times are tenths of a ms."""

    def __init__(self) -> None:
        self.units: dict[int, UnitLoad] = {}
        self.senders: dict[int, Sender] = {}
        self.rows_kept = 0

    def is_newer(self, relay: int, message: Message) -> bool:
        """Whether a report is newer than the sender's last one, by its epoch and sequence; False also for a new sender
        beyond MAX_SENDERS."""
        before = self.senders.get(relay)
        if before is None:
            return len(self.senders) < MAX_SENDERS
        if message.epoch != before.epoch:
            return (message.epoch - before.epoch & LOW_32) < HALF_32
        return 0 < (message.sequence - before.sequence & LOW_16) < HALF_16

    def take(self, relay: int, message: Message, now: int) -> bool:
        """Takes a report; False for an old one, which changes nothing."""
        if not self.is_newer(relay, message):
            return False
        self.senders[relay] = Sender(message.epoch, message.sequence, now, message.kind == REPORT)
        for row in message.rows:
            self.put(relay, row, now)
        return True

    def put(self, relay: int, row: Row, now: int) -> None:
        """Takes one row of a report, unless the table is full."""
        load = self.units.get(row.unit)
        is_new = load is None or relay not in load.by_relay
        if is_new and self.rows_kept >= MAX_ROWS_KEPT:
            return
        if load is None:
            load = self.units[row.unit] = UnitLoad(now)
        self.rows_kept += is_new
        load.put(relay, RelayLoad(row.out, row.mean, now))
        if row.ended:
            load.failing += FAILING_STEP * (min(1.0, row.failed / row.ended) - load.failing)

    def digest_row(self, relay: int, unit: int, now: int) -> Row | None:
        """The load that all relays but that one have at the unit; None where too little was received to tell."""
        load = self.units.get(unit)
        if load is None or now - load.since < LISTEN_TIME:
            return None
        mine = load.by_relay.get(relay)
        if mine is None:
            return Row(unit, load.out, max(0.0, load.mean), len(load.by_relay), round(255 * load.failing))
        mean = max(0.0, load.mean - mine.mean)
        return Row(unit, load.out - mine.out, mean, len(load.by_relay) - 1, round(255 * load.failing))

    def forget_old(self, now: int) -> None:
        """Removes rows and senders without a report for REPORT_LIFETIME."""
        for unit, load in list(self.units.items()):
            for relay in [relay for relay, row in load.by_relay.items() if row.at <= now - REPORT_LIFETIME]:
                load.drop(relay)
                self.rows_kept -= 1
            if not load.by_relay:
                del self.units[unit]
        for relay in [relay for relay, sender in self.senders.items() if sender.at <= now - REPORT_LIFETIME]:
            del self.senders[relay]

    def forget_all(self) -> None:
        self.units.clear()
        self.senders.clear()
        self.rows_kept = 0
