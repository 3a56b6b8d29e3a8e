"""Load figures without a question on a request's path and without one load tracker: the machine, without I/O.

A relay reports what it has out, unit by unit, to the unit's owners (rendezvous.py); the owner returns a digest of what
all other relays have there.  Nothing waits for either: the choice takes `others` as it stands, which fades with age to
what all known units have on average, so that without digests all units are alike again.  What is sent keeps to a budget
whatever the number of units.  Handed the time in tenths of a ms, messages and a seeded draw; it returns what to send.
"""

from enum import Enum
from math import exp
from typing import NamedTuple

from ..parts import RandomGenerator
from .digest_messages import DIGEST, MOST_ROWS, QUIET_REPORT, REPORT, Message, Row, decode, encode
from .load_owner import LoadOwner
from .rendezvous import REPLICAS, Rendezvous

SECOND = 10_000  # tenths of a ms
BUDGET = 3_000  # bytes a second for control at a relay, out and in, judges' messages among them
JUDGES_PART = 400  # bytes a second of it, left to the judges' messages
BURST_PART = 100  # bytes a second of it, left to what a full bucket adds within a few seconds
OUT_RATE = (BUDGET - JUDGES_PART - BURST_PART) // 2  # bytes a second sent; as many come in on average
OWNER_RATE = 1_000  # bytes a second of OUT_RATE, at the most, for digests
DATAGRAM = 28  # bytes of IP and UDP heads around each message
REPORTS_LEAVE = 280  # bytes of the account that reports leave to digests: else owners fall silent
DIGEST_BURST = 560  # bytes: digests that may go out at once
MOST_USED = 64  # units that a relay follows; those beyond are chosen without digests
USED_SPAN = 2 * SECOND  # a unit with nothing out for so long is followed no longer
SWEEP = SECOND // 2  # between looks at what is old
MEAN_SPAN = 1 * SECOND  # over which a mean is taken
OUT_FADES = SECOND // 4  # by then about two thirds of what is out have changed; the mean stands longer
DIGEST_LIFE = 5 * SECOND  # after which a digest counts for nothing; it counts fully up to half of it
SHARED = 8  # relays: where so many others use a unit, a relay moves by half of what a digest says
NOTHING_DUE = SECOND // 20  # until the next look
STOPPED = 1 * SECOND  # in which nothing ran, though something runs each half second
SETTLES = SECOND // 5  # after a stop: what waited at the socket comes in this time and is dropped
UNANSWERED = 3  # reports in a row without a digest: the owner is left out
MUTE = 2 * SECOND  # for so long
STANDBY_WAIT = 2 * SECOND  # between reports to a standby
SOONEST = SECOND // 20  # between reports of a unit to its owner
CHANGED = SECOND // 2  # an attempt more or less than last told makes a report due as much sooner
PENDING = 256  # reports whose digest may still come; a power of two
SPREAD = 0.25  # of a pause, by chance, both ways
SAYS = 60 * SECOND  # between lines about dropped messages


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
    """A report on its way."""

    sequence: int
    owner: int
    at: int


NO_REPORT = Pending(-1, -1, 0)


class Followed:
    """One unit that this relay uses: its own attempts there, and the newest digest."""

    __slots__ = (
        "number", "out", "mean", "mean_at", "ended", "failed", "used_at", "owners", "told_at", "told_out",
        "digest", "digest_at",
    )  # fmt: skip

    def __init__(self, number: int, now: int) -> None:
        self.number, self.out, self.mean, self.mean_at, self.used_at = number, 0, 0.0, now, now
        self.ended = self.failed = 0  # since the last report that wants a digest
        self.owners: tuple[int, ...] = ()  # the order of owners; worked out off the request's path
        self.told_at = [now - STANDBY_WAIT, now - STANDBY_WAIT]  # the owner and the standby
        self.told_out = 0  # attempts that the owner was last told of
        self.digest: Row | None = None
        self.digest_at = 0  # when the report that it answers went out

    def advance(self, now: int) -> None:
        """Takes the mean up to now."""
        passed = now - self.mean_at
        if passed > 0:
            self.mean += (1 - exp(-passed / MEAN_SPAN)) * (self.out - self.mean)
            self.mean_at = now


class OwnerState:
    """What a relay knows of one owner."""

    __slots__ = ("unanswered", "muted_until", "next_at")

    def __init__(self) -> None:
        self.unanswered = self.muted_until = self.next_at = 0


class LoadDigests:
    """The whole of it for one relay, which reports and owns at once.  `counts` and `lines` are for the log."""

    def __init__(self, own: int, relays: int, born: int, chance: RandomGenerator) -> None:
        self.own, self.relays, self.born, self.chance = own, relays, born, chance
        self.rendezvous, self.owner = Rendezvous(relays), LoadOwner()
        self.followed: dict[int, Followed] = {}
        self.owners: dict[int, OwnerState] = {}
        self.pending = [NO_REPORT] * PENDING
        self.sequence = 0
        self.neutral = 0.0  # what all others have at a followed unit, on average
        self.ran, self.settled_at = born, born
        self.send_at = born + int(chance.share() * SWEEP)
        self.sweep_at = born
        self.tokens, self.digest_tokens, self.tokens_at = 0.0, float(DIGEST_BURST), born  # bytes that may be sent
        self.askers = 1
        self.counts = dict.fromkeys(("reports", "digests", "bytes_out", "bytes_in"), 0)
        self.dropped = dict.fromkeys(Dropped, 0)
        self.said_at, self.said = born, 0
        self.lines: list[str] = []

    # on a request's path
    def sent(self, unit: int, now: int) -> None:
        """An attempt goes to the unit."""
        followed = self.followed.get(unit)
        if followed is None:
            if len(self.followed) >= MOST_USED:
                return
            followed = self.followed[unit] = Followed(unit, now)
        followed.advance(now)
        followed.out += 1
        followed.used_at = now

    def ended(self, unit: int, now: int, failed: bool = False) -> None:
        """An attempt at the unit has ended."""
        followed = self.followed.get(unit)
        if followed is None or not followed.out:
            return  # begun before it was followed
        followed.advance(now)
        followed.out -= 1
        followed.ended += 1
        followed.failed += failed

    def others(self, unit: int, now: int) -> float:
        """What other relays' attempts at the unit weigh beside this relay's own: neutral where nothing is known.

        All who share a digest act on it at once, so each moves by its part of the difference only: else they leave a
        busy unit together and come to an empty one together.  Guards against a herd by a shared digest.
        """
        followed = self.followed.get(unit)
        if followed is None or followed.digest is None:
            return self.neutral
        digest, age = followed.digest, now - followed.digest_at
        if age >= DIGEST_LIFE or age < 0:
            return self.neutral
        believed = digest.mean + exp(-age / OUT_FADES) * (digest.out - digest.mean)
        trust = min(1.0, 2 - 2 * age / DIGEST_LIFE) * SHARED / (SHARED + digest.ended)
        return self.neutral + trust * (believed - self.neutral)

    # time
    @property
    def due(self) -> int:
        """When to call `tick` next."""
        return min(self.send_at, self.sweep_at)

    def tick(self, now: int) -> list[Send]:
        self.notice_stop(now)
        if now >= self.sweep_at:
            self.sweep(now)
        if now < self.send_at:
            return []
        send = self.report(now)
        if self.send_at <= now:  # nothing was due
            self.send_at = now + NOTHING_DUE
        return [send] if send else []

    def notice_stop(self, now: int) -> None:
        """Whoever comes back from a stop trusts nothing that is older than its end, nor what waited meanwhile."""
        if now - self.ran > STOPPED:
            self.owner.forget_all()
            for followed in self.followed.values():
                followed.digest = None
            self.pending = [NO_REPORT] * PENDING
            self.settled_at, self.neutral = now + SETTLES, 0.0
        self.ran = now

    def sweep(self, now: int) -> None:
        """Forgets what is old, and takes anew what is the same for all units."""
        self.sweep_at = now + SWEEP
        self.owner.forget_old(now)
        senders = self.owner.senders.values()
        self.askers = max(1, sum(sender.wants_digest for sender in senders))
        for unit, followed in list(self.followed.items()):
            if not followed.out and now - followed.used_at > USED_SPAN:
                del self.followed[unit]
        self.balance(now)
        self.say(now)

    def balance(self, now: int) -> None:
        """The neutral figure: the mean over the digests that still count."""
        fresh = [each.digest.mean for each in self.followed.values() if self.is_fresh(each, now)]
        self.neutral = sum(fresh) / len(fresh) if fresh else 0.0

    def is_fresh(self, followed: Followed, now: int) -> bool:
        return followed.digest is not None and now - followed.digest_at < DIGEST_LIFE

    def say(self, now: int) -> None:
        """One line a minute, at the most, of what was dropped."""
        total = sum(self.dropped.values())
        if total > self.said and now >= self.said_at:
            counts = " ".join(f"{reason.name.lower()}={count}" for reason, count in self.dropped.items() if count)
            self.lines.append(f"load digests: messages dropped so far: {counts}")
            self.said, self.said_at = total, now + SAYS

    # reports
    def report(self, now: int) -> Send | None:
        """The next report due: the unit and owner told longest ago, and all other units of that owner."""
        self.refill(now)
        if self.tokens < REPORTS_LEAVE:
            self.send_at = now + self.wait_for(REPORTS_LEAVE)
            return None
        found = self.most_overdue(now)
        if found is None:
            return None
        owner, is_standby = found
        rows = self.rows_for(owner, is_standby, now)
        self.sequence += 1
        message = Message(QUIET_REPORT if is_standby else REPORT, 0, self.sequence, self.born, tuple(rows))
        if not is_standby:
            self.await_digest(owner, now)
        if owner == self.own:
            self.report_to_itself(message, now)
            return None
        data = encode(message)
        self.counts["reports"] += 1
        self.counts["bytes_out"] += len(data) + DATAGRAM
        self.refill(now)
        self.tokens -= len(data) + DATAGRAM
        pause = (len(data) + DATAGRAM) * SECOND / OUT_RATE * (1 - SPREAD + 2 * SPREAD * self.chance.share())
        self.send_at = now + max(int(pause), self.wait_for(REPORTS_LEAVE))
        return Send(owner, data)

    def most_overdue(self, now: int) -> tuple[int, bool] | None:
        """The owner to report to, and whether as a standby."""
        best, found = -1, None
        self.rank_one()
        for followed in self.followed.values():
            for place, owner in enumerate(self.owners_of(followed, now)):
                state = self.owners.get(owner)
                if state and state.next_at > now:
                    continue
                waited = now - followed.told_at[place]
                if waited < (STANDBY_WAIT if place else SOONEST):
                    continue
                if not place:
                    waited += CHANGED * abs(followed.out - followed.told_out)
                if waited > best:
                    best, found = waited, (owner, place > 0)
        return found

    def rank_one(self) -> None:
        """Works out the owners of one unit that has none yet: at 1,300 relays this takes a millisecond or so, and
        requests wait meanwhile."""
        for followed in self.followed.values():
            if not followed.owners:
                followed.owners = self.rendezvous.ranked(followed.number)
                return

    def owners_of(self, followed: Followed, now: int) -> list[int]:
        """The first in the unit's order that are not left out."""
        heard = [owner for owner in followed.owners if not self.is_muted(owner, now)]
        return heard[:REPLICAS]

    def is_muted(self, owner: int, now: int) -> bool:
        state = self.owners.get(owner)
        return state is not None and state.muted_until > now

    def rows_for(self, owner: int, is_standby: bool, now: int) -> list[Row]:
        """Of the units that have this owner in this place, those told longest ago first."""
        place = int(is_standby)
        mine = [
            each
            for each in self.followed.values()
            if each.owners and owner in self.owners_of(each, now)[place : place + 1]
        ]
        mine.sort(key=lambda each: each.told_at[place])
        rows = []
        for each in mine[:MOST_ROWS]:
            each.advance(now)
            each.told_at[place] = now
            rows.append(Row(each.number, each.out, each.mean, each.ended, each.failed))
            if not is_standby:
                each.ended, each.failed, each.told_out = 0, 0, each.out
        return rows

    def await_digest(self, owner: int, now: int) -> None:
        state = self.owners.setdefault(owner, OwnerState())
        state.unanswered += 1
        if state.unanswered > UNANSWERED:
            state.muted_until = now + MUTE
            state.unanswered = UNANSWERED - 1  # after that, one look
        self.pending[self.sequence % PENDING] = Pending(self.sequence, owner, now)

    def report_to_itself(self, message: Message, now: int) -> None:
        """This relay owns the unit: no datagram."""
        self.owner.take(self.own, message, now)
        if message.kind == REPORT:
            rows = self.rows_known(self.own, message, now)
            self.take_digest(self.own, Message(DIGEST, 0, message.sequence, message.epoch, rows), now)

    # messages
    def received(self, sender: int, data: bytes, now: int) -> list[Send]:
        """A message of another relay; what to send for it."""
        self.notice_stop(now)
        self.counts["bytes_in"] += len(data) + DATAGRAM
        message = decode(data)
        if message is None:
            return self.drop(Dropped.SPOILT)
        if not 0 <= sender < self.relays or sender == self.own:
            return self.drop(Dropped.FOREIGN)
        if now < self.settled_at:
            return self.drop(Dropped.STOPPED)
        if message.kind == DIGEST:
            return self.take_digest(sender, message, now)
        if not self.owner.take(sender, message, now):
            return self.drop(Dropped.OLD)
        return self.answer(sender, message, now) if message.kind == REPORT else []

    def drop(self, why: Dropped) -> list[Send]:
        self.dropped[why] += 1
        return []

    def answer(self, sender: int, report: Message, now: int) -> list[Send]:
        """The digest that a report gets, where the budget allows it."""
        size = DATAGRAM + len(report.rows) * 12 + 12
        self.refill(now)
        if self.tokens <= 0 or self.digest_tokens < size:
            return self.drop(Dropped.BUDGET)
        self.tokens -= size
        self.digest_tokens -= size
        rows = self.rows_known(sender, report, now)
        pause = int(self.askers * size * SECOND / OWNER_RATE)
        data = encode(Message(DIGEST, pause, report.sequence, report.epoch, rows))
        self.counts["digests"] += 1
        self.counts["bytes_out"] += len(data) + DATAGRAM
        return [Send(sender, data)]

    def wait_for(self, tokens: int) -> int:
        """Tenths of a ms until so many bytes may be sent."""
        return int((tokens - self.tokens) * SECOND / OUT_RATE) + 1

    def rows_known(self, asker: int, report: Message, now: int) -> tuple[Row, ...]:
        """The rows of a digest, without units of which this owner knows too little."""
        rows = [self.owner.others(asker, row.unit, now) for row in report.rows]
        return tuple(row for row in rows if row is not None)

    def refill(self, now: int) -> None:
        """What may be sent by now; one message may overdraw it."""
        passed, self.tokens_at = now - self.tokens_at, now
        self.tokens = min(float(DIGEST_BURST), self.tokens + passed * OUT_RATE / SECOND)
        self.digest_tokens = min(float(DIGEST_BURST), self.digest_tokens + passed * OWNER_RATE / SECOND)

    def take_digest(self, sender: int, digest: Message, now: int) -> list[Send]:
        """Its age is that of the report that it answers, so one that was held up anywhere is as old as it is."""
        pending = self.pending[digest.sequence % PENDING]
        is_ours = digest.epoch == self.born & 0xFFFFFFFF
        if not is_ours or pending.owner != sender or pending.sequence & 0xFFFF != digest.sequence & 0xFFFF:
            return self.drop(Dropped.OLD)
        self.pending[digest.sequence % PENDING] = NO_REPORT
        state = self.owners[sender]
        state.unanswered, state.next_at = 0, pending.at + digest.pause
        for row in digest.rows:
            followed = self.followed.get(row.unit)
            if followed is not None:
                followed.digest, followed.digest_at = row, pending.at
        return []
