"""Load figures without a question while an invocation waits, and without a single load tracker: the logic, without I/O.

A relay reports its shots out, unit by unit, to the owners of each unit (rendezvous.py); an owner answers with a digest
of the shots that all other relays have there.  No invocation waits for either: the choice of unit reads `others` as it
is.  That figure fades with the digest's age to the average over all known units, so without digests all units count
alike.
The bytes sent keep to a budget whatever the number of units.  Time in tenths of a ms, messages and a seeded random
source are passed in; messages to send are returned.
"""

from enum import Enum
from math import exp
from typing import NamedTuple

from ..parts import RandomGenerator
from ..time_limits import SECOND
from .digest_messages import DIGEST, MAX_ROWS, QUIET_REPORT, REPORT, Message, Row, decode, encode
from .load_owner import LoadOwner
from .rendezvous import REPLICAS, Rendezvous

BUDGET = 3_000  # bytes a second, out and in, of all control messages of a relay, judges' messages among them
JUDGES_RATE = 400  # bytes a second of BUDGET, left to the judges' messages
BURST_RATE = 100  # bytes a second of BUDGET, left to what a full token bucket adds within a few seconds
OUT_RATE = (BUDGET - JUDGES_RATE - BURST_RATE) // 2  # bytes a second sent; as many come in on average
DIGEST_RATE = 1_000  # bytes a second of OUT_RATE, at the most, for digests
DATAGRAM_OVERHEAD = 28  # bytes of IP and UDP headers of each message
DIGEST_RESERVE = 280  # bytes in the token bucket that reports leave to digests: else owners fall silent
DIGEST_BURST = 560  # bytes: digests that may go out at once
MAX_FOLLOWED = 64  # units that a relay follows; others are chosen without digests
FOLLOW_TIME = 2 * SECOND  # a unit without a shot out for so long is followed no longer
SWEEP_INTERVAL = SECOND // 2  # between removals of what is old
MEAN_TIME = 1 * SECOND  # time constant of the mean number of shots out
OUT_DECAY = SECOND // 4  # by then about two thirds of the shots out have changed; the mean stays valid longer
DIGEST_LIFETIME = 5 * SECOND  # after which a digest counts for nothing; it counts fully up to half of it
HALF_TRUST_RELAYS = 8  # where so many others use a unit, a relay moves by half of what a digest says
IDLE_INTERVAL = SECOND // 20  # until the next check when no report was due
MIN_STOP = 1 * SECOND  # without a call: something runs each half second
SETTLE_TIME = SECOND // 5  # after a stop: messages that waited at the socket come within it and are dropped
MAX_UNANSWERED = 3  # reports in a row without a digest: after more the owner is muted
MUTE_TIME = 2 * SECOND  # for which a muted owner gets no reports
STANDBY_INTERVAL = 2 * SECOND  # between reports to a standby
MIN_REPORT_INTERVAL = SECOND // 20  # between reports on a unit to its owner
CHANGE_BONUS = SECOND // 2  # a report is due so much sooner for each shot more or less than last reported
PENDING_SLOTS = 256  # reports whose digest may still come; a power of two
JITTER = 0.25  # of a pause, both ways, at random
LOG_INTERVAL = 60 * SECOND  # between log lines on dropped messages


class Dropped(Enum):
    """Why a message was dropped."""

    SPOILT = "spoilt"
    FOREIGN = "foreign"
    OLD = "old"
    STOPPED = "sent during a stop"
    BUDGET = "over budget"


class Send(NamedTuple):
    """A message to another relay."""

    relay: int
    data: bytes


class Pending(NamedTuple):
    """A report that waits for its digest."""

    sequence: int
    owner: int
    at: int


NO_REPORT = Pending(-1, -1, 0)


class FollowedUnit:
    """A unit that this relay uses: its own shots there, and the newest digest."""

    __slots__ = (
        "number", "out", "mean", "mean_at", "ended", "failed", "used_at", "owners", "reported_at", "reported_out",
        "digest", "digest_at",
    )  # fmt: skip

    def __init__(self, number: int, now: int) -> None:
        self.number, self.out, self.mean, self.mean_at, self.used_at = number, 0, 0.0, now, now
        self.ended = self.failed = 0  # since the last report that asked for a digest
        self.owners: tuple[int, ...] = ()  # in order; empty until `rank_one_unit` has worked them out
        self.reported_at = [now - STANDBY_INTERVAL, now - STANDBY_INTERVAL]  # to the owner and to the standby
        self.reported_out = 0  # shots out in the last report to the owner
        self.digest: Row | None = None
        self.digest_at = 0  # when the report that it answers was sent

    def advance(self, now: int) -> None:
        """Brings the mean up to now."""
        passed = now - self.mean_at
        if passed > 0:
            self.mean += (1 - exp(-passed / MEAN_TIME)) * (self.out - self.mean)
            self.mean_at = now


class OwnerState:
    """What a relay knows of one owner."""

    __slots__ = ("unanswered", "muted_until", "next_at")

    def __init__(self) -> None:
        self.unanswered = self.muted_until = self.next_at = 0


class LoadDigests:
    """Both roles of one relay: it reports on the units that it uses and owns some.  `counts` and `lines` are for the
    log."""

    def __init__(self, own_number: int, relays: int, started: int, chance: RandomGenerator) -> None:
        """`relays`: how many there are, numbered from 0.  `started`: now, which is the epoch of its reports.  `chance`
        draws the jitter of the pauses."""
        self.own_number, self.relays, self.started, self.chance = own_number, relays, started, chance
        self.rendezvous, self.load_owner = Rendezvous(relays), LoadOwner()
        self.followed: dict[int, FollowedUnit] = {}
        self.owner_states: dict[int, OwnerState] = {}
        self.pending = [NO_REPORT] * PENDING_SLOTS  # by sequence, modulo its length
        self.sequence = 0  # of the latest report
        self.neutral = 0.0  # shots that all others have at a followed unit, on average
        self.ran = started  # when something last ran here
        self.settled_at = started  # messages that come before then waited during a stop, and are dropped
        self.send_at = started + int(chance.share() * SWEEP_INTERVAL)
        self.sweep_at = started
        self.tokens, self.digest_tokens, self.tokens_at = 0.0, float(DIGEST_BURST), started  # bytes that may be sent
        self.reporting_relays = 1  # that want digests from this owner
        self.counts = dict.fromkeys(("reports", "digests", "bytes_out", "bytes_in"), 0)
        self.dropped = dict.fromkeys(Dropped, 0)
        self.logged_at, self.logged = started, 0  # when dropped messages may be logged next, and how many were by then
        self.lines: list[str] = []

    # Called while an invocation waits
    def sent(self, unit: int, now: int) -> None:
        """A shot goes to the unit."""
        followed = self.followed.get(unit)
        if followed is None:
            if len(self.followed) >= MAX_FOLLOWED:
                return
            followed = self.followed[unit] = FollowedUnit(unit, now)
        followed.advance(now)
        followed.out += 1
        followed.used_at = now

    def ended(self, unit: int, now: int, failed: bool = False) -> None:
        """A shot at the unit has ended."""
        followed = self.followed.get(unit)
        if followed is None or not followed.out:
            return  # it began before the unit was followed
        followed.advance(now)
        followed.out -= 1
        followed.ended += 1
        followed.failed += failed

    def others(self, unit: int, now: int) -> float:
        """How many of its own shots the other relays' shots at the unit count for; `neutral` where nothing is known.

        All relays that share a digest act on it at once, so each moves by its part of the difference only: else they
        leave a busy unit together and crowd onto an idle one together (a herd).
        """
        followed = self.followed.get(unit)
        if followed is None or followed.digest is None:
            return self.neutral
        digest, age = followed.digest, now - followed.digest_at
        if age >= DIGEST_LIFETIME or age < 0:
            return self.neutral
        estimate = digest.mean + exp(-age / OUT_DECAY) * (digest.out - digest.mean)
        trust = min(1.0, 2 - 2 * age / DIGEST_LIFETIME) * HALF_TRUST_RELAYS / (HALF_TRUST_RELAYS + digest.ended)
        return self.neutral + trust * (estimate - self.neutral)

    # Timers
    @property
    def due(self) -> int:
        """When to call `tick` next."""
        return min(self.send_at, self.sweep_at)

    def tick(self, now: int) -> list[Send]:
        """Does what is due; returns the messages to send."""
        self.notice_stop(now)
        if now >= self.sweep_at:
            self.sweep(now)
        if now < self.send_at:
            return []
        send = self.report(now)
        if self.send_at <= now:  # no report was due
            self.send_at = now + IDLE_INTERVAL
        return [send] if send else []

    def notice_stop(self, now: int) -> None:
        """After a stop of the process: discards everything older than its end, and the messages that waited
        meanwhile."""
        if now - self.ran > MIN_STOP:
            self.load_owner.forget_all()
            for followed in self.followed.values():
                followed.digest = None
            self.pending = [NO_REPORT] * PENDING_SLOTS
            self.settled_at, self.neutral = now + SETTLE_TIME, 0.0
        self.ran = now

    def sweep(self, now: int) -> None:
        """Removes what is old, and updates the figures that are the same for all units."""
        self.sweep_at = now + SWEEP_INTERVAL
        self.load_owner.forget_old(now)
        senders = self.load_owner.senders.values()
        self.reporting_relays = max(1, sum(sender.wants_digest for sender in senders))
        for unit, followed in list(self.followed.items()):
            if not followed.out and now - followed.used_at > FOLLOW_TIME:
                del self.followed[unit]
        self.update_neutral(now)
        self.log_dropped(now)

    def update_neutral(self, now: int) -> None:
        """Sets the neutral figure: the mean over the digests that still count."""
        fresh = [each.digest.mean for each in self.followed.values() if self.is_fresh(each, now)]
        self.neutral = sum(fresh) / len(fresh) if fresh else 0.0

    def is_fresh(self, followed: FollowedUnit, now: int) -> bool:
        return followed.digest is not None and now - followed.digest_at < DIGEST_LIFETIME

    def log_dropped(self, now: int) -> None:
        """Logs the counts of dropped messages, at most once in LOG_INTERVAL and only if they have grown."""
        total = sum(self.dropped.values())
        if total > self.logged and now >= self.logged_at:
            counts = " ".join(f"{reason.name.lower()}={count}" for reason, count in self.dropped.items() if count)
            self.lines.append(f"load digests: messages dropped so far: {counts}")
            self.logged, self.logged_at = total, now + LOG_INTERVAL

    # Reports
    def report(self, now: int) -> Send | None:
        """The next report that is due: to the owner of the unit reported longest ago, with all other units of that
        owner."""
        self.refill(now)
        if self.tokens < DIGEST_RESERVE:
            self.send_at = now + self.time_until(DIGEST_RESERVE)
            return None
        found = self.most_overdue(now)
        if found is None:
            return None
        owner, is_standby = found
        rows = self.report_rows(owner, is_standby, now)
        self.sequence += 1
        message = Message(QUIET_REPORT if is_standby else REPORT, 0, self.sequence, self.started, tuple(rows))
        if not is_standby:
            self.await_digest(owner, now)
        if owner == self.own_number:
            self.report_to_itself(message, now)
            return None
        data = encode(message)
        self.counts["reports"] += 1
        self.counts["bytes_out"] += len(data) + DATAGRAM_OVERHEAD
        self.refill(now)
        self.tokens -= len(data) + DATAGRAM_OVERHEAD
        pause = (len(data) + DATAGRAM_OVERHEAD) * SECOND / OUT_RATE * (1 - JITTER + 2 * JITTER * self.chance.share())
        self.send_at = now + max(int(pause), self.time_until(DIGEST_RESERVE))
        return Send(owner, data)

    def most_overdue(self, now: int) -> tuple[int, bool] | None:
        """The relay to report to next, and whether as a standby; None if no report is due."""
        longest, found = -1, None
        self.rank_one_unit()
        for followed in self.followed.values():
            for index, owner in enumerate(self.active_owners(followed, now)):
                state = self.owner_states.get(owner)
                if state and state.next_at > now:
                    continue
                waited = now - followed.reported_at[index]
                if waited < (STANDBY_INTERVAL if index else MIN_REPORT_INTERVAL):
                    continue
                if not index:
                    waited += CHANGE_BONUS * abs(followed.out - followed.reported_out)
                if waited > longest:
                    longest, found = waited, (owner, index > 0)
        return found

    def rank_one_unit(self) -> None:
        """Works out the owners of one unit that has none yet, one at a time: at 1,300 relays this takes about a
        millisecond, and invocations wait meanwhile."""
        for followed in self.followed.values():
            if not followed.owners:
                followed.owners = self.rendezvous.ranked(followed.number)
                return

    def active_owners(self, followed: FollowedUnit, now: int) -> list[int]:
        """The first relays in the unit's order that are not muted: its owner and its standby."""
        active = [owner for owner in followed.owners if not self.is_muted(owner, now)]
        return active[:REPLICAS]

    def is_muted(self, owner: int, now: int) -> bool:
        state = self.owner_states.get(owner)
        return state is not None and state.muted_until > now

    def report_rows(self, owner: int, is_standby: bool, now: int) -> list[Row]:
        """Rows of the units that have this relay as owner, or as standby; those reported longest ago first."""
        index = int(is_standby)
        mine = [
            each
            for each in self.followed.values()
            if each.owners and owner in self.active_owners(each, now)[index : index + 1]
        ]
        mine.sort(key=lambda each: each.reported_at[index])
        rows = []
        for each in mine[:MAX_ROWS]:
            each.advance(now)
            each.reported_at[index] = now
            rows.append(Row(each.number, each.out, each.mean, each.ended, each.failed))
            if not is_standby:
                each.ended, each.failed, each.reported_out = 0, 0, each.out
        return rows

    def await_digest(self, owner: int, now: int) -> None:
        """Records that a digest is expected, and mutes an owner that has not sent the last ones."""
        state = self.owner_states.setdefault(owner, OwnerState())
        state.unanswered += 1
        if state.unanswered > MAX_UNANSWERED:
            state.muted_until = now + MUTE_TIME
            state.unanswered = MAX_UNANSWERED - 1  # once unmuted, one more report may stay unanswered
        self.pending[self.sequence % PENDING_SLOTS] = Pending(self.sequence, owner, now)

    def report_to_itself(self, message: Message, now: int) -> None:
        """This relay owns the unit: no datagram."""
        self.load_owner.take(self.own_number, message, now)
        if message.kind == REPORT:
            rows = self.digest_rows(self.own_number, message, now)
            self.take_digest(self.own_number, Message(DIGEST, 0, message.sequence, message.epoch, rows), now)

    # Messages
    def received(self, sender: int, data: bytes, now: int) -> list[Send]:
        """Takes a message from another relay; returns the answer to send, if any."""
        self.notice_stop(now)
        self.counts["bytes_in"] += len(data) + DATAGRAM_OVERHEAD
        message = decode(data)
        if message is None:
            return self.drop(Dropped.SPOILT)
        if not 0 <= sender < self.relays or sender == self.own_number:
            return self.drop(Dropped.FOREIGN)
        if now < self.settled_at:
            return self.drop(Dropped.STOPPED)
        if message.kind == DIGEST:
            return self.take_digest(sender, message, now)
        if not self.load_owner.take(sender, message, now):
            return self.drop(Dropped.OLD)
        return self.answer(sender, message, now) if message.kind == REPORT else []

    def drop(self, why: Dropped) -> list[Send]:
        self.dropped[why] += 1
        return []

    def answer(self, sender: int, report: Message, now: int) -> list[Send]:
        """The digest that answers a report, if the budget allows it."""
        size = DATAGRAM_OVERHEAD + len(report.rows) * 12 + 12
        self.refill(now)
        if self.tokens <= 0 or self.digest_tokens < size:
            return self.drop(Dropped.BUDGET)
        self.tokens -= size
        self.digest_tokens -= size
        rows = self.digest_rows(sender, report, now)
        pause = int(self.reporting_relays * size * SECOND / DIGEST_RATE)
        data = encode(Message(DIGEST, pause, report.sequence, report.epoch, rows))
        self.counts["digests"] += 1
        self.counts["bytes_out"] += len(data) + DATAGRAM_OVERHEAD
        return [Send(sender, data)]

    def time_until(self, tokens: int) -> int:
        """Tenths of a ms until so many bytes may be sent."""
        return int((tokens - self.tokens) * SECOND / OUT_RATE) + 1

    def digest_rows(self, relay: int, report: Message, now: int) -> tuple[Row, ...]:
        """The rows of the digest for a relay's report, without units of which this owner knows too little."""
        rows = [self.load_owner.digest_row(relay, row.unit, now) for row in report.rows]
        return tuple(row for row in rows if row is not None)

    def refill(self, now: int) -> None:
        """Adds to the token buckets what may be sent by now; one message may overdraw them."""
        passed, self.tokens_at = now - self.tokens_at, now
        self.tokens = min(float(DIGEST_BURST), self.tokens + passed * OUT_RATE / SECOND)
        self.digest_tokens = min(float(DIGEST_BURST), self.digest_tokens + passed * DIGEST_RATE / SECOND)

    def take_digest(self, sender: int, digest: Message, now: int) -> list[Send]:
        """Takes a digest.  Its age counts from the report that it answers, so a digest that was delayed anywhere is as
        old as its figures."""
        pending = self.pending[digest.sequence % PENDING_SLOTS]
        is_ours = digest.epoch == self.started & 0xFFFFFFFF
        if not is_ours or pending.owner != sender or pending.sequence & 0xFFFF != digest.sequence & 0xFFFF:
            return self.drop(Dropped.OLD)
        self.pending[digest.sequence % PENDING_SLOTS] = NO_REPORT
        state = self.owner_states[sender]
        state.unanswered, state.next_at = 0, pending.at + digest.pause
        for row in digest.rows:
            followed = self.followed.get(row.unit)
            if followed is not None:
                followed.digest, followed.digest_at = row, pending.at
        return []
