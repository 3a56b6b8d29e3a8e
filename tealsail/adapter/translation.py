"""Translates the values and units of the simulator's protocol to those of the decision module.

The names of settings are translated by tealsail/settings.py.
"""

from .. import settings as settings_table

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
UNIT_STATES = {"IN": "open", "LAME": "draining", "OUT": "gone"}
LIST_KINDS = {"patch": "changes", "whole": "whole", "stale_copy": "old copy", "broken": "failed"}
VOTE_ANSWERS = {"ok": "ok", "moot": "moot", "full": "full", "error": "error", "timeout": "timeout"}


def tenths(text: str) -> int:
    """Converts a time in milliseconds to whole tenths of a millisecond, rounded down.

    Raises ValueError for a text that is no number.
    """
    return settings_table.tenths(float(text))


def settings(pairs: dict[str, str]) -> dict:
    """Converts the protocol's path=value pairs to settings under the decision module's names."""
    return settings_table.facts(settings_table.flat_leaves(pairs))
