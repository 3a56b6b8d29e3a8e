"""The operator's document, typed and checked: from `deploy/tealsail.toml`, or from a plain map by an API call.

All of it is off where the file is absent.  Sizes and times are in the unit that a field's name ends in.
"""

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..choices.tiers import Zoning

FILE = "deploy/tealsail.toml"


class BadDocument(Exception):
    """One line with the path of the field."""


class Recording(Struct, forbid_unknown_fields=True, frozen=True):
    """Recorded traffic of this relay.  `keys`: as they are, hashed, or left out."""

    file: Annotated[str, Meta(min_length=1, max_length=1000)]
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] = 256
    queue: Annotated[int, Meta(ge=100, le=1_000_000)] = 20_000  # lines that wait to be written
    keys: Literal["plain", "hashed", "none"] = "hashed"


Part = Annotated[float, Meta(ge=0, le=1)]
Cost = Annotated[float, Meta(gt=0, le=1e6)]
Milliseconds = Annotated[float, Meta(ge=1, le=1e9)]


class Zones(Struct, forbid_unknown_fields=True, frozen=True):
    """Tiers of preference and spill between zones.  `costs`: "a b" = 2.5, the same both ways; zones equally near
    share a tier.  The rest is explained in docs/operate/zone-loss.md."""

    costs: dict[str, Cost] = {}
    usual_cost: Cost = 1.0
    spill_share: Part = 1.0
    spill_over: Annotated[float, Meta(ge=0, le=10)] = 0.5
    spare: Annotated[float, Meta(ge=1, le=10)] = 1.4
    panic: Part = 0.3
    span_ms: Milliseconds = 2_000.0
    memory_s: Annotated[float, Meta(ge=1, le=1e6)] = 600.0
    first: Annotated[float, Meta(gt=0, le=1)] = 0.1
    step_ms: Milliseconds = 500.0
    least: Annotated[int, Meta(ge=1, le=10_000)] = 5
    late_part: Part = 0.1
    wait_ms: Milliseconds = 500.0
    longest_wait_ms: Milliseconds = 60_000.0
    calm_ms: Milliseconds = 30_000.0

    def zoning(self, names: list[str]) -> Zoning:
        """The same by the zones' places in the platform's list.  Raises BadDocument for a zone that is not there."""
        costs = {}
        for pair, cost in self.costs.items():
            both = pair.split()
            if len(both) != 2 or both[0] == both[1]:
                raise BadDocument(f"zones.costs.{pair!r}: not two zones")
            for name in both:
                if name not in names:
                    raise BadDocument(f"zones.costs.{pair!r}: no zone {name}; there are {', '.join(names) or 'none'}")
            costs[names.index(both[0]), names.index(both[1])] = cost
        return Zoning(
            costs,
            self.usual_cost,
            self.spill_share,
            self.spill_over,
            self.spare,
            self.panic,
            int(self.span_ms * 10),
            int(self.memory_s * 10_000),
            self.first,
            int(self.step_ms * 10),
            self.least,
            self.late_part,
            int(self.wait_ms * 10),
            int(self.longest_wait_ms * 10),
            int(self.calm_ms * 10),
        )


class Document(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole."""

    recording: Recording | None = None
    zones: Zones | None = None

    def extra_stages(self, facts: dict[str, Any]) -> list[Callable[[Any], Any]]:
        """What takes a seat in the module's chain (tealsail/facade.py), for the platform's settings.  Raises
        BadDocument where they don't fit."""
        if self.zones is None:
            return []
        names, own = list(facts.get("zones", [])), facts.get("zone")
        zoning = self.zones.zoning(names)
        if own not in names:
            raise BadDocument(
                f"zones: this relay's zone {own!r} is none of {', '.join(names) or 'the settings (none)'}"
            )
        from ..choices.zones import Zones as Stage

        return [lambda relay: Stage(relay, zoning, names.index(own), len(names))]


def convert(tree: dict[str, Any], where: str = "document") -> Document:
    """Raises BadDocument."""
    try:
        return msgspec.convert(tree, Document)
    except msgspec.ValidationError as problem:
        text, _, path = str(problem).partition(" - at `$")
        raise BadDocument(f"{where}: {path.strip('`.') or 'document'}: {text[:1].lower() + text[1:]}") from None


def read(path: Path | str) -> Document:
    """Raises BadDocument; an absent file is the empty document."""
    try:
        with open(path, "rb") as file:
            tree = tomllib.load(file)
    except FileNotFoundError:
        return Document()
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise BadDocument(f"{path}: {problem}") from None
    return convert(tree, str(path))
