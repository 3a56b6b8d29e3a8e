"""Reports that relays send each other about zones, and what may be concluded from them.

A relay reports only what it saw itself over the last span, and only while a zone is in trouble for it or for a relay
that reported so to it.  Each beat it sends to a few other relays, drawn again, so its traffic does not grow with the
fleet.  Reports are not passed on.  A report is three bytes and four for each zone, never as long as a verdict or counts
(tealsail/notes.py), whose readers ignore it.
"""

import struct
from collections import deque
from typing import NamedTuple

KIND = 0x7A  # first byte of a report
IN_TROUBLE = 1  # flag of a report
OWN_ZONE_IN_TROUBLE = 2  # flag of a report
MAX_ZONES = 63  # in a report: 3 + 4 * 63 bytes
MAX_REPORTS = 64  # kept, and rows of evidence
RECEIVERS = 3  # relays that a report is sent to each beat
MIN_OUTCOMES = 3  # answers and misses that a report needs on a zone to count
MIN_RELAYS = 3  # whose reports together can make a zone count as unreachable
MAX_EVIDENCE = 10  # answers of one relay that count as evidence
ALERT_TIME = 50_000  # tenths of a ms: a relay reports too for so long after it has received a report of trouble


class ZoneCounts(NamedTuple):
    """Outcomes in one zone over the last span: answers in time, late answers and errors, and no answer at all."""

    zone: int
    good: int
    late: int
    missed: int


class ZoneReport(NamedTuple):
    """`in_trouble`: some zone is not healthy for the sender.  `own_zone_in_trouble`: its own zone is not, by what it
    sees itself and not by the list of units."""

    sender_zone: int
    in_trouble: bool
    own_zone_in_trouble: bool
    zones: tuple[ZoneCounts, ...]


def encode(report: ZoneReport) -> bytes:
    """At most 255 bytes.  Of more zones than a report holds, those with the most misses and late answers are kept;
    zones whose number does not fit a byte are left out, counts beyond a byte are cut to it."""
    rows = [counts for counts in report.zones if counts.zone <= 255]
    if len(rows) > MAX_ZONES:
        rows = sorted(rows, key=lambda counts: (-counts.missed - counts.late, -counts.good, counts.zone))[:MAX_ZONES]
    flat = [min(255, figure) for counts in rows for figure in counts]
    return struct.pack(
        f"BBB{len(flat)}B",
        KIND,
        report.sender_zone & 0xFF,
        IN_TROUBLE * report.in_trouble + OWN_ZONE_IN_TROUBLE * report.own_zone_in_trouble,
        *flat,
    )


def decode(data: bytes) -> ZoneReport | None:
    """None for other messages.  Of a zone that is named twice the first row counts."""
    if len(data) < 3 or len(data) > 255 or data[0] != KIND or (len(data) - 3) % 4:
        return None
    rows: dict[int, ZoneCounts] = {}
    for place in range(3, len(data), 4):
        rows.setdefault(data[place], ZoneCounts(*data[place : place + 4]))
    return ZoneReport(data[1], bool(data[2] & IN_TROUBLE), bool(data[2] & OWN_ZONE_IN_TROUBLE), tuple(rows.values()))


class ReceivedReports:
    """The latest report of each sender, the oldest replaced where there are too many.  All times are tenths of a ms."""

    def __init__(self, lifetime: int) -> None:
        """`lifetime`: how long a report counts."""
        self.lifetime = lifetime
        self.reports: dict[int, tuple[int, ZoneReport]] = {}  # sender -> when it came, and the report
        self.counted_at: dict[int, int] = {}  # sender -> when its answers last counted as evidence
        self.new_evidence: deque[ZoneCounts] = deque(maxlen=MAX_REPORTS)
        self.trouble_at = -1 << 60  # when the last report of trouble came

    def add(self, sender: int, report: ZoneReport, now: int) -> None:
        self.reports.pop(sender, None)
        if len(self.reports) >= MAX_REPORTS:
            oldest = next(iter(self.reports))
            del self.reports[oldest]
            self.counted_at.pop(oldest, None)
        self.reports[sender] = now, report
        if report.in_trouble:
            self.trouble_at = now
        # Answers that two reports of one relay both hold count once.
        if now >= self.counted_at.get(sender, -1 << 60) + self.lifetime // 2:
            self.counted_at[sender] = now
            self.new_evidence.extend(counts for counts in report.zones if counts.good + counts.late)

    def is_alert(self, now: int) -> bool:
        """Whether a report of trouble came within ALERT_TIME."""
        return now < self.trouble_at + ALERT_TIME

    def forget_old(self, now: int) -> None:
        """Drops reports older than their lifetime; to be called each beat."""
        old = [sender for sender, (at, _) in self.reports.items() if now >= at + self.lifetime]
        for sender in old:
            del self.reports[sender]
            self.counted_at.pop(sender, None)

    def unreachable_zones(self) -> set[int]:
        """Zones that several relays report as unreachable.

        Relays of one zone count as one voter together: a zone whose network is cut off from another cannot turn the
        rest of the fleet away from it while a second zone reaches it.
        """
        votes: dict[int, dict[int, list[bool]]] = {}  # zone -> zone of the senders -> reached, by sender
        for _, report in self.reports.values():
            for counts in report.zones:
                if counts.good + counts.late + counts.missed >= MIN_OUTCOMES:
                    votes.setdefault(counts.zone, {}).setdefault(report.sender_zone, []).append(
                        counts.good + counts.late >= counts.missed
                    )
        found = set()
        for zone, senders in votes.items():
            reached = sum(2 * sum(each) >= len(each) for each in senders.values())
            if sum(len(each) for each in senders.values()) >= MIN_RELAYS and 2 * reached < len(senders):
                found.add(zone)
        return found

    def parts_in_trouble(self, own_zone: int, own_zone_in_trouble: bool) -> dict[int, float]:
        """By zone, the part (0 to 1) of its own relays, among those that reported, that see it in trouble that the list
        does not show.

        In its own zone a relay counts itself too (`own_zone_in_trouble`) if another relay of that zone has reported;
        without any report nothing is agreed.
        """
        by_zone: dict[int, list[bool]] = {}
        for _, report in self.reports.values():
            by_zone.setdefault(report.sender_zone, []).append(report.own_zone_in_trouble)
        if own_zone in by_zone:
            by_zone[own_zone].append(own_zone_in_trouble)
        return {zone: sum(each) / len(each) for zone, each in by_zone.items()}

    def take_evidence(self) -> list[ZoneCounts]:
        """Answers that other relays had, since the last call: each relay's once a span and at most MAX_EVIDENCE of
        them.  Misses are left out, since they may be the sender's own trouble."""
        found = [ZoneCounts(counts.zone, *scaled(counts.good, counts.late), 0) for counts in self.new_evidence]
        self.new_evidence.clear()
        return found


def scaled(good: int, late: int) -> tuple[int, int]:
    """Both counts, scaled down in their proportion to at most MAX_EVIDENCE together."""
    whole = good + late
    if whole <= MAX_EVIDENCE:
        return good, late
    bad = round(MAX_EVIDENCE * late / whole)
    return MAX_EVIDENCE - bad, bad
