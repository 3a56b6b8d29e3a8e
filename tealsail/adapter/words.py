"""The wire's words and units, translated to the project's own and back (settings: tealsail/settings.py)."""

from .. import settings as table

OUTCOMES = {
    "ok": "served",
    "error": "error",
    "full": "full",
    "timeout": "timeout",
    "connect_failed": "unreachable",
    "reset": "reset",
    "cancelled": "cancelled",
    "moot": "moot",
}
STATES = {"IN": "open", "LAME": "draining", "OUT": "gone"}
LISTS = {"patch": "changes", "whole": "whole", "stale_copy": "old copy", "broken": "failed"}
ANSWERS = {"ok": "ok", "moot": "moot", "full": "full", "error": "error", "timeout": "timeout"}


def tenths(text: str) -> int:
    """A time of the wire in whole tenths of a millisecond, never later than it was."""
    return table.tenths(float(text))


def settings(pairs: dict[str, str]) -> dict:
    """The wire's path=value pairs as a plain map of the module's names."""
    return table.facts(table.flat_leaves(pairs))
