"""A discovery server under load, for days on which relays ask for the list of units: a bounded queue of questions."""

from collections import deque


class DiscoveryServer:
    """Holds a limited number of questions and works on them one by one.

    It also works on questions whose relays have stopped waiting; a whole list is more work than the changes.  Times are
    seconds.
    """

    MOST_HELD = 8  # questions
    WHOLE_LIST_WORK = 0.45  # seconds
    CHANGES_WORK = 0.1  # seconds
    ANSWER_TIMEOUT = 2.0  # seconds until a relay stops waiting

    def __init__(self) -> None:
        self.free_at = 0.0
        self.held: deque[float] = deque()  # when the work on each held question ends

    def ask(self, now: float, whole: bool) -> tuple[float, bool]:
        """Returns when the question ends for the relay, and whether with an answer.  A full server rejects it at
        once."""
        while self.held and self.held[0] <= now:
            self.held.popleft()
        if len(self.held) >= self.MOST_HELD:
            return now, False
        self.free_at = max(now, self.free_at) + (self.WHOLE_LIST_WORK if whole else self.CHANGES_WORK)
        self.held.append(self.free_at)
        is_answered = self.free_at - now <= self.ANSWER_TIMEOUT
        return (self.free_at if is_answered else now + self.ANSWER_TIMEOUT), is_answered
