"""A relay's configuration: variables of the environment and one JSON file."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from .. import settings
from ..choices.memory_budget import BYTES_PER_MB, DEFAULT_MEMORY
from ..setup.validation import InvalidSettings, check_settings
from .discovery import ListUpdate, Unreadable, checked_address, read_list
from .platform import PlatformState, Unreadable as UnreadableState, read_state

DEFAULT_SOCKETS = 1024  # file descriptors
DEFAULT_MEMORY_MB = DEFAULT_MEMORY // BYTES_PER_MB


class ConfigurationError(Exception):
    """The configuration can't be used; the text is one plain line for the operator."""


class RelayConfiguration(NamedTuple):
    """What a relay is configured with; addresses are `host:port`, empty where there is none."""

    name: str
    listen: str  # for clients
    discovery: str
    seed: int
    sockets: int  # file descriptors that the relay may use
    peer_listen: str  # for other relays' datagrams
    peers: list[str]  # addresses of all relays, by the relay's index
    broadcast: str  # the address that reaches all relays
    platform: str
    state: PlatformState | None  # of the newest build at the start
    known: ListUpdate  # the list of units as known at the start
    relay_settings: dict[str, Any]  # the platform's settings under the decision module's names (tealsail/settings.py)
    identity: tuple[str, ...] = ()  # name, listen and peer_listen as the file has them
    memory_mb: float = DEFAULT_MEMORY_MB  # memory that the process may use


class UnreadableConfiguration(ConfigurationError):
    """The file is missing or not valid JSON: it may be in the middle of being written."""


def typed_field(tree: Any, name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """The field `name` of `tree`; raises ConfigurationError if it is missing or not of that type."""
    value = tree.get(name, default)
    if value is None:
        raise ConfigurationError(f"no {name} in the configuration")
    if not isinstance(value, kind) or isinstance(value, bool):
        wanted = " or ".join(each.__name__ for each in (kind if isinstance(kind, tuple) else (kind,)))
        raise ConfigurationError(f"{name} in the configuration is {type(value).__name__}, not {wanted}")
    return value


def address_field(name: str, text: str) -> str:
    """`text` if it is empty or `host:port`; raises ConfigurationError that names the field."""
    try:
        return checked_address(text)
    except ValueError as problem:
        raise ConfigurationError(f"{name}: {problem}") from None


def reread(environment: Mapping[str, str]) -> RelayConfiguration:
    """The file as it is now, for a relay that runs.  EDGE_DISCOVERY, which is as old as the process, is ignored."""
    return read({name: value for name, value in environment.items() if name != "EDGE_DISCOVERY"})


def read(environment: Mapping[str, str]) -> RelayConfiguration:
    """The configuration from the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override it.

    Raises UnreadableConfiguration if the file can't be opened or parsed, ConfigurationError if its content is wrong.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError) as problem:
        raise UnreadableConfiguration(f"{path}: {problem}") from None
    if not isinstance(tree, dict):
        raise ConfigurationError(f"{path}: not an object")
    rollouts = typed_field(tree, "rollouts", dict, {})
    try:
        seed = int(typed_field(tree, "seed", str), 16)
        state = read_state(rollouts["news"]) if rollouts.get("news") else None
        known = read_list(typed_field(tree, "known", dict, {"generation": 0, "instances": []}))
        relay_settings = settings.named_settings(settings.nested_leaves(typed_field(tree, "settings", dict)))
    except (Unreadable, UnreadableState, ValueError, TypeError, AttributeError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None
    try:
        check_settings(relay_settings)
    except InvalidSettings as problem:
        raise ConfigurationError(f"{path}: settings: {problem}") from None
    limits = typed_field(tree, "limits", dict, {})
    return RelayConfiguration(
        environment.get("EDGE_NAME") or typed_field(tree, "name", str),
        address_field("EDGE_LISTEN", environment.get("EDGE_LISTEN") or typed_field(tree, "listen", str)),
        address_field("EDGE_DISCOVERY", environment.get("EDGE_DISCOVERY") or typed_field(tree, "discovery", str)),
        seed,
        typed_field(limits, "sockets", int, DEFAULT_SOCKETS),
        address_field("peer_listen", typed_field(tree, "peer_listen", str, "")),
        [address_field("peers", each) for each in typed_field(tree, "peers", list, [])],
        address_field("peers_all", typed_field(tree, "peers_all", str, "")),
        address_field("rollouts.address", typed_field(rollouts, "address", str, "")),
        state,
        known,
        relay_settings,
        tuple(str(tree.get(name, "")) for name in ("name", "listen", "peer_listen")),
        typed_field(limits, "memory_mb", (int, float), DEFAULT_MEMORY_MB),
    )
