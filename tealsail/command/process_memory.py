"""What keeps the process of a relay small; called before its libraries are imported."""

import ctypes
import gc
import sys

# The relay's libraries import these where they can, for TLS and further hashes, which it has no use for.
UNUSED_MODULES = "ssl", "_hashlib"
# Options of glibc's mallopt(3).
TRIM_THRESHOLD_OPTION = -1
MMAP_THRESHOLD_OPTION = -3
TRIM_THRESHOLD_BYTES = 128 * 1024  # unused memory at the heap's end that is kept
MMAP_THRESHOLD_BYTES = 64 * 1024  # a buffer of so many bytes or more is given back when it is freed
# Collections of young objects before one of all objects: requests that have ended stay in memory until then.
COLLECTIONS_BEFORE_ALL = 3


def leave_out_unused_modules() -> None:
    """Let imports of UNUSED_MODULES fail from now on, which their importers allow for."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)


def give_back_freed_memory() -> None:
    """Let the allocator give large buffers back to the system when they are freed.

    Otherwise glibc raises the size from which it does so with each buffer that is freed, and the heap keeps what a
    crowd of clients has taken once.  Other C libraries have no such options and are left alone.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    set_option(TRIM_THRESHOLD_OPTION, TRIM_THRESHOLD_BYTES)
    set_option(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)


def keep_from_collector() -> None:
    """Leave what the process has imported out of garbage collections from now on.

    A collection of all objects waits for a quarter as many new ones as there are old ones, which are hundreds of
    thousands after the imports.
    """
    gc.collect()
    gc.freeze()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, COLLECTIONS_BEFORE_ALL)
