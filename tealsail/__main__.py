"""`python -m tealsail`: the command line."""

import sys

from .command import process_start  # noqa: F401 - first of all, since it takes the time
from .command.process_memory import give_back_freed_memory, leave_out_unused_modules
from .command.signals import SIGNALS

if sys.argv[1:2] == ["serve"]:
    SIGNALS.hold_early()  # before the slow imports: a signal that comes while they run must not end the relay
    leave_out_unused_modules()
    give_back_freed_memory()

from .command.main import main  # noqa: E402

sys.exit(main())
