"""python -m tealsail: the relay on sockets."""

import sys

from .command.signals import SIGNALS

if sys.argv[1:2] == ["serve"]:
    SIGNALS.keep()  # before anything that takes time

from .command.main import main  # noqa: E402

sys.exit(main())
