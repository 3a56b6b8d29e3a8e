"""The stage between the choice of build and the choice of unit: which zone, by tiers, spill and recovery.

It keeps the rows of both builds by zone and passes on the row of one zone.  The limits on spill are enforced here, at
each send: a share of what this relay takes, and a rate relative to the other zone's own use.  What other relays report
of zones (zone_reports.py) counts only where this relay has seen nothing itself, never against its own answers.
"""

from ..parts import ChainStage, Invocation, RandomGenerator, Shot, SlidingSum, Unit, stable_hash
from .spill import SpillFactor, ZoneView, split
from .tiers import Zoning, tiers
from .zone_recovery import OUT, RAMP, UP, ZoneRecovery
from .zone_reports import RECEIVERS, ReceivedReports, ZoneCounts, ZoneReport, decode, encode

ANSWERED = ("served", "error", "full")  # outcomes that show that the zone is reachable
IN_TIME = ("served", "full", "moot")  # outcomes that are not late, if they come soon enough
MISSED = ("unreachable", "reset", "timeout")  # outcomes without an answer
LOST_BELOW = 0.5  # a zone with less than this part of its usual weight, relative to the best zone, is lost
UNREACHABLE_MISSES = 5  # misses in a row that make a zone unreachable
DOUBTFUL_MISSES = 2  # misses in a row that make a relay report its own zone in trouble
MIN_OUTCOMES = 5  # answers and misses from which a part is taken
PROBE_INTERVAL = 5_000  # tenths of a ms between probes of an unreachable zone, at first
MAX_PROBE_DOUBLINGS = 3  # of that interval
LATE_PART = 0.8  # a later answer than this part of the promise is late
FAR_SHARE = 0.05  # of what is taken: may go to a further tier for the trial's sake while nothing is short
BUCKETS = 20  # of each ring


class Zone:
    """One zone as this relay sees it."""

    def __init__(self, place: int, tier: int, zoning: Zoning, jitter: float) -> None:
        self.place, self.tier = place, tier
        self.rows: tuple[list[Unit], list[Unit]] = ([], [])  # of earlier builds, and on trial
        self.listed = self.usual = 0.0  # weight in the list now, and the highest of late
        self.usable = 0.0  # weight that this relay can use now
        self.recovery = ZoneRecovery(zoning, jitter)
        self.answered, self.missed = SlidingSum(zoning.span, BUCKETS), SlidingSum(zoning.span, BUCKETS)
        self.late = SlidingSum(zoning.span, BUCKETS)  # of those answered
        # When the next probe may go out (tenths of a ms), probes since the last answer, misses since the last answer.
        self.probe_at = self.probes = self.misses_in_row = 0
        self.is_unreachable = False  # by its silence, not by the list
        self.is_reported_unreachable = False  # by reports of others, with no answer to this relay against them
        self.has_unlisted_loss = False  # its present loss began with its silence, not with the list


class Zones(ChainStage):
    """Divides invocations among the zones; `arrange` is called when the list has changed, `beat` twice a second."""

    def __init__(self, relay, zoning: Zoning, own_zone: int, zone_count: int) -> None:
        """`own_zone`: the place of this relay's zone, of `zone_count` zones numbered from 0."""
        super().__init__(relay)
        # 17 makes these draws independent of others from the same state.
        self.zoning, self.random = zoning, RandomGenerator(stable_hash(relay.random.state, relay.index, 17))
        self.order = tiers(own_zone, zone_count, zoning)
        self.zones = {
            zone: Zone(zone, place, zoning, self.random.share())
            for place, tier in enumerate(self.order)
            for zone in tier.zones
        }
        self.spill_factors = {zone: SpillFactor() for zone in self.zones}
        self.shares = [1.0] + [0.0] * (len(self.order) - 1)  # of what is taken, by tier
        self.spill_limits: dict[int, float] = {}  # stated limits on that, by zone
        self.nearest = 0  # the first tier that has units
        self.with_units: list[list[list[Zone]]] = [[[] for _ in self.order] for _ in (0, 1)]  # zones, by side and tier
        self.tiers_with_units: list[list[int]] = [[], []]  # by side: earlier builds, on trial
        self.unreachable_count = 0  # zones that are unreachable, as far as is known
        self.only_zone: Zone | None = None  # takes all while no zone is unreachable, short or on trial
        self.taken = SlidingSum(zoning.span, BUCKETS)
        self.spilled = {zone: SlidingSum(zoning.span, BUCKETS) for zone in self.zones}
        self.counts = {"kept": 0, "spilled": 0, "refused": 0, "probes": 0, "matched": 0, "doubted": 0, "told": 0}
        relay.tier = self.tier
        self.reports, self.own_zone = ReceivedReports(2 * zoning.span), own_zone
        self.receive_other, relay.on_note = relay.on_note, self.receive

    def tier(self, unit: Unit) -> int:
        """How far a unit is, 0 for the nearest tier that has units."""
        zone = self.zones.get(unit.zone)
        return max(0, zone.tier - self.nearest) if zone else len(self.order)

    # State of the zones
    def arrange(self) -> None:
        """Takes over the changed list."""
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
        self.with_units = [
            [
                [zone for zone in self.zones.values() if zone.tier == tier and zone.rows[side]]
                for tier in range(len(self.order))
            ]
            for side in (0, 1)
        ]
        self.tiers_with_units = [
            [tier for tier, zones in enumerate(with_units) if zones] for with_units in self.with_units
        ]
        self.update_shares()

    def beat(self) -> None:
        # A beat comes every 5,000 tenths of a ms.
        now, fade = self.relay.now, 0.5 ** (5_000 / self.zoning.memory)
        usual = self.taken.total(now) * self.zoning.step / self.zoning.span
        for zone in self.zones.values():
            zone.usual = max(zone.listed, zone.usual * fade)
            zone.recovery.update(now, usual)
        for factor in self.spill_factors.values():
            factor.update(self.zoning.late_part)
        self.reports.forget_old(now)
        for counts in self.reports.take_evidence():  # a relay with little traffic learns from those with more
            zone = self.zones.get(counts.zone)
            if zone and zone.recovery.state == RAMP:
                zone.recovery.record_reported(counts.good, counts.late)
            if zone and counts.good and zone.probes:  # others reach it: probe again soon
                zone.probes, zone.probe_at = 0, min(zone.probe_at, now + PROBE_INTERVAL)
        self.update_shares()
        self.send_reports()

    def receive(self, sender: int, data: bytes) -> None:
        """A message from another relay; what is no zone report is passed on to the judges."""
        report = decode(data)
        if report is None:
            return self.receive_other(sender, data)
        self.reports.add(sender, report, self.relay.now)
        if self.own_zone_in_trouble():  # its limits depend on whether others of its zone are in the same trouble
            self.update_shares()

    def own_zone_in_trouble(self) -> bool:
        """Whether this relay's zone is in trouble by what the relay sees itself and not by the list."""
        zone = self.zones[self.own_zone]
        return zone.has_unlisted_loss or zone.misses_in_row >= DOUBTFUL_MISSES

    def send_reports(self) -> None:
        """Reports what was seen of late, while there is trouble, to a few relays, drawn again each time."""
        relay, now, facts = self.relay, self.relay.now, self.relay.facts
        in_trouble = self.own_zone_in_trouble() or any(
            zone.is_unreachable or zone.recovery.state != UP for zone in self.zones.values()
        )
        if not facts["may_tell"] or not (in_trouble or self.reports.is_alert(now)):
            return
        rows = []
        for zone in self.zones.values():
            answered, late, missed = (int(ring.total(now)) for ring in (zone.answered, zone.late, zone.missed))
            if zone.is_unreachable:  # answers are older, and probes are rare: the misses that made it so count on
                answered, late, missed = 0, 0, max(missed, UNREACHABLE_MISSES)
            if answered + missed:
                rows.append(ZoneCounts(zone.place, max(0, answered - late), late, missed))
        if not rows and not in_trouble:
            return
        data, others = (
            encode(ZoneReport(self.own_zone, in_trouble, self.own_zone_in_trouble(), tuple(rows))),
            facts["relays"] - 1,
        )
        for _ in range(min(RECEIVERS, others)):
            to = int(self.random.share() * others)
            self.counts["told"] += 1
            relay.host.send_note(to + (to >= relay.index), data)

    def update_shares(self) -> None:
        """Works out what each zone can do, which are lost or back, and from that the tiers' shares."""
        now, zones = self.relay.now, list(self.zones.values())
        part = {zone.place: zone.listed / zone.usual if zone.usual else 0.0 for zone in zones}
        best, unreachable = max(part.values()), self.reports.unreachable_zones()
        own_zone_in_trouble = self.own_zone_in_trouble()
        parts_in_trouble = self.reports.parts_in_trouble(self.own_zone, own_zone_in_trouble)
        views = {}
        for zone in zones:
            answered, missed = zone.answered.total(now), zone.missed.total(now)
            lost = part[zone.place] < LOST_BELOW * best
            if lost:
                zone.is_unreachable = zone.has_unlisted_loss = False
                if zone.recovery.state != OUT:
                    zone.recovery.mark_lost(now)
            elif not zone.is_unreachable:
                zone.recovery.mark_available(now)
            seen = answered / (answered + missed) if answered + missed >= MIN_OUTCOMES else 1.0
            reported_unreachable = zone.place in unreachable and not answered  # its own answers outweigh all reports
            self.counts["doubted"] += reported_unreachable and not zone.is_reported_unreachable
            zone.is_reported_unreachable = reported_unreachable
            zone.usable = zone.listed * seen * zone.recovery.level * (not reported_unreachable)
            zone.has_unlisted_loss = zone.has_unlisted_loss and zone.recovery.state != UP
            agreed = (
                zone.listed
                * (1.0 if zone.has_unlisted_loss else zone.recovery.level)
                * (1 - parts_in_trouble.get(zone.place, 0.0))
            )
            views[zone.place] = ZoneView(zone.usual, zone.usable, agreed)
        self.unreachable_count = sum(zone.is_unreachable or zone.is_reported_unreachable for zone in zones)
        self.nearest = min([zone.tier for zone in zones if zone.usual], default=0)
        self.shares, self.spill_limits = split(
            self.order,
            views,
            {zone: each.level for zone, each in self.spill_factors.items()},
            self.zoning,
            parts_in_trouble.get(self.own_zone, 1.0) if own_zone_in_trouble else 1.0,
        )
        near = self.with_units[0][self.nearest]
        whole = (
            len(near) == 1 and not self.unreachable_count and not self.relay.rows[1] and self.shares[self.nearest] >= 1
        )
        self.only_zone = near[0] if whole and near[0].usable > 0 else None

    # Sending
    def forward(self, invocation: Invocation, row: list[Unit]) -> bool:
        if not row:
            return False
        relay, only_zone = self.relay, self.only_zone
        if invocation.tier is None:  # drawn once for an invocation, whichever build it goes to
            self.taken.add(relay.now)
            if only_zone is not None:  # the ordinary case, kept cheap: nothing to weigh or draw
                invocation.tier = self.nearest
                if self.next.forward(invocation, only_zone.rows[0]):
                    self.counts["kept"] += 1
                    return True
        side = relay.on_trial(row[0].build)
        if invocation.tier is None:
            invocation.tier = self.draw_tier(invocation)
            if self.unreachable_count and self.probe(invocation, side):
                return True
        tried: list[int] = []
        for tier in self.tiers_to_try(invocation, side):
            for zone in self.usable_zones(tier, side, tried):
                if tier > self.nearest and not self.may_spill(zone):
                    continue
                tried.append(zone.place)
                if self.next.forward(invocation, zone.rows[side]):
                    self.count_sent(zone)
                    return True
        self.counts["refused"] += 1  # for this row; the other build's may still take it
        return False

    def probe(self, invocation: Invocation, side: int) -> bool:
        """Sends an invocation that may run twice to an unreachable zone if a probe is due, to see whether it still is;
        returns whether it was sent."""
        now = self.relay.now
        for zone in self.zones.values():
            if (
                (zone.is_reported_unreachable or zone.is_unreachable and zone.recovery.state == OUT)
                and now >= zone.probe_at
                and zone.rows[side]
                and invocation.workload.effect == "harmless"
                and (zone.tier <= self.nearest or self.may_spill(zone))
            ):  # the stated limit holds for probes too
                zone.probe_at = now + int(
                    (PROBE_INTERVAL << min(zone.probes, MAX_PROBE_DOUBLINGS)) * (0.75 + 0.5 * self.random.share())
                )
                zone.probes += 1
                if self.next.forward(invocation, zone.rows[side]):
                    self.counts["probes"] += 1
                    self.count_sent(zone)
                    return True
        return False

    def draw_tier(self, invocation: Invocation) -> int:
        """A tier drawn by the shares; the number after the last: none may take the invocation."""
        draw = self.random.share()
        for tier, part in enumerate(self.shares):
            draw -= part
            if draw < 0:
                return tier
        return len(self.order)

    def tiers_to_try(self, invocation: Invocation, side: int) -> list[int]:
        """In order: the drawn tier, then nearer ones; for a build on trial all that have units of it, for a further
        shot all."""
        with_units = self.tiers_with_units[side]
        if invocation.shots:  # a tier that has just failed it comes last
            failed = {self.zones[shot.unit.zone].tier for shot in invocation.shots if shot.unit.zone in self.zones}
            return [tier for tier in with_units if tier not in failed] + [tier for tier in with_units if tier in failed]
        if side:
            return with_units
        if invocation.tier >= len(self.order):
            return []
        if invocation.tier == self.nearest and len(with_units) == 1:
            return with_units
        if invocation.tier not in with_units:  # no unit of earlier builds there: the next tier that has some
            return [tier for tier in with_units if tier > invocation.tier] + [
                tier for tier in with_units if tier < invocation.tier
            ]
        baseline_deficit = (
            self.relay.trial.baseline_deficit
        )  # far shots of the build on trial need a baseline from as far away
        on_trial = bool(self.relay.rows[1])
        far = (
            [tier for tier in with_units if tier > self.nearest and baseline_deficit[tier - self.nearest] >= 1]
            if on_trial
            else []
        )
        if far and invocation.tier == self.nearest:
            self.counts["matched"] += 1
            return [far[0], self.nearest]
        # All others after the drawn one, since cold units refuse most.
        return [invocation.tier] + [tier for tier in with_units if tier != invocation.tier]

    def usable_zones(self, tier: int, side: int, tried: list[int]) -> list[Zone]:
        """The tier's usable zones that were not tried; the first is drawn by what may spill there, or else by usable
        weight."""
        usable = [zone for zone in self.with_units[side][tier] if zone.usable > 0 and zone.place not in tried]
        if len(usable) > 1:
            parts = [self.spill_limits.get(zone.place, 0.0) * self.spill_factors[zone.place].level for zone in usable]
            if not any(parts):
                parts = [zone.usable for zone in usable]
            draw, first = self.random.share() * sum(parts), usable[-1]
            for zone, part in zip(usable, parts):
                draw -= part
                if draw < 0:
                    first = zone
                    break
            usable = [first] + [zone for zone in usable if zone is not first]
        return usable

    def may_spill(self, zone: Zone) -> bool:
        """Whether the stated limits allow one more shot there, by this relay's own counts: a share of all that it
        takes, and a rate relative to the zone's own use.  The shot that passes a limit is allowed, so that a relay with
        little traffic can spill at all."""
        now = self.relay.now
        taken, spilled = self.taken.total(now), sum([ring.total(now) for ring in self.spilled.values()])
        limit = max(self.spill_limits.get(zone.place, 0.0), FAR_SHARE / len(self.order[zone.tier].zones))
        return spilled < self.zoning.spill_share * taken and self.spilled[zone.place].total(now) < limit * taken

    def count_sent(self, zone: Zone) -> None:
        far = zone.tier > self.nearest
        self.counts["spilled" if far else "kept"] += 1
        if far:
            self.spilled[zone.place].add(self.relay.now)

    # Outcomes
    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        zone = self.zones.get(shot.unit.zone)
        if zone is self.only_zone and outcome == "served" and zone:  # the ordinary case: later questions are only
            zone.answered.add(self.relay.now)  # whether it answered at all
            zone.misses_in_row = 0
        elif zone:
            now, invocation = self.relay.now, shot.invocation
            late = outcome not in IN_TIME or latency > LATE_PART * invocation.workload.promised * max(
                1.0, invocation.size
            )
            if outcome in ANSWERED:
                zone.answered.add(now)
                zone.misses_in_row = zone.probes = 0
                if late:
                    zone.late.add(now)
                if zone.is_reported_unreachable:
                    zone.is_reported_unreachable = False
                    self.update_shares()
            elif outcome in MISSED:
                zone.missed.add(now)
                self.record_miss(zone)
            if (
                zone.tier > self.nearest or zone.recovery.state != UP or zone.is_unreachable
            ) and outcome != "cancelled":
                self.record_evidence(zone, outcome, late)
            if shot.unit.ejected_until > now:  # it goes to the end of its row, as in the rows over all zones
                for row in zone.rows:
                    row.sort(key=lambda other: other is shot.unit)
        self.before.backward(shot, outcome, latency)

    def record_miss(self, zone: Zone) -> None:
        """Acts at once, not at the next beat: half a second of a lost zone's work is at stake."""
        zone.misses_in_row += 1
        if zone.misses_in_row >= UNREACHABLE_MISSES and zone.recovery.state != OUT:
            zone.is_unreachable = zone.has_unlisted_loss = True
            zone.recovery.mark_lost(self.relay.now)
            self.update_shares()
            self.send_reports()
        elif zone.misses_in_row == DOUBTFUL_MISSES and zone.place == self.own_zone and zone.recovery.state == UP:
            self.update_shares()  # until the zone is unreachable for certain, what failed there needs room elsewhere
            self.send_reports()

    def record_evidence(self, zone: Zone, outcome: str, late: bool) -> None:
        if zone.tier > self.nearest:
            self.spill_factors[zone.place].record_answer(late)
        if zone.recovery.state == RAMP:
            zone.recovery.record_answer(not late)
        if zone.is_unreachable and outcome in ANSWERED:
            zone.is_unreachable = False
            zone.missed = SlidingSum(self.zoning.span, BUCKETS)  # earlier misses say nothing any more
            zone.recovery.mark_available(self.relay.now)
