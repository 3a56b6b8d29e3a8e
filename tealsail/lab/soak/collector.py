"""Keeps the garbage collector from holding up the stand-ins of a run, whose pauses would be taken for the relay's."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def earlier_objects_left_out() -> Iterator[None]:
    """Leave what exists already out of garbage collections.

    A collection of the hundred thousand objects of a large test run takes over 0.1 s.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
