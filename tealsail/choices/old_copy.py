"""The list of units that a new process was started with, until discovery's first list has come.

Where lists are pushed, what the agent of a relay's machine has counts as known to the relay from the process's first
moment, so the old copy may be used only for the drain's grace.  While the agent is silent, relays that have had a list
of discovery since their start tell which part of the old copy agrees with theirs.  Units are dealt into groups by their
number, and one hash stands for all of a group, so a question has the same size however long the list is.
"""

import struct
from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

from ..parts import RandomGenerator, stable_hash
from ..time_limits import MAX_HOLD_UP

GROUPS = 30  # 8 + 30 * 8 = 248 bytes, of 256 that a datagram between relays may have
# Kinds of messages.  Their lengths are multiples of four above four, which relays that do not know them ignore.
QUESTION = 0xE1
ANSWER = 0xE2
HEAD = struct.Struct("<BBHI")  # kind, number of groups, the asker's mark, checksum
PREFIX = struct.Struct("<BBH")  # the head without its checksum
HASHES = struct.Struct(f"<{GROUPS}Q")
MASK = struct.Struct("<I")  # a bit for each group
ASKED_AT_ONCE = 3  # relays
ENOUGH_ANSWERS = 2
FIRST_QUESTION_S = 0.1  # after the relay's start: usually the list has come by then
QUICK_QUESTIONS = 20  # rounds of questions before they become rarer
QUICK_INTERVAL_S = 0.1  # between rounds of questions
SLOW_INTERVAL_S = 1.0  # the same after QUICK_QUESTIONS


class UnitIdentity(NamedTuple):
    """What makes a listed unit the same one: its build, and its start in Unix milliseconds."""

    build: int
    started_ms: float


def expiry(process_started_at: int, drain_grace: int) -> int:
    """When the old copy may be used no longer, in tenths of a ms as the arguments are: the process may be held up."""
    return process_started_at + max(0, drain_grace - MAX_HOLD_UP)


def group_hashes(units: Mapping[int, UnitIdentity]) -> tuple[int, ...]:
    """The hash of each group of listed units, by the unit's number."""
    hashes = [0] * GROUPS
    for number, unit in units.items():
        hashes[number % GROUPS] ^= stable_hash(number, unit.build, int(unit.started_ms))
    return tuple(hashes)


def encode(kind: int, mark: int, body: bytes) -> bytes:
    prefix = PREFIX.pack(kind, GROUPS, mark)
    return prefix + MASK.pack(crc32(body, crc32(prefix))) + body


def decode(data: bytes, kind: int, body_size: int) -> tuple[int, bytes] | None:
    """The asker's mark and the body; None for other messages and damaged ones."""
    if len(data) != HEAD.size + body_size:
        return None
    found, groups, mark, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    is_intact = checksum == crc32(body, crc32(data[: PREFIX.size]))
    return (mark, body) if found == kind and groups == GROUPS and is_intact else None


def is_question(data: bytes) -> bool:
    """Whether another relay asks about its old copy."""
    return decode(data, QUESTION, HASHES.size) is not None


def answer(data: bytes, hashes: tuple[int, ...]) -> bytes:
    """The answer of a relay whose list has these hashes to a question, which `is_question` has accepted."""
    mark, body = decode(data, QUESTION, HASHES.size)
    pairs = zip(HASHES.unpack(body), hashes)
    return encode(ANSWER, mark, MASK.pack(sum((theirs == ours) << group for group, (theirs, ours) in enumerate(pairs))))


class OldCopy:
    """One process's old copy, and what other relays have said of it."""

    def __init__(self, units: Mapping[int, UnitIdentity], chance: RandomGenerator, index: int, relays: int) -> None:
        """`index` is this relay's number of `relays`."""
        self.numbers = list(units)
        self.others = [number for number in range(relays) if number != index]
        self.chance = chance
        self.mark = int(chance.share() * 0x10000)  # tells answers to this process from those to an earlier one
        self.question = encode(QUESTION, self.mark, HASHES.pack(*group_hashes(units)))
        self.rounds = self.answers = 0
        self.agreed = self.denied = 0  # masks of groups

    def ask(self) -> list[int]:
        """The relays that `question` is sent to now; none once enough have answered."""
        if self.answers >= ENOUGH_ANSWERS:
            return []
        self.rounds += 1
        others = list(self.others)
        return [others.pop(int(self.chance.share() * len(others))) for _ in range(min(ASKED_AT_ONCE, len(others)))]

    def next_round_s(self) -> float:
        """Seconds until the next round of questions."""
        return QUICK_INTERVAL_S if self.rounds < QUICK_QUESTIONS else SLOW_INTERVAL_S

    def receive(self, data: bytes) -> bool:
        """Takes a message; returns whether it was an answer to this process."""
        found = decode(data, ANSWER, MASK.size)
        if found is None or found[0] != self.mark:
            return False
        (mask,) = MASK.unpack(found[1])
        self.answers += 1
        self.agreed |= mask
        self.denied |= ~mask
        return True

    def confirmed(self) -> frozenset[int]:
        """The units in groups that another relay has listed alike, and none otherwise."""
        mask = self.agreed & ~self.denied
        return frozenset(number for number in self.numbers if mask >> number % GROUPS & 1)
