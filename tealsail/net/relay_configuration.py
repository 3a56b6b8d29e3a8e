"""What a relay is told at its start: variables of the environment and one file of JSON."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from .. import settings
from ..setup.facts import BadFacts, check
from .discovery import News, Unreadable, address, read_news
from .platform import State, Unreadable as UnreadableState, read_state


class BadStart(Exception):
    """One plain line for whoever started it."""


class Assignment(NamedTuple):
    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    peer_listen: str
    peers: list[str]
    everyone: str
    platform: str
    state: State | None
    known: News
    facts: dict[str, Any]
    own: tuple[str, ...] = ()  # whose the file says it is: its name, where it listens


class Torn(BadStart):
    """The file is not there or no JSON: it may be being written."""


def want(tree: Any, name: str, kind: type, default: Any = None) -> Any:
    """A field of that type."""
    value = tree.get(name, default)
    if value is None:
        raise BadStart(f"no {name} in the configuration")
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadStart(f"{name} in the configuration is {type(value).__name__}, not {kind.__name__}")
    return value


def reached(name: str, text: str) -> str:
    try:
        return address(text)
    except ValueError as problem:
        raise BadStart(f"{name}: {problem}") from None


def read_again(environment: Mapping[str, str]) -> Assignment:
    """The file as it is now.  It is newer than what the environment said of discovery at the start."""
    return read({name: value for name, value in environment.items() if name != "EDGE_DISCOVERY"})


def read(environment: Mapping[str, str]) -> Assignment:
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise BadStart("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError) as problem:
        raise Torn(f"{path}: {problem}") from None
    if not isinstance(tree, dict):
        raise BadStart(f"{path}: not an object")
    rollouts = want(tree, "rollouts", dict, {})
    try:
        seed = int(want(tree, "seed", str), 16)
        state = read_state(rollouts["news"]) if rollouts.get("news") else None
        known = read_news(want(tree, "known", dict, {"generation": 0, "instances": []}))
        facts = settings.facts(settings.nested(want(tree, "settings", dict)))
    except (Unreadable, UnreadableState, ValueError, TypeError, AttributeError) as problem:
        raise BadStart(f"{path}: {problem}") from None
    try:
        check(facts)
    except BadFacts as problem:
        raise BadStart(f"{path}: settings: {problem}") from None
    return Assignment(
        environment.get("EDGE_NAME") or want(tree, "name", str),
        reached("EDGE_LISTEN", environment.get("EDGE_LISTEN") or want(tree, "listen", str)),
        reached("EDGE_DISCOVERY", environment.get("EDGE_DISCOVERY") or want(tree, "discovery", str)),
        seed,
        want(want(tree, "limits", dict, {}), "sockets", int, 1024),
        reached("peer_listen", want(tree, "peer_listen", str, "")),
        [reached("peers", each) for each in want(tree, "peers", list, [])],
        reached("peers_all", want(tree, "peers_all", str, "")),
        reached("rollouts.address", want(rollouts, "address", str, "")),
        state,
        known,
        facts,
        tuple(str(tree.get(name, "")) for name in ("name", "listen", "peer_listen")),
    )
