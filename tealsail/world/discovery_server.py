"""The list's keeper where relays ask for lists: so many questions at a time, each of them some work."""

from collections import deque


class Keeper:
    """A stand-in that holds so few questions at a time and works them off one by one, those as well that nobody waits
    for any longer; a whole list is more work than what is new.  Times are seconds."""

    HOLDS, WHOLE, NEW, PATIENCE = 8, 0.45, 0.1, 2.0  # questions; for each; until an asker is told: no answer

    def __init__(self) -> None:
        self.free_at = 0.0
        self.held: deque[float] = deque()  # when each will have been worked off

    def ask(self, now: float, whole: bool) -> tuple[float, bool]:
        """When the answer comes, and whether it is one."""
        while self.held and self.held[0] <= now:
            self.held.popleft()
        if len(self.held) >= self.HOLDS:
            return now, False
        self.free_at = max(now, self.free_at) + (self.WHOLE if whole else self.NEW)
        self.held.append(self.free_at)
        done = self.free_at - now <= self.PATIENCE
        return (self.free_at if done else now + self.PATIENCE), done
