"""What relays tell each other about zones, and what may be believed of it.

A relay tells only what it saw itself over the last span, and only while a zone is in trouble for it or for somebody who
told it so: to a few others each beat, drawn anew, so that what is sent does not grow with the relays.  Nobody passes on
what was told.  A word is three bytes and four for each zone, never as long as a verdict or counts (tealsail/notes.py),
which pass it over.
"""

import struct
from collections import deque
from typing import NamedTuple

KIND, TROUBLE, ALONE = 0x7A, 1, 2  # of a word; its flags
MOST_ZONES = 63  # of a word: 3 + 4 * 63 bytes
MOST_WORDS = 64  # kept
LISTENERS = 3  # told each beat
SAYS = 3  # answers and misses that make a relay's word on a zone one
ENOUGH = 3  # relays whose words can cast doubt
EACH = 10  # answers of one relay that count as evidence
ALERT = 50_000  # tenths of a ms after a word of trouble in which one tells too


class Seen(NamedTuple):
    """Of a zone over the last span: answers in time, late ones (and errors), and no answer at all."""

    zone: int
    good: int
    late: int
    missed: int


class Word(NamedTuple):
    own: int  # the sender's zone
    trouble: bool  # a zone is not whole for the sender
    alone: bool  # its own is not, by what it sees itself and not by the list
    zones: tuple[Seen, ...]


def encode(word: Word) -> bytes:
    """At most 255 bytes: the zones with the most to tell where there are more than a word holds, and none whose place a
    byte does not hold."""
    rows = [seen for seen in word.zones if seen.zone <= 255]
    if len(rows) > MOST_ZONES:
        rows = sorted(rows, key=lambda seen: (-seen.missed - seen.late, -seen.good, seen.zone))[:MOST_ZONES]
    flat = [min(255, figure) for seen in rows for figure in seen]
    return struct.pack(f"BBB{len(flat)}B", KIND, word.own & 0xFF, TROUBLE * word.trouble + ALONE * word.alone, *flat)


def decode(data: bytes) -> Word | None:
    """None for what is no word.  Of a zone that is named twice the first counts."""
    if len(data) < 3 or len(data) > 255 or data[0] != KIND or (len(data) - 3) % 4:
        return None
    rows: dict[int, Seen] = {}
    for place in range(3, len(data), 4):
        rows.setdefault(data[place], Seen(*data[place : place + 4]))
    return Word(data[1], bool(data[2] & TROUBLE), bool(data[2] & ALONE), tuple(rows.values()))


class Hearsay:
    """The latest words of others, one a sender; the oldest goes where there are too many."""

    def __init__(self, fresh: int) -> None:
        self.fresh = fresh  # tenths of a ms for which a word says something
        self.words: dict[int, tuple[int, Word]] = {}
        self.counted: dict[int, int] = {}  # sender -> when its answers last counted as evidence
        self.news: deque[Seen] = deque(maxlen=MOST_WORDS)
        self.trouble_at = -1 << 60

    def add(self, sender: int, word: Word, now: int) -> None:
        self.words.pop(sender, None)
        if len(self.words) >= MOST_WORDS:
            oldest = next(iter(self.words))
            del self.words[oldest]
            self.counted.pop(oldest, None)
        self.words[sender] = now, word
        if word.trouble:
            self.trouble_at = now
        if now >= self.counted.get(sender, -1 << 60) + self.fresh // 2:  # what two words both hold counts once
            self.counted[sender] = now
            self.news.extend(seen for seen in word.zones if seen.good + seen.late)

    def alert(self, now: int) -> bool:
        return now < self.trouble_at + ALERT

    def forget(self, now: int) -> None:
        """What is too old; call it each beat."""
        old = [sender for sender, (at, _) in self.words.items() if now >= at + self.fresh]
        for sender in old:
            del self.words[sender]
            self.counted.pop(sender, None)

    def doubts(self) -> set[int]:
        """Zones out of reach by the words of several relays.  Relays of one zone have one voice together, so a zone's
        network that is cut off from another talks nobody out of it while a second zone reaches it."""
        voices: dict[int, dict[int, list[bool]]] = {}  # zone -> the tellers' zones -> reached or not
        for _, word in self.words.values():
            for seen in word.zones:
                if seen.good + seen.late + seen.missed >= SAYS:
                    voices.setdefault(seen.zone, {}).setdefault(word.own, []).append(
                        seen.good + seen.late >= seen.missed
                    )
        found = set()
        for zone, tellers in voices.items():
            reached = sum(2 * sum(each) >= len(each) for each in tellers.values())
            if sum(len(each) for each in tellers.values()) >= ENOUGH and 2 * reached < len(tellers):
                found.add(zone)
        return found

    def troubled(self, own: int, alone: bool) -> dict[int, float]:
        """By zone, the part of its own relays, of those heard, for which it is in trouble that the list does not
        show.  In its own zone a relay that has heard another counts itself (`alone`) too; with nobody heard nothing
        is agreed."""
        heard: dict[int, list[bool]] = {}
        for _, word in self.words.values():
            heard.setdefault(word.own, []).append(word.alone)
        if own in heard:
            heard[own].append(alone)
        return {zone: sum(each) / len(each) for zone, each in heard.items()}

    def evidence(self) -> list[Seen]:
        """Answers that others had, each relay's once a span and no more than a few, since this was last asked.
        Misses are left out: they may be the teller's own trouble."""
        found = [Seen(seen.zone, *scaled(seen.good, seen.late), 0) for seen in self.news]
        self.news.clear()
        return found


def scaled(good: int, late: int) -> tuple[int, int]:
    """At most EACH of both, in their proportion."""
    whole = good + late
    if whole <= EACH:
        return good, late
    bad = round(EACH * late / whole)
    return EACH - bad, bad
