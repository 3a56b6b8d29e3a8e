"""Reports and digests of load as bytes.

A message is a head of 12 bytes and up to 20 rows of 12 bytes.  Its length is a multiple of four, at least 12, which no
other message between relays has (tealsail/notes.py, zone_reports.py): a relay that does not know the kind ignores it.
A unit goes by all 56 bits of its number, so that no two of 12,000 share theirs.  The check covers head and rows.
"""

import struct
from typing import NamedTuple
from zlib import crc32

REPORT, QUIET_REPORT, DIGEST = 0xD1, 0xD2, 0xD3  # kinds: a report, one that wants no digest, a digest
MOST_ROWS = 20  # 12 + 20 * 12 = 252 bytes, of 256 that a datagram between relays may have
PAUSE_STEP = 500  # tenths of a ms: the unit of a digest's `pause`
MEAN_STEPS = 256  # of one attempt: how finely a mean is told
UNIT_BITS = 56
HEAD = struct.Struct("<BBHII")
ROW = struct.Struct("<IHBBHBB")
PREFIX = struct.Struct("<BBHI")  # the head without its check
LOW_32, LOW_16 = 0xFFFFFFFF, 0xFFFF


class Row(NamedTuple):
    """Of one unit.  In a report: the sender's attempts there now and on average, how many ended and failed since its
    last report.  In a digest: the same of all other relays, but `ended` is how many relays were counted, and `failed`
    the part of their attempts that failed, in 255ths."""

    unit: int
    out: int
    mean: float
    ended: int
    failed: int


class Message(NamedTuple):
    """`epoch` is the start of the relay that reported, `sequence` its count of reports; a digest repeats both, and asks
    for no report within `pause` tenths of a ms."""

    kind: int
    pause: int
    sequence: int
    epoch: int
    rows: tuple[Row, ...]


def encode(message: Message) -> bytes:
    """At most 252 bytes; rows beyond the bound are left out, figures beyond a field's are cut to it."""
    body = b"".join([encode_row(row) for row in message.rows[:MOST_ROWS]])
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


def is_known(data: bytes) -> bool:
    """Whether its shape and first byte are of this kind of message; it may be spoilt all the same."""
    return len(data) >= HEAD.size and not len(data) % 4 and REPORT <= data[0] <= DIGEST


def decode(data: bytes) -> Message | None:
    """None for what is spoilt or of another kind."""
    if not is_known(data) or (len(data) - HEAD.size) % ROW.size or len(data) > HEAD.size + MOST_ROWS * ROW.size:
        return None
    kind, pause, sequence, epoch, check = HEAD.unpack_from(data)
    if crc32(data[HEAD.size :], crc32(data[: PREFIX.size])) != check:
        return None
    rows = [
        Row(low | middle << 32 | high << 48, out, mean / MEAN_STEPS, ended, failed)
        for low, middle, high, out, mean, ended, failed in ROW.iter_unpack(data[HEAD.size :])
    ]
    return Message(kind, pause * PAUSE_STEP, sequence, epoch, tuple(rows))
