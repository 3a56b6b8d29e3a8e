"""Final answers to clients, and the error codes that they come with."""

from typing import NamedTuple

from . import messages
from .messages import Value


class Rejected(NamedTuple):
    """Nothing was run, so a retry is harmless, after `retry_after` tenths of a millisecond (0: no advice)."""

    retry_after: int


class Forfeited(NamedTuple):
    """The request has failed, and whether it was run is not known."""


Answer = Value | Rejected | Forfeited

# SQLSTATE codes of errors that clients receive
REJECTED_CODE = "53300"
FORFEITED_CODE = "58000"
CONNECTION_LIMIT_CODE = "53300"
STATEMENT_ERROR_CODE = "42601"
UNSUPPORTED_PROTOCOL_CODE = "0A000"
PROTOCOL_ERROR_CODE = "08P01"


def encode_answer(answer: Answer) -> bytes:
    match answer:
        case Rejected(retry_after):
            retry_after_ms = -(-retry_after // 10)
            return (
                messages.error_response(REJECTED_CODE, "rejected, nothing was run", retry_after_ms)
                + messages.READY_FOR_QUERY
            )
        case Forfeited():
            return messages.error_response(FORFEITED_CODE, "forfeited") + messages.READY_FOR_QUERY
        case _:
            return messages.value_response(answer)


NO_ROOM_ANSWER = encode_answer(Rejected(0))  # one object for all, since many of them may wait
