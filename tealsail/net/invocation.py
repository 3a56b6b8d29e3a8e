"""One invocation that a relay has taken, from its query to its answer."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..choices.memory_budget import ByteBudget, request_cost
from ..choices.query_ends import UNREAD_CHECK_S
from ..choices.recent_ids import RecentIds, must_be_remembered
from ..facade import ClientLeft, Facade, Forfeit, Outcome, Reject, SendShot, Step
from ..policy import OUTCOMES_NOT_RUN
from ..time_limits import TENTHS_PER_SECOND
from .answers import Answer, Forfeited, Rejected
from .counters import Counters
from .shots import Shot
from .statements import Statement, UnitQuery
from .unit_connection import ShotResult
from .units import Units


class InvocationRelay(Protocol):
    """What an invocation uses of the relay that has taken it."""

    reactor: Any
    clock: Callable[[], int]  # tenths of a millisecond
    facade: Facade
    units: Units
    counters: Counters
    requests: ByteBudget
    serving: dict[int, "ActiveInvocation"]  # by the invocation's number
    open_ids: set[bytes]
    recent_ids: RecentIds
    load_fields: list[str]
    record: Any

    def deadline(self, statement: Statement, at: int) -> int:
        """When the client of a statement that came at that time stops waiting."""

    def has_unread_news(self) -> bool:
        """Whether news of units or builds has arrived that is not read yet."""

    def log_fault(self, reason: Failure) -> None:
        """Log an exception that ends no more than one invocation."""

    def schedule_tick(self) -> None:
        """See to it that the facade's next tick comes when it is due."""

    def on_tick(self) -> None:
        """Do now what the facade has due."""


class ActiveInvocation:
    """One invocation from its query to its answer: sends the shots that the facade asks for and reports outcomes."""

    def __init__(
        self, relay: InvocationRelay, statement: Statement, at: int, has_client_closed: Callable[[], bool]
    ) -> None:
        """`at`: when the query came, by the relay's clock.  `has_client_closed`: whether the kernel knows of the
        client's close, which the event loop may not have read yet."""
        self.relay, self.statement, self.has_client_closed = relay, statement, has_client_closed
        self.answer: Deferred[Answer] = Deferred(self.on_client_left)
        self.is_over = False  # answered, or the client has left
        self.cost = request_cost(len(statement.text_before_wait) + len(statement.text_after_wait) + len(statement.key))
        relay.requests.add(self.cost)
        self.shots: dict[int, Shot] = {}  # those without an outcome, by shot number
        # Seconds of the reactor's clock; until then the client counts as waiting.  The caller has just looked.
        self.client_waits_until = relay.reactor.seconds() + UNREAD_CHECK_S
        self.may_have_run = self.has_client_left = False  # `may_have_run`: one of its shots
        self.number, step = relay.facade.pick(
            statement.workload,
            statement.customer,
            statement.key,
            relay.deadline(statement, at),
            repeat=statement.repeat,
        )
        relay.serving[self.number] = self
        relay.open_ids.add(statement.id)
        if relay.record:
            relay.record.invocation_taken(self.number, statement, at)
        self.execute_safely(step)

    def execute_safely(self, step: Step) -> None:
        """Like `execute`, but an exception forfeits this invocation and goes no further."""
        try:
            self.execute(step)
        except Exception:
            self.relay.log_fault(Failure())
            self.finish(Forfeited())
            self.remove_if_done()

    def execute(self, step: Step) -> None:
        match step:
            case SendShot(_, shot_number, _) if self.is_over:
                self.relay.facade.report(Outcome(self.number, shot_number, "moot"))
            case SendShot(unit, shot_number, wait):
                self.shoot(unit, shot_number, wait)
            case Reject(retry_after):
                self.finish(Rejected(retry_after))
            case Forfeit():
                self.finish(Forfeited())
        self.remove_if_done()

    def shoot(self, unit: int, shot_number: int, wait: int) -> None:
        """Send the statement to a unit and wait for the outcome, at most `wait` tenths of a millisecond."""
        relay = self.relay
        relay.counters.add("units.shots")
        logger.debug("request {} shot {} to unit {} for {} tenths", self.statement.id, shot_number, unit, wait)
        shot = relay.units.shoot(unit, InvocationShot(self, shot_number, wait), wait / TENTHS_PER_SECOND)
        if shot is None:
            self.on_outcome(ShotResult("moot"), shot_number)
            return
        self.shots[shot_number] = shot
        if relay.record:
            relay.record.shot_sent(self.number, shot_number, unit, wait)
        shot.done.addCallback(self.on_outcome, shot_number)
        shot.done.addErrback(relay.log_fault)

    def on_outcome(self, result: ShotResult, shot_number: int) -> None:
        """Report a shot's outcome; a served one answers the client before the next step."""
        self.shots.pop(shot_number, None)
        self.relay.counters.add(f"units.{result.outcome}")
        logger.debug("request {} shot {} ended: {}", self.statement.id, shot_number, result.outcome)
        self.may_have_run |= result.outcome not in OUTCOMES_NOT_RUN
        fields = self.relay.load_fields
        load = {name: figure for name, figure in (result.load or {}).items() if name in fields}
        if self.relay.record:
            self.relay.record.shot_ended(self.number, shot_number, result.outcome)
        step = self.relay.facade.report(Outcome(self.number, shot_number, result.outcome, load or None))
        if result.outcome == "served" and result.value:
            self.finish(result.value)
        self.execute(step)
        self.relay.schedule_tick()

    def finish(self, answer: Answer) -> None:
        """Answer the client, unless it has its answer or has left."""
        if not self.is_over:
            self.is_over = True
            logger.debug("request {} answered: {}", self.statement.id, type(answer).__name__)
            if self.relay.record:
                self.relay.record.invocation_ended(self.number, answer)
            self.answer.callback(answer)

    def check_client(self) -> bool:
        """Whether the client still waits, as far as the kernel knows; if not, the invocation ends now."""
        now = self.relay.reactor.seconds()
        if self.is_over or now < self.client_waits_until:
            return not self.is_over
        if self.has_client_closed():
            self.answer.cancel()
        self.client_waits_until = now + UNREAD_CHECK_S
        return not self.is_over

    def cancel_shot(self, shot_number: int) -> None:
        if shot_number in self.shots:
            self.shots[shot_number].stop("cancelled")

    def on_client_left(self, answer: Deferred) -> None:
        self.is_over = self.has_client_left = True
        logger.debug("request {}: its client has left", self.statement.id)
        if self.relay.record:
            self.relay.record.invocation_ended(self.number, None)
        self.abandon_shots()

    def forfeit(self) -> None:
        """Answer the client at once, whatever a shot that is out may still bring."""
        if not self.is_over:
            self.finish(Forfeited())
            self.abandon_shots()

    def abandon_shots(self) -> None:
        """Tell the facade that nobody waits for an outcome any more, and call off what it wants called off.

        An attempt whose last byte is not sent has not begun: it is stopped also where none may be called off.
        """
        self.relay.facade.report(ClientLeft(self.number))
        for shot in list(self.shots.values()):
            shot.stop_incomplete()
        self.relay.on_tick()
        self.remove_if_done()

    def remove_if_done(self) -> None:
        """Remove it from the relay's tables once it is over and no shot is out."""
        if self.is_over and not self.shots and self.relay.serving.pop(self.number, None):
            self.relay.requests.remove(self.cost)
            self.relay.open_ids.discard(self.statement.id)
            effect = self.relay.facade.effect(self.statement.workload)
            if must_be_remembered(effect, self.may_have_run, self.has_client_left):
                self.relay.recent_ids.add(self.statement.id, self.statement.workload)


class InvocationShot:
    """One shot of an invocation, as its `ShotOwner`."""

    def __init__(self, invocation: ActiveInvocation, shot_number: int, wait: int) -> None:
        """`wait`: for how long the shot may last from now on, in tenths of a ms."""
        self.invocation, self.shot_number = invocation, shot_number
        self.relay = invocation.relay
        self.until = self.relay.clock() + wait

    def query(self) -> UnitQuery:
        """The statement as a query."""
        return UnitQuery(self.invocation.statement, self.wait_left)

    def wait_left(self) -> int:
        """For how long the shot may last from now on, in whole milliseconds, at least one."""
        return max(1, -(-(self.until - self.relay.clock()) // 10))

    def why_stop(self, waited_s: float) -> str | None:
        """The outcome with which the shot ends if it may not wait any longer."""
        waited = int(waited_s * TENTHS_PER_SECOND)
        return self.relay.facade.why_stop(self.invocation.number, self.shot_number, waited)

    def is_informed(self) -> bool:
        """Whether all news of units and builds that has arrived is read."""
        return not self.relay.has_unread_news()

    def may_send(self) -> bool:
        """Whether the shot may be sent now; if so, it counts as sent."""
        may_send = self.relay.facade.may_still_send
        return self.invocation.check_client() and may_send(self.invocation.number, self.shot_number)
