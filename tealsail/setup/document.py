"""The operator's document, typed and checked: from `deploy/tealsail.toml`, or from a plain map by an API call.

All of it is off where the file is absent.  Sizes and times are in the unit that a field's name ends in.
"""
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

FILE = "deploy/tealsail.toml"


class BadDocument(Exception):
    """One line with the path of the field."""


class Recording(Struct, forbid_unknown_fields=True, frozen=True):
    """Recorded traffic of this relay.  `keys`: as they are, hashed, or left out."""
    file: Annotated[str, Meta(min_length=1, max_length=1000)]
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] = 256
    queue: Annotated[int, Meta(ge=100, le=1_000_000)] = 20_000           # lines that wait to be written
    keys: Literal["plain", "hashed", "none"] = "hashed"


class Document(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole."""
    recording: Recording | None = None


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
