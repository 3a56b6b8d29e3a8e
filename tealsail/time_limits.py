"""The unit in which times are counted, and how long the process may be held up."""

SECOND = 10_000  # tenths of a millisecond
TENTHS_PER_SECOND = SECOND  # the same as a factor
MAX_HOLD_UP = 1_500  # tenths of a ms for which the process may be held up between reading its clock and a write
