"""Clients of a day that send the first tries of a record at their recorded times."""

from collections.abc import Iterator

from ..record.files import ReadReport, read
from ..record.lines import Head, InvalidRecord, InvocationTaken
from ..world.clients import NUMBERS_PER_STREAM, Arrival, ClientBehaviour, Clients, Workload
from .scenario import BadScenario, Scenario

MAX_FIRST_TRIES = NUMBERS_PER_STREAM - 1  # of a trace, so that their numbers stay below STREAM


class Trace(Clients):
    """Clients whose first tries come from the scenario's trace, which is read as the day goes on.  Repeats are drawn as
    for random arrivals."""

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
        self.next_arrival = next(self.lines, None)

    def arrivals(self, scenario: Scenario) -> Iterator[Arrival]:
        """Yields the first tries in order of time; where the recorded clock steps back, no time passes.  Raises
        BadScenario for a file that can't be read or does not suit the scenario."""
        try:
            lines = read(self.path, self.notes)
            head = next(lines, None)
        except (InvalidRecord, OSError) as problem:
            raise BadScenario(f"clients.trace: {problem}") from None
        if not isinstance(head, Head):
            raise BadScenario(f"clients.trace: {self.path}: empty")
        workload_indexes = {each.name: index for index, each in enumerate(scenario.workload)}
        trace_workloads = [each.get("name") for each in head.settings.get("workloads", [])]
        missing = [name for name in trace_workloads if name not in workload_indexes]
        if missing:
            raise BadScenario(f"clients.trace: {self.path}: no workload {missing[0]} in the scenario")
        customer_indexes = {each.name: index for index, each in enumerate(scenario.customer)}
        trace_customers = [
            customer_indexes.get(each.get("name"), 0) for each in head.settings.get("customers", [])
        ] or [0]
        at = last = count = 0
        for line in lines:
            if not isinstance(line, InvocationTaken) or line.number != line.first:
                continue
            at, last = at + max(0, line.intended - last), line.intended
            count += 1
            if at >= self.span or count > MAX_FIRST_TRIES:
                return
            workload = workload_indexes[trace_workloads[line.workload]]
            yield Arrival(
                at,
                count,
                count,
                at,
                line.relay % self.relays,
                workload,
                trace_customers[line.customer] if line.customer < len(trace_customers) else 0,
                line.key,
                at + self.workloads[workload].abandon,
            )

    @property
    def due(self) -> int | None:
        return self.next_arrival.at if self.next_arrival else None

    def next(self) -> Arrival:
        arrival, self.next_arrival = self.next_arrival, next(self.lines, None)
        return arrival


def create_clients(scenario: Scenario, seed: int) -> Clients:
    """The scenario's clients: with recorded arrivals if it names a trace, else with random ones."""
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
