"""Ids of requests that may have run, so that none runs again when its id comes again.

Each class of requests keeps its latest ones, so that a flood of one class pushes out none of another.
"""

from collections import deque
from hashlib import blake2b

MAX_RECENT_IDS = 8192  # of all classes together, in about 0.8 MB
MIN_RECENT_IDS = 256  # of a class


def must_be_remembered(effect: str, may_have_run: bool, has_client_left: bool) -> bool:
    """Whether the id of a request that is over may not be taken again.

    `effect` is its class's, as the settings name it (tealsail/settings.py).  What does no harm if it runs again counts
    only where its client has left.
    """
    return may_have_run and (has_client_left or effect != "harmless")


class RecentIds:
    """The latest ids of each class of requests, as 64-bit hashes."""

    def __init__(self, classes: int) -> None:
        """`classes`: how many there are."""
        self.capacity = max(MIN_RECENT_IDS, MAX_RECENT_IDS // max(1, classes))
        self.known: set[bytes] = set()
        self.by_class: dict[str, deque[bytes]] = {}

    def add(self, identifier: bytes, request_class: str) -> None:
        """Remember an id; the oldest of its class may be forgotten for it."""
        digest = digest_of(identifier)
        if digest in self.known:
            return
        latest = self.by_class.setdefault(request_class, deque())
        if len(latest) >= self.capacity:
            self.known.discard(latest.popleft())
        latest.append(digest)
        self.known.add(digest)

    def __contains__(self, identifier: bytes) -> bool:
        return digest_of(identifier) in self.known


def digest_of(identifier: bytes) -> bytes:
    """What stands for an id, of 8 bytes whatever its length."""
    return blake2b(identifier, digest_size=8).digest()
