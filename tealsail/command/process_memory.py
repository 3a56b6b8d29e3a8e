"""What keeps the process of a relay small; called before its libraries are imported."""

import sys

# The relay's libraries import these where they can, for TLS and further hashes, which it has no use for.
UNUSED_MODULES = "ssl", "_hashlib"


def leave_out_unused_modules() -> None:
    """Let imports of UNUSED_MODULES fail from now on, which their importers allow for."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)
