"""The seat of the load digests in a relay: attempts in, figures for the choice of backend out.

Nothing is decided here: what a digest says goes into the load figures of the units, which the choice
(tealsail/policy.py) weighs as it weighs a unit's own reports.  A request's path only counts; reports, digests and figures are timers' work.
"""

from ..parts import Chance, Invocation, Stage, Unit, mix
from .digest_messages import is_known
from .load_digests import LoadDigests, Send

QUEUE_OF_ONE = 4.0  # a queue of four weighs in the choice as one attempt more for each that is out
DRAWS = 31  # keeps this stage's draws apart


class LoadStage(Stage):
    """Owns the machine; told of time by the facade when it is `due`."""

    NAME = "load_digests"  # of its counters

    def __init__(self, relay, backends: int) -> None:
        """`backends`: units in use at the least, so that digests have something to choose from."""
        super().__init__(relay)
        chance = Chance(mix(relay.chance.state, relay.index, DRAWS))
        self.machine = LoadDigests(relay.index, self.facts["relays"], relay.now, chance)
        relay.choice.FEW = relay.choice.few = backends
        self.hear_on, relay.on_told = relay.on_told, self.hear
        relay.guide.tell = self.count  # the asked tracker is off where a stage sits here
        self.counts: dict[str, int] = {}

    def forward(self, invocation: Invocation, row: list[Unit]) -> bool:
        return self.next.forward(invocation, row)

    # on a request's path
    def count(self, unit: Unit, outcome: str = "", times: float = 0.0) -> None:
        """An attempt went out, or has ended."""
        if outcome:
            self.machine.ended(unit.number, self.relay.now, outcome != "served")
        else:
            self.machine.sent(unit.number, self.relay.now)

    # timers and messages
    @property
    def due(self) -> int:
        return self.machine.due

    def run(self) -> None:
        self.send(self.machine.tick(self.relay.now))
        self.show()
        lines, self.machine.lines = self.machine.lines, []
        for line in lines:
            self.relay.host.log(line)

    def show(self) -> None:
        """Lets the choice see the figures: over the least of them, since only differences count."""
        now, units = self.relay.now, self.relay.units
        figures = {number: self.machine.others(number, now) for number in self.machine.followed if number in units}
        least = min(figures.values(), default=0.0)
        for number, figure in figures.items():
            unit = units[number]
            unit.util, unit.queue, unit.load_at = 0.0, QUEUE_OF_ONE * (figure - least), now

    def hear(self, sender: int, data: bytes) -> None:
        """A message; what is no report or digest is somebody else's."""
        if is_known(data):
            self.send(self.machine.received(sender, data, self.relay.now))
        else:
            self.hear_on(sender, data)

    def send(self, sends: list[Send]) -> None:
        for relay, data in sends:
            self.relay.host.tell(relay, data)

    def arrange(self) -> None:
        """The list has changed; units that went are followed no longer once their attempts have ended."""

    def beat(self) -> None:
        machine = self.machine
        dropped = {f"dropped_{reason.name.lower()}": count for reason, count in machine.dropped.items()}
        self.counts = machine.counts | dropped
