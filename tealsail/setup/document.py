"""The operator's document: optional functions of a relay, read from `deploy/tealsail.toml` or given as a plain map.

A table that is absent leaves its function off; without the file all are off.  The unit of a size or time is the end of
its field's name.
"""

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..choices.tiers import Zoning
from ..time_limits import TENTHS_PER_SECOND

DEFAULT_PATH = "deploy/tealsail.toml"


class InvalidDocument(Exception):
    """A document that can't be used; the text is one line with the path of the field."""


class Recording(Struct, forbid_unknown_fields=True, frozen=True):
    """A record of this relay's traffic.  `keys`: keys are written as they are, hashed, or left out."""

    file: Annotated[str, Meta(min_length=1, max_length=1000)]
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] = 256  # size of the file
    queue: Annotated[int, Meta(ge=100, le=1_000_000)] = 20_000  # lines to be written; further ones are dropped
    keys: Literal["plain", "hashed", "none"] = "hashed"


Fraction = Annotated[float, Meta(ge=0, le=1)]
Cost = Annotated[float, Meta(gt=0, le=1e6)]
Milliseconds = Annotated[float, Meta(ge=1, le=1e9)]


class Zones(Struct, forbid_unknown_fields=True, frozen=True):
    """Preference of near zones, and spill to further ones.

    `costs` has an entry such as "a b" = 2.5 for two zones, the same both ways; zones of equal cost share a tier.  The
    fields are those of `Zoning` (tealsail/choices/tiers.py) and are explained in docs/operate/zone-loss.md.
    """

    costs: dict[str, Cost] = {}
    usual_cost: Cost = 1.0  # between zones that `costs` does not name
    spill_share: Fraction = 1.0  # of a relay's invocations, at most so much leaves its first tier
    spill_over: Annotated[float, Meta(ge=0, le=10)] = 0.5  # of the next tier's own use, at most so much is added to it
    spare: Annotated[float, Meta(ge=1, le=10)] = 1.4  # capacity of a tier, as a multiple of its usual work
    panic: Fraction = 0.3  # of its usual capacity, below which a tier is no longer preferred
    span_ms: Milliseconds = 2_000.0  # over which shares are counted
    memory_s: Annotated[float, Meta(ge=1, le=1e6)] = 600.0  # half-life of what counts as usual
    first: Annotated[float, Meta(gt=0, le=1)] = 0.1  # share of its traffic with which a returning zone begins
    step_ms: Milliseconds = 500.0  # between doublings of that share
    least: Annotated[int, Meta(ge=1, le=10_000)] = 5  # answers in time that a doubling needs
    late_part: Fraction = 0.1  # of answers late or failed, above which the share is halved
    wait_ms: Milliseconds = 500.0  # before a return begins; doubled with each flap
    longest_wait_ms: Milliseconds = 60_000.0  # limit of that doubling
    calm_ms: Milliseconds = 30_000.0  # a zone lost later than this after its return has not flapped

    def zoning(self, names: list[str]) -> Zoning:
        """Converts times to tenths of a millisecond, and zones to their indexes in `names`, the platform's list.

        Raises InvalidDocument for a key of `costs` that is not two zones of the list.
        """
        costs = {}
        for pair, cost in self.costs.items():
            ends = pair.split()
            if len(ends) != 2 or ends[0] == ends[1]:
                raise InvalidDocument(f"zones.costs.{pair!r}: not two zones")
            for name in ends:
                if name not in names:
                    raise InvalidDocument(
                        f"zones.costs.{pair!r}: no zone {name}; there are {', '.join(names) or 'none'}"
                    )
            costs[names.index(ends[0]), names.index(ends[1])] = cost
        return Zoning(
            costs,
            self.usual_cost,
            self.spill_share,
            self.spill_over,
            self.spare,
            self.panic,
            int(self.span_ms * 10),
            int(self.memory_s * TENTHS_PER_SECOND),
            self.first,
            int(self.step_ms * 10),
            self.least,
            self.late_part,
            int(self.wait_ms * 10),
            int(self.longest_wait_ms * 10),
            int(self.calm_ms * 10),
        )


class Document(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole document; None is a table that is absent."""

    recording: Recording | None = None
    zones: Zones | None = None

    def extra_stages(self, relay_settings: dict[str, Any]) -> list[Callable[[Any], Any]]:
        """Returns factories of the stages to add to the decision module's chain (tealsail/facade.py).

        Each takes the module's relay and returns its stage.  `relay_settings` are the platform's settings under the
        module's names.  Raises InvalidDocument if the document does not fit them.
        """
        if self.zones is None:
            return []
        zone_names, own_zone = list(relay_settings.get("zones", [])), relay_settings.get("zone")
        zoning = self.zones.zoning(zone_names)
        if own_zone not in zone_names:
            raise InvalidDocument(
                f"zones: this relay's zone {own_zone!r} is none of {', '.join(zone_names) or 'the settings (none)'}"
            )
        from ..choices.zones import Zones as ZoneStage

        return [lambda relay: ZoneStage(relay, zoning, zone_names.index(own_zone), len(zone_names))]


def convert(tree: dict[str, Any], source: str = "document") -> Document:
    """Converts a plain map to a document.  Raises InvalidDocument, with `source` at the start of its text."""
    try:
        return msgspec.convert(tree, Document)
    except msgspec.ValidationError as problem:
        text, _, path = str(problem).partition(" - at `$")
        raise InvalidDocument(f"{source}: {path.strip('`.') or 'document'}: {text[:1].lower() + text[1:]}") from None


def read(path: Path | str) -> Document:
    """Reads a TOML file; an absent one is the empty document.  Raises InvalidDocument."""
    try:
        with open(path, "rb") as file:
            tree = tomllib.load(file)
    except FileNotFoundError:
        return Document()
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise InvalidDocument(f"{path}: {problem}") from None
    return convert(tree, str(path))
