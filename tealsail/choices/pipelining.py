"""How many of the requests that a client pipelines on one connection are in progress at once.

Guards against a request that waits for an unrelated slow one before it: only the answers have to keep their order.
"""

MAX_AT_ONCE = 32  # requests of one connection in progress, or answered behind an earlier one; few clients send so many
MAX_ANSWER_BYTES = 64 * 1024  # of one connection's answers that wait for an earlier one; one value may be as long
READ_BYTES = 4096  # of one connection in one turn of the event loop, so that others have their turn
LARGE_READ_BYTES = 32 * 1024  # the same in the middle of a large message, or where all is dropped
TURN_TIME = 100  # tenths of a ms of a turn of the event loop in which queries are begun
MAX_ANSWER_BYTES_IN_ALL = 2 * 1024 * 1024  # of all connections together, in a process of 32 MB


def may_begin(at_once: int, answer_bytes: int, answer_bytes_in_all: int) -> bool:
    """Whether a connection may begin its next request; a first one always may.

    `at_once` requests are begun and not written back yet.  The answers that wait among them hold `answer_bytes` bytes,
    those of all connections `answer_bytes_in_all`.
    """
    if not at_once:
        return True
    has_room = answer_bytes < MAX_ANSWER_BYTES and answer_bytes_in_all < MAX_ANSWER_BYTES_IN_ALL
    return has_room and at_once < MAX_AT_ONCE


def is_time_left(used: int) -> bool:
    """Whether a turn of the event loop that has taken so long (tenths of a ms) may begin another query."""
    return used < TURN_TIME


def read_size(missing: int) -> int:
    """How many bytes to read of a connection in a turn, where so many of a message that has begun are missing."""
    return min(LARGE_READ_BYTES, max(READ_BYTES, missing))
