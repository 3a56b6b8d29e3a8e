"""The rules of the protocol, checked on what stand-ins observed; the checks share no code with the relay."""

from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from .observations import Answer, Attempt, Observations, Request
from .plan import DRAIN_GRACE_S, TRIAL_BUILD, Plan

SLACK_S = 0.05  # by which every time limit is longer on sockets
LEFT_GRACE_S = 0.1  # after its client's close an attempt may still begin
TOLD_SLACK_S = 0.15  # by which the told time may be longer than what is left
CAP_GRACE_S = 0.15  # after which a lower cap binds
ANSWER_GRACE_S = 0.5  # after its time a request's answer only earns nothing
MAX_ATTEMPTS = 3  # of a request, by the settings


class Rule(Enum):
    """What was broken."""

    REPEAT = "repeat"
    LEFT = "left"
    TOLD_TIME = "told time"
    ANSWER = "answer"
    DRAIN = "drain"
    EXPOSURE = "exposure"


class Finding(NamedTuple):
    """One break of a rule, in a sentence."""

    rule: Rule
    text: str


def findings(plan: Plan, seen: Observations) -> list[Finding]:
    """All breaks of rules."""
    by_request: dict[str, list[Attempt]] = {}
    for attempt in sorted(seen.attempts, key=lambda each: each.ended):
        by_request.setdefault(attempt.id, []).append(attempt)
    found = []
    for request in seen.requests.values():
        attempts = by_request.get(request.id, [])
        found += repeats(plan, request, attempts)
        found += late_attempts(seen, request, attempts)
        found += told_times(request, attempts)
        found += answer_findings(seen, request, seen.answers.get(request.id))
    return found + drain_findings(seen) + cap_findings(seen)


def repeats(plan: Plan, request: Request, attempts: list[Attempt]) -> list[Finding]:
    """Attempts beyond what the class allows."""
    found = []
    if len(attempts) > MAX_ATTEMPTS:
        found.append(f"{request.id} had {len(attempts)} attempts")
    ran = [attempt for attempt in attempts if attempt.may_have_run]
    for first, second in pairwise(ran):
        after = second.ended.earliest - ran[0].ended.latest
        if request.request_class == "submit":
            found.append(f"{request.id} may have run twice, {second.ended.earliest - first.ended.latest:.3f} s apart")
        if request.request_class == "book" and after > plan.memory_s + SLACK_S:
            found.append(f"{request.id} came again {after:.3f} s after its first attempt")
    return [Finding(Rule.REPEAT, text) for text in found]


def late_attempts(seen: Observations, request: Request, attempts: list[Attempt]) -> list[Finding]:
    """Attempts that begin after their client has left."""
    left = seen.left.get(request.id)
    return [
        Finding(Rule.LEFT, f"{request.id} began {attempt.ended.earliest - left.latest:.3f} s after its client had left")
        for attempt in attempts
        if left and attempt.ended.earliest > left.latest + LEFT_GRACE_S + SLACK_S
    ]


def told_times(request: Request, attempts: list[Attempt]) -> list[Finding]:
    """Attempts that are told more time than is left to their client."""
    found = []
    for attempt in attempts:
        remaining = request.sent.latest + request.deadline_s - attempt.ended.earliest
        if attempt.told_s > max(0.001, remaining) + TOLD_SLACK_S + SLACK_S:
            text = f"{request.id} was told {attempt.told_s:.3f} s with {remaining:.3f} s left"
            found.append(Finding(Rule.TOLD_TIME, text))
    return found


def answer_findings(seen: Observations, request: Request, answer: Answer | None) -> list[Finding]:
    """A request without an answer, with a late one, or with another's value."""
    if request.id in seen.left:
        return []
    if answer is None or answer.outcome == "lost":
        return [Finding(Rule.ANSWER, f"{request.id} is lost")]
    if not answer.is_right:
        return [Finding(Rule.ANSWER, f"{request.id} was served what no unit made for it")]
    late = answer.at.earliest - request.sent.latest - request.deadline_s - ANSWER_GRACE_S - SLACK_S
    held_up = sum(stop.latest - stop.earliest for stop in seen.stopped if stop.latest > request.sent.earliest)
    return [Finding(Rule.ANSWER, f"{request.id} was answered {late:.3f} s too late")] if late > held_up else []


def drain_findings(seen: Observations) -> list[Finding]:
    """Attempts whose first byte came to a unit that drained."""
    return [
        Finding(
            Rule.DRAIN,
            f"{attempt.id} was sent to a draining unit {attempt.began.earliest - told.latest:.3f} s after it was told",
        )
        for attempt in seen.attempts
        for unit, told, until in seen.drains
        if attempt.unit == unit and told.latest + DRAIN_GRACE_S + SLACK_S < attempt.began.earliest < until
    ]


def cap_findings(seen: Observations) -> list[Finding]:
    """Attempts at a build on trial after its cap has fallen to 0."""
    if seen.cap_ended is None:
        return []
    ended = seen.cap_ended.latest
    return [
        Finding(Rule.EXPOSURE, f"{attempt.id} came to the withdrawn build after {attempt.ended.earliest - ended:.3f} s")
        for attempt in seen.attempts
        if attempt.build == TRIAL_BUILD and attempt.ended.earliest > ended + CAP_GRACE_S + SLACK_S
    ]
