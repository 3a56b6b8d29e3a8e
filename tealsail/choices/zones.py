"""The stage between the choice of build and the choice of unit: which zone, by tiers, spill and ways back.

It keeps the rows of both builds by zone and hands the row of one zone on.  The limits on spill are kept here, at each
send: a share of what this relay takes, and a rate over the next tier's own use.  What other relays tell of zones
(hearsay.py) counts where this relay has seen nothing itself: never against its own answers.
"""

from ..parts import ChainStage, Invocation, RandomGenerator, Shot, SlidingSum, Unit, stable_hash
from .spill import Give, View, split
from .tiers import Zoning, tiers
from .zone_recovery import OUT, RAMP, UP, Returning
from .zone_reports import LISTENERS, Hearsay, Seen, Word, decode, encode

ANSWERED = ("served", "error", "full")
IN_TIME = ("served", "full", "moot")  # if they come before they are late
MISSED = ("unreachable", "reset", "timeout")
GONE = 0.5  # under so much of what is usual, against the best zone: lost
UNANSWERED, DOUBTFUL = 5, 2  # misses in a row, with no answer between: out of reach; in trouble
FEW = 5  # answers and misses that a share of them needs
PROBE, SELDOM = 5_000, 3  # tenths of a ms between looks at a zone that is out; doubled so often
LATE = 0.8  # of the promise
FAR = 0.05  # of what is taken may go far for the trial's sake, with nothing short
BUCKETS = 20


class Zone:
    """One zone as this relay sees it."""

    def __init__(self, place: int, tier: int, zoning: Zoning, luck: float) -> None:
        self.place, self.tier = place, tier
        self.rows: tuple[list[Unit], list[Unit]] = ([], [])  # of earlier builds, and on trial
        self.listed = self.usual = 0.0  # weights: now, and the most of late
        self.able = 0.0
        self.back = Returning(zoning, luck)
        self.answered, self.missed = SlidingSum(zoning.span, BUCKETS), SlidingSum(zoning.span, BUCKETS)
        self.late = SlidingSum(zoning.span, BUCKETS)  # of those answered
        self.probe_at = self.looks = self.row_of_misses = 0
        self.unreached = False  # out by its silence, not by the list
        self.doubted = False  # out by the words of others, with no answer of its own against them
        self.alone = False  # its present loss began with a silence, not with the list


class Zones(ChainStage):
    """Owns the zones; told of the list by `arrange`, of time by `beat`."""

    def __init__(self, relay, zoning: Zoning, own: int, many: int) -> None:
        super().__init__(relay)
        self.zoning, self.random = zoning, RandomGenerator(stable_hash(relay.random.state, relay.index, 17))
        self.order = tiers(own, many, zoning)
        self.zones = {
            zone: Zone(zone, place, zoning, self.random.share())
            for place, tier in enumerate(self.order)
            for zone in tier.zones
        }
        self.gives = {zone: Give() for zone in self.zones}
        self.keep = [1.0] + [0.0] * (len(self.order) - 1)  # by tier, what each may have, and the stated
        self.room: dict[int, float] = {}  # limit of that by zone
        self.nearest = 0  # the first tier that has units
        self.having: list[list[list[Zone]]] = [[[] for _ in self.order] for _ in (0, 1)]  # by side and tier
        self.here: list[list[int]] = [[], []]  # tiers that have units, by side
        self.out = 0  # zones that are out of reach, for all that is known
        self.home: Zone | None = None  # takes all, while nothing is out, short or on trial
        self.taken = SlidingSum(zoning.span, BUCKETS)
        self.spilled = {zone: SlidingSum(zoning.span, BUCKETS) for zone in self.zones}
        self.counts = {"kept": 0, "spilled": 0, "refused": 0, "probes": 0, "matched": 0, "doubted": 0, "told": 0}
        relay.tier = self.tier
        self.hearsay, self.own = Hearsay(2 * zoning.span), own
        self.hear_on, relay.on_note = relay.on_note, self.hear

    def tier(self, unit: Unit) -> int:
        """How far a unit is, 0 for the nearest tier there is."""
        zone = self.zones.get(unit.zone)
        return max(0, zone.tier - self.nearest) if zone else len(self.order)

    # what is known
    def arrange(self) -> None:
        """The list has changed."""
        for zone in self.zones.values():
            zone.rows, zone.listed = ([], []), 0.0
        for side, row in enumerate(self.relay.rows):
            for unit in row:
                zone = self.zones.get(unit.zone)
                if zone:
                    zone.rows[side].append(unit)
                    zone.listed += unit.weight
        for zone in self.zones.values():
            zone.usual = max(zone.usual, zone.listed)
        self.having = [
            [
                [zone for zone in self.zones.values() if zone.tier == tier and zone.rows[side]]
                for tier in range(len(self.order))
            ]
            for side in (0, 1)
        ]
        self.here = [[tier for tier, zones in enumerate(having) if zones] for having in self.having]
        self.weigh()

    def beat(self) -> None:
        now, fade = self.relay.now, 0.5 ** (5_000 / self.zoning.memory)
        usual = self.taken.total(now) * self.zoning.step / self.zoning.span
        for zone in self.zones.values():
            zone.usual = max(zone.listed, zone.usual * fade)
            zone.back.beat(now, usual)
        for give in self.gives.values():
            give.beat(self.zoning.late_part)
        self.hearsay.forget(now)
        for seen in self.hearsay.evidence():  # a relay with little to do learns from those with more
            zone = self.zones.get(seen.zone)
            if zone and zone.back.state == RAMP:
                zone.back.told(seen.good, seen.late)
            if zone and seen.good and zone.looks:  # others reach it: look again soon
                zone.looks, zone.probe_at = 0, min(zone.probe_at, now + PROBE)
        self.weigh()
        self.send_note()

    def hear(self, sender: int, data: bytes) -> None:
        """A note; what is no word on zones is the judges'."""
        word = decode(data)
        if word is None:
            return self.hear_on(sender, data)
        self.hearsay.add(sender, word, self.relay.now)
        if self.alone():  # whether others of its zone are in the same trouble decides its room
            self.weigh()

    def alone(self) -> bool:
        """In trouble with its own zone, by what it sees itself and not by the list."""
        zone = self.zones[self.own]
        return zone.alone or zone.row_of_misses >= DOUBTFUL

    def send_note(self) -> None:
        """What was seen of late, while there is trouble, to a few relays drawn anew each time."""
        relay, now, facts = self.relay, self.relay.now, self.relay.facts
        trouble = self.alone() or any(zone.unreached or zone.back.state != UP for zone in self.zones.values())
        if not facts["may_tell"] or not (trouble or self.hearsay.alert(now)):
            return
        rows = []
        for zone in self.zones.values():
            answered, late, missed = (int(ring.total(now)) for ring in (zone.answered, zone.late, zone.missed))
            if zone.unreached:  # looks are seldom, answers were before: what made it so stands
                answered, late, missed = 0, 0, max(missed, UNANSWERED)
            if answered + missed:
                rows.append(Seen(zone.place, max(0, answered - late), late, missed))
        if not rows and not trouble:
            return
        data, others = encode(Word(self.own, trouble, self.alone(), tuple(rows))), facts["relays"] - 1
        for _ in range(min(LISTENERS, others)):
            to = int(self.random.share() * others)
            self.counts["told"] += 1
            relay.host.send_note(to + (to >= relay.index), data)

    def weigh(self) -> None:
        """What each zone can do, who is lost and who is back, and the tiers' shares from that."""
        now, zones = self.relay.now, list(self.zones.values())
        part = {zone.place: zone.listed / zone.usual if zone.usual else 0.0 for zone in zones}
        best, doubts = max(part.values()), self.hearsay.doubts()
        alone = self.alone()
        troubled = self.hearsay.troubled(self.own, alone)
        views = {}
        for zone in zones:
            answered, missed = zone.answered.total(now), zone.missed.total(now)
            gone = part[zone.place] < GONE * best
            if gone:
                zone.unreached = zone.alone = False
                if zone.back.state != OUT:
                    zone.back.lost(now)
            elif not zone.unreached:
                zone.back.there(now)
            seen = answered / (answered + missed) if answered + missed >= FEW else 1.0
            doubted = zone.place in doubts and not answered  # one's own answers go before all words
            self.counts["doubted"] += doubted and not zone.doubted
            zone.doubted = doubted
            zone.able = zone.listed * seen * zone.back.level * (not doubted)
            zone.alone = zone.alone and zone.back.state != UP
            agreed = zone.listed * (1.0 if zone.alone else zone.back.level) * (1 - troubled.get(zone.place, 0.0))
            views[zone.place] = View(zone.usual, zone.able, agreed)
        self.out = sum(zone.unreached or zone.doubted for zone in zones)
        self.nearest = min([zone.tier for zone in zones if zone.usual], default=0)
        self.keep, self.room = split(
            self.order,
            views,
            {zone: each.level for zone, each in self.gives.items()},
            self.zoning,
            troubled.get(self.own, 1.0) if alone else 1.0,
        )
        home = self.having[0][self.nearest]
        whole = len(home) == 1 and not self.out and not self.relay.rows[1] and self.keep[self.nearest] >= 1
        self.home = home[0] if whole and home[0].able > 0 else None

    # what is done
    def forward(self, invocation: Invocation, row: list[Unit]) -> bool:
        if not row:
            return False
        relay, home = self.relay, self.home
        if invocation.tier is None:  # one draw for the invocation, whatever build it ends at
            self.taken.add(relay.now)
            if home is not None:  # the ordinary case, kept cheap: nothing to weigh or draw
                invocation.tier = self.nearest
                if self.next.forward(invocation, home.rows[0]):
                    self.counts["kept"] += 1
                    return True
        side = relay.on_trial(row[0].build)
        if invocation.tier is None:
            invocation.tier = self.drawn(invocation)
            if self.out and self.looked(invocation, side):
                return True
        tried: list[int] = []
        for tier in self.ways(invocation, side):
            for zone in self.of(tier, side, tried):
                if tier > self.nearest and not self.may_spill(zone):
                    continue
                tried.append(zone.place)
                if self.next.forward(invocation, zone.rows[side]):
                    self.sent(zone)
                    return True
        self.counts["refused"] += 1  # one row; the other build's may still take it
        return False

    def looked(self, invocation: Invocation, side: int) -> bool:
        """Now and then one that may run again goes to a zone that was out of reach, to see whether it still is."""
        now = self.relay.now
        for zone in self.zones.values():
            if (
                (zone.doubted or zone.unreached and zone.back.state == OUT)
                and now >= zone.probe_at
                and zone.rows[side]
                and invocation.workload.effect == "harmless"
                and (zone.tier <= self.nearest or self.may_spill(zone))
            ):  # the stated limit holds for looks
                zone.probe_at = now + int((PROBE << min(zone.looks, SELDOM)) * (0.75 + 0.5 * self.random.share()))
                zone.looks += 1
                if self.next.forward(invocation, zone.rows[side]):
                    self.counts["probes"] += 1
                    self.sent(zone)
                    return True
        return False

    def drawn(self, invocation: Invocation) -> int:
        """The tier that it falls to by the shares; beyond the last: none may take it."""
        luck = self.random.share()
        for tier, part in enumerate(self.keep):
            luck -= part
            if luck < 0:
                return tier
        return len(self.order)

    def ways(self, invocation: Invocation, side: int) -> list[int]:
        """Tiers to try, in order: the drawn one, then what is nearer; for a build on trial whatever has units of it,
        for a further shot all there is."""
        here = self.here[side]
        if invocation.shots:  # a zone that has just failed it comes last
            failed = {self.zones[shot.unit.zone].tier for shot in invocation.shots if shot.unit.zone in self.zones}
            return [tier for tier in here if tier not in failed] + [tier for tier in here if tier in failed]
        if side:
            return here
        if invocation.tier >= len(self.order):
            return []
        if invocation.tier == self.nearest and len(here) == 1:
            return here
        if invocation.tier not in here:  # no earlier unit there: the next one that has some
            return [tier for tier in here if tier > invocation.tier] + [tier for tier in here if tier < invocation.tier]
        baseline_deficit = (
            self.relay.trial.baseline_deficit
        )  # far shots of the build on trial want a baseline as far away
        on_trial = bool(self.relay.rows[1])
        far = (
            [tier for tier in here if tier > self.nearest and baseline_deficit[tier - self.nearest] >= 1]
            if on_trial
            else []
        )
        if far and invocation.tier == self.nearest:
            self.counts["matched"] += 1
            return [far[0], self.nearest]
        return [invocation.tier] + [tier for tier in here if tier != invocation.tier]  # cold units refuse most

    def of(self, tier: int, side: int, tried: list[int]) -> list[Zone]:
        """The tier's zones that may be used, first one drawn by what may spill there, or by what they can do."""
        fit = [zone for zone in self.having[side][tier] if zone.able > 0 and zone.place not in tried]
        if len(fit) > 1:
            parts = [self.room.get(zone.place, 0.0) * self.gives[zone.place].level for zone in fit]
            if not any(parts):
                parts = [zone.able for zone in fit]
            luck, first = self.random.share() * sum(parts), fit[-1]
            for zone, part in zip(fit, parts):
                luck -= part
                if luck < 0:
                    first = zone
                    break
            fit = [first] + [zone for zone in fit if zone is not first]
        return fit

    def may_spill(self, zone: Zone) -> bool:
        """The stated limits, of this relay's own figures: a share of all, and a rate over the zone's own use.  One
        above is let through, so that a relay with little to do can spill at all."""
        now = self.relay.now
        taken, gone = self.taken.total(now), sum([ring.total(now) for ring in self.spilled.values()])
        limit = max(self.room.get(zone.place, 0.0), FAR / len(self.order[zone.tier].zones))
        return gone < self.zoning.spill_share * taken and self.spilled[zone.place].total(now) < limit * taken

    def sent(self, zone: Zone) -> None:
        far = zone.tier > self.nearest
        self.counts["spilled" if far else "kept"] += 1
        if far:
            self.spilled[zone.place].add(self.relay.now)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        zone = self.zones.get(shot.unit.zone)
        if zone is self.home and outcome == "served" and zone:  # the ordinary case: all that may be asked later is
            zone.answered.add(self.relay.now)  # whether it answered at all
            zone.row_of_misses = 0
        elif zone:
            now, invocation = self.relay.now, shot.invocation
            late = outcome not in IN_TIME or latency > LATE * invocation.workload.promised * max(1.0, invocation.size)
            if outcome in ANSWERED:
                zone.answered.add(now)
                zone.row_of_misses = zone.looks = 0
                if late:
                    zone.late.add(now)
                if zone.doubted:
                    zone.doubted = False
                    self.weigh()
            elif outcome in MISSED:
                zone.missed.add(now)
                self.missed(zone)
            if (zone.tier > self.nearest or zone.back.state != UP or zone.unreached) and outcome != "cancelled":
                self.learn(zone, outcome, late)
            if shot.unit.ejected_until > now:  # it goes to the end of its row, as in the rows of all zones
                for row in zone.rows:
                    row.sort(key=lambda other: other is shot.unit)
        self.before.backward(shot, outcome, latency)

    def missed(self, zone: Zone) -> None:
        """At once, not at the next beat: half a second of a lost zone's work is at stake."""
        zone.row_of_misses += 1
        if zone.row_of_misses >= UNANSWERED and zone.back.state != OUT:
            zone.unreached = zone.alone = True
            zone.back.lost(self.relay.now)
            self.weigh()
            self.send_note()
        elif zone.row_of_misses == DOUBTFUL and zone.place == self.own and zone.back.state == UP:
            self.weigh()  # until it is out of reach for sure what failed there needs room elsewhere
            self.send_note()

    def learn(self, zone: Zone, outcome: str, late: bool) -> None:
        if zone.tier > self.nearest:
            self.gives[zone.place].saw(late)
        if zone.back.state == RAMP:
            zone.back.saw(not late)
        if zone.unreached and outcome in ANSWERED:
            zone.unreached = False
            zone.missed = SlidingSum(self.zoning.span, BUCKETS)  # what was missed before says nothing now
            zone.back.there(self.relay.now)
