"""How many of the requests that a client writes one behind another on a connection are under way at once.

Guards against a request that spends its time behind a slow one which has nothing to do with it: only the answers have
to keep their order.
"""

MAX_AT_ONCE = 32  # requests of one connection under way, or answered and behind an earlier one; few write so many
MAX_ANSWER_BYTES = 64 * 1024  # of a connection's answers that wait for an earlier one; a value may be as long
MAX_ANSWER_BYTES_IN_ALL = 2 * 1024 * 1024  # of all connections' together, in 32 MB of memory


def may_begin(at_once: int, answer_bytes: int, answer_bytes_in_all: int) -> bool:
    """Whether a connection may begin its next request: `at_once` are begun and not written back yet, and the answers
    that are known among them hold so many bytes.  A first one always may."""
    if not at_once:
        return True
    has_room = answer_bytes < MAX_ANSWER_BYTES and answer_bytes_in_all < MAX_ANSWER_BYTES_IN_ALL
    return has_room and at_once < MAX_AT_ONCE
