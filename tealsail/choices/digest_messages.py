"""Encoding of load reports and load digests.

A message is a head of 12 bytes and up to 20 rows of 12 bytes.  Its length is a multiple of four and at least 12, which
no other message between relays has (tealsail/notes.py, zone_reports.py), so a relay that does not know the kind ignores
it.  A row names its unit by all 56 bits of the number, so that no two of 12,000 units are confused.  The checksum
covers head and rows.
"""

import struct
from typing import NamedTuple
from zlib import crc32

REPORT = 0xD1  # kind: a report that asks for a digest
QUIET_REPORT = 0xD2  # kind: a report that asks for none
DIGEST = 0xD3  # kind: a digest
MAX_ROWS = 20  # 12 + 20 * 12 = 252 bytes, of 256 that a datagram between relays may have
PAUSE_STEP = 500  # tenths of a ms: the unit of a digest's `pause`
MEAN_STEPS = 256  # of one shot: the resolution of a mean
UNIT_BITS = 56  # of a unit's number
HEAD = struct.Struct("<BBHII")  # kind, pause, sequence, epoch, checksum
ROW = struct.Struct("<IHBBHBB")  # unit's low 32, middle 16 and high 8 bits, out, mean, ended, failed
PREFIX = struct.Struct("<BBHI")  # the head without its checksum
LOW_32 = 0xFFFFFFFF
LOW_16 = 0xFFFF


class Row(NamedTuple):
    """Load of one unit.

    In a report: the sender's shots out there, now and on average, and how many ended and failed since its last report.
    In a digest: `out` and `mean` of all other relays together, in `ended` how many relays those are, and in `failed`
    the part of their shots that failed, in 255ths.
    """

    unit: int
    out: int
    mean: float
    ended: int
    failed: int


class Message(NamedTuple):
    """`epoch` is the start of the relay that reports, `sequence` its count of reports; a digest repeats both, and asks
    for no report within `pause` tenths of a ms."""

    kind: int
    pause: int
    sequence: int
    epoch: int
    rows: tuple[Row, ...]


def encode(message: Message) -> bytes:
    """At most 252 bytes; rows beyond MAX_ROWS are left out, figures beyond their field's range are cut to it."""
    body = b"".join([encode_row(row) for row in message.rows[:MAX_ROWS]])
    pause = min(255, -(-message.pause // PAUSE_STEP))
    prefix = PREFIX.pack(message.kind, pause, message.sequence & LOW_16, message.epoch & LOW_32)
    return prefix + struct.pack("<I", crc32(body, crc32(prefix))) + body


def encode_row(row: Row) -> bytes:
    unit = row.unit
    mean = min(LOW_16, round(row.mean * MEAN_STEPS))
    return ROW.pack(
        unit & LOW_32,
        unit >> 32 & LOW_16,
        unit >> 48 & 0xFF,
        min(255, row.out),
        mean,
        min(255, row.ended),
        min(255, row.failed),
    )


def has_known_shape(data: bytes) -> bool:
    """Whether length and first byte are those of a report or digest; the rest may still be corrupt."""
    return len(data) >= HEAD.size and not len(data) % 4 and REPORT <= data[0] <= DIGEST


def decode(data: bytes) -> Message | None:
    """None for corrupt and other messages."""
    if not has_known_shape(data) or (len(data) - HEAD.size) % ROW.size or len(data) > HEAD.size + MAX_ROWS * ROW.size:
        return None
    kind, pause, sequence, epoch, checksum = HEAD.unpack_from(data)
    if crc32(data[HEAD.size :], crc32(data[: PREFIX.size])) != checksum:
        return None
    rows = [
        Row(low | middle << 32 | high << 48, out, mean / MEAN_STEPS, ended, failed)
        for low, middle, high, out, mean, ended, failed in ROW.iter_unpack(data[HEAD.size :])
    ]
    return Message(kind, pause * PAUSE_STEP, sequence, epoch, tuple(rows))
