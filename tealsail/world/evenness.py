"""How even the load was over the fleet, from a record and nothing else; it shares no code with the decisions it looks
at.

- evenness: shots by unit over 5 s, the 99th of a hundred and the least over the median;
- waste: the share of shots that came to a unit with all cores busy while a sound unit of its build stood empty;
- herd: the most that any unit got within 100 ms, over its even share then (of a shot at the least);
- idle: the longest that a sound unit got nothing, in shots that its even share would have been;
- handshakes a second at one unit, the most;
- who acted for the fleet, by the word of most relays.

Beside each stands what independent even draws would have given: every shot drawn anew among the units that were open
to it.
"""

from collections import Counter, defaultdict
from typing import Any

from ..record.lines import ConnectionOpened, Head, Line, Log, RelayEvent, ShotAnswered, ShotEnded, ShotStarted, Unit
from .random_draws import Gaps

SPAN, HERD = 50_000, 1_000  # tenths of a ms: windows of evenness, of herds
FEWEST, THIN = 5, 10  # units of a build, shots for each of them in a window that counts
SECOND = 10_000
MOST_TOLD = 200  # changes of who acts
UNSOUND = ("hangs", "silent", "fails", "slows")


class Server:
    """A unit as the record has it."""

    __slots__ = ("build", "open", "sound", "hand", "even", "drawn_even")

    def __init__(self, build: int) -> None:
        self.build, self.open, self.sound, self.hand = build, True, True, 0
        self.even = self.drawn_even = (
            0.0  # the build's sum of even shares when it last got a shot; when it was last drawn
        )


class Window:
    """Counts of one build's shots by unit, and of even draws."""

    def __init__(self) -> None:
        self.begun, self.got, self.drawn = 0, Counter(), Counter()

    def restart(self, at: int) -> None:
        self.begun = at
        self.got.clear()
        self.drawn.clear()


class Evenness:
    """Feed it a record, line by line; then `close()`, `figures()`, `use()` and `owners`."""

    def __init__(self) -> None:
        self.cores = 1.0
        self.units: dict[str, Server] = {}
        self.open: dict[int, list[str]] = defaultdict(list)  # build -> units that are open
        self.empty: dict[int, set[str]] = defaultdict(set)  # and of these the sound ones with nothing in hand
        self.at: dict[tuple[int, int, int], str] = {}  # shots in units' hands
        self.sums: dict[int, float] = defaultdict(float)  # build -> even shares so far
        self.wide: dict[int, Window] = defaultdict(Window)
        self.brief: dict[int, Window] = defaultdict(Window)
        self.spread: list[tuple[float, float, float, float]] = []
        self.herd = self.herd_chance = self.idle = self.idle_chance = 0.0
        self.shots = self.wasted = 0
        self.by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.met: Counter[tuple[str, int]] = Counter()
        self.luck = Gaps(7, 7)
        self.words: dict[int, str] = {}  # relay -> who acts, by its word
        self.acting, self.keepers_at_once = "", 1
        self.owners: list[str] = []
        self.last = 0
        self.handlers = {
            Head: self.head,
            Unit: self.unit,
            ShotStarted: self.ran,
            ShotAnswered: self.done,
            ShotEnded: self.done,
            ConnectionOpened: self.meet,
            Log: self.log,
            RelayEvent: self.life,
        }

    def __call__(self, line: Line) -> None:
        self.last = line.at
        handler = self.handlers.get(type(line))
        if handler:
            handler(line)

    def head(self, line: Head) -> None:
        self.cores = float(line.day.get("unit", {}).get("cores", 2.0))

    # units
    def unit(self, line: Unit) -> None:
        name = line.unit
        if line.event == "runs":
            self.leave(name)
            one = self.units[name] = Server(line.build)
            one.even = one.drawn_even = self.sums[line.build]
            self.open[line.build].append(name)
            self.empty[line.build].add(name)
        elif line.event in ("dies", "fell", "gone", "drains"):
            self.leave(name)
            if line.event != "drains":
                self.units.pop(name, None)
        elif name in self.units and line.event in UNSOUND:
            self.units[name].sound = False
            self.empty[line.build].discard(name)
        elif name in self.units and line.event == "mends":
            one = self.units[name]
            one.sound, one.even = True, self.sums[one.build]
            if one.open and not one.hand:
                self.empty[one.build].add(name)

    def leave(self, name: str) -> None:
        """It is open no longer."""
        one = self.units.get(name)
        if one and one.open:
            self.rest(one)
            one.open = False
            self.open[one.build].remove(name)
            self.empty[one.build].discard(name)

    def rest(self, one: Server) -> None:
        """How long it has got nothing, up to now."""
        if one.open and one.sound:
            self.idle = max(self.idle, self.sums[one.build] - one.even)

    # shots
    def ran(self, line: ShotStarted) -> None:
        one = self.units.get(line.unit)
        if one is None:
            return
        key, build = (line.relay, line.number, line.place), one.build
        self.shots += 1
        self.by_second[line.unit][line.at // SECOND] += 1
        if one.hand >= self.cores and self.empty[build]:
            self.wasted += 1
        self.at[key] = line.unit
        one.hand += 1
        self.empty[build].discard(line.unit)
        if not one.open:
            return
        others = self.open[build]
        drawn = others[min(len(others) - 1, int(self.luck.share() * len(others)))]
        self.windows(line.at, build)
        for window in (self.wide[build], self.brief[build]):
            window.got[line.unit] += 1
            window.drawn[drawn] += 1
        self.rest(one)
        self.sums[build] += 1 / len(others)
        one.even = self.sums[build]
        by_chance = self.units[drawn]
        if by_chance.sound:
            self.idle_chance = max(self.idle_chance, self.sums[build] - by_chance.drawn_even)
        by_chance.drawn_even = self.sums[build]

    def windows(self, at: int, build: int) -> None:
        """Ends those of a build whose time is over."""
        wide, brief = self.wide[build], self.brief[build]
        if at >= brief.begun + HERD:
            self.end_brief(build, brief)
            brief.restart(at - at % HERD)
        if at >= wide.begun + SPAN:
            self.end_wide(build, wide)
            wide.restart(at - at % SPAN)

    def end_brief(self, build: int, window: Window) -> None:
        many = len(self.open[build])
        if window.got and many >= FEWEST:
            even = max(1.0, sum(window.got.values()) / many)
            self.herd = max(self.herd, max(window.got.values()) / even)
            self.herd_chance = max(self.herd_chance, max(window.drawn.values()) / even)

    def end_wide(self, build: int, window: Window) -> None:
        """Units that were open all the while: of those that came or went a part would be missed."""
        names = [name for name in self.open[build] if name in window.got or self.units[name].sound]
        if len(names) >= FEWEST and sum(window.got.values()) >= THIN * len(names):
            self.spread.append(
                (*spread([window.got[name] for name in names]), *spread([window.drawn[name] for name in names]))
            )

    def done(self, line: ShotAnswered | ShotEnded) -> None:
        self.ended((line.relay, line.number, line.place))

    def ended(self, key: tuple[int, int, int]) -> None:
        name = self.at.pop(key, None)
        one = self.units.get(name) if name else None
        if one and one.hand:
            one.hand -= 1
            if not one.hand and one.open and one.sound:
                self.empty[one.build].add(name)

    def meet(self, line: ConnectionOpened) -> None:
        self.met[line.unit, line.at // SECOND] += 1

    # who acts
    def log(self, line: Log) -> None:
        if line.text.startswith("duties "):
            self.words[line.relay] = line.text.split()[1]
            self.count(line.at)

    def life(self, line: RelayEvent) -> None:
        """With a relay that ends its shots end; the model has no line for each of them, and units seemed busy for
        good."""
        if line.event == "down":
            for key in [key for key in self.at if key[0] == line.relay]:
                self.ended(key)
        if line.event == "down" and self.words.pop(line.relay, None):
            self.count(line.at)

    def count(self, at: int) -> None:
        many = Counter(self.words.values())
        if many:
            first = min(many, key=lambda word: (-many[word], word))
            share = sum(count > len(self.words) / 10 for count in many.values())
            self.keepers_at_once = max(self.keepers_at_once, share if len(self.words) >= 10 else 1)
            if first != self.acting and 2 * many[first] > len(self.words) and len(self.owners) < MOST_TOLD:
                self.acting = first
                self.owners.append(
                    f"{at / SECOND:7.2f}s {first} by the word of {many[first]} of {len(self.words)} relays"
                )

    # what came of it
    def close(self) -> None:
        for one in self.units.values():
            self.rest(one)
        for build in list(self.brief):
            self.end_brief(build, self.brief[build])
            self.end_wide(build, self.wide[build])

    def figures(self) -> dict[str, float]:
        """By name; nothing for a record without units."""
        if not self.shots:
            return {}
        found = {
            "waste": self.wasted / self.shots,
            "herd": self.herd,
            "herd_chance": self.herd_chance,
            "idle": self.idle,
            "idle_chance": self.idle_chance,
        }
        for place, name in enumerate(("even_99th", "even_least", "even_99th_chance", "even_least_chance")):
            if self.spread:
                found[name] = sum(each[place] for each in self.spread) / len(self.spread)
        if self.met:
            found["handshakes_most"] = float(max(self.met.values()))
        if self.owners:
            found["keepers_at_once"] = float(self.keepers_at_once)
        return found

    def use(self) -> dict[str, list[int]]:
        """Shots at each unit by second."""
        seconds = self.last // SECOND + 1
        return {name: [counts[second] for second in range(seconds)] for name, counts in self.by_second.items()}


def spread(counts: list[int]) -> tuple[float, float]:
    """The 99th of a hundred and the least, over the median."""
    ordered: list[Any] = sorted(counts)
    middle = max(1, ordered[len(ordered) // 2])
    return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))] / middle, ordered[0] / middle
