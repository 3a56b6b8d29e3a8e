"""Recorded traffic as a day's clients: the first tries of a record, at their recorded times."""

from collections.abc import Iterator

from ..record.files import ReadReport, read
from ..record.lines import Head, InvalidRecord, InvocationTaken
from ..world.clients import NUMBERS_PER_STREAM, Arrival, ClientBehaviour, Clients, Workload
from .scenario import BadScenario, Scenario

MOST = NUMBERS_PER_STREAM - 1  # first tries of a trace


class Trace(Clients):
    """In place of drawn arrivals.  Repeats are the clients' own, as drawn.  Reads on as the day goes on."""

    def __init__(self, scenario: Scenario, habits: ClientBehaviour, workloads: list[Workload], seed: int) -> None:
        super().__init__(
            habits._replace(rate=0.0),
            workloads,
            [each.share for each in scenario.customer],
            scenario.fleet.relays,
            scenario.span,
            seed,
        )
        self.relays, self.notes, self.path = scenario.fleet.relays, ReadReport(), scenario.clients.trace
        self.lines = self.arrivals(scenario)
        self.coming = next(self.lines, None)

    def arrivals(self, scenario: Scenario) -> Iterator[Arrival]:
        """In order of their times; a step back of the clock counts as no time passed.  Raises BadScenario."""
        try:
            lines = read(self.path, self.notes)
            head = next(lines, None)
        except (InvalidRecord, OSError) as problem:
            raise BadScenario(f"clients.trace: {problem}") from None
        if not isinstance(head, Head):
            raise BadScenario(f"clients.trace: {self.path}: empty")
        places = {each.name: place for place, each in enumerate(scenario.workload)}
        theirs = [each.get("name") for each in head.facts.get("workloads", [])]
        missing = [name for name in theirs if name not in places]
        if missing:
            raise BadScenario(f"clients.trace: {self.path}: no workload {missing[0]} in the scenario")
        customers = {each.name: place for place, each in enumerate(scenario.customer)}
        whose = [customers.get(each.get("name"), 0) for each in head.facts.get("customers", [])] or [0]
        at = last = count = 0
        for line in lines:
            if not isinstance(line, InvocationTaken) or line.number != line.first:
                continue
            at, last = at + max(0, line.intended - last), line.intended
            count += 1
            if at >= self.span or count > MOST:
                return
            workload = places[theirs[line.workload]]
            yield Arrival(
                at,
                count,
                count,
                at,
                line.relay % self.relays,
                workload,
                whose[line.customer] if line.customer < len(whose) else 0,
                line.key,
                at + self.workloads[workload].abandon,
            )

    @property
    def due(self) -> int | None:
        return self.coming.at if self.coming else None

    def next(self) -> Arrival:
        arrival, self.coming = self.coming, next(self.lines, None)
        return arrival


def clients_of(scenario: Scenario, seed: int) -> Clients:
    """Recorded where the scenario names a trace, else drawn."""
    if scenario.clients.trace:
        return Trace(scenario, scenario.habits(), scenario.workloads(), seed)
    return Clients(
        scenario.habits(),
        scenario.workloads(),
        [each.share for each in scenario.customer],
        scenario.fleet.relays,
        scenario.span,
        seed,
    )
