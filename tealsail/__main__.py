"""python -m tealsail: the relay on sockets."""
import sys

from .command.main import main

sys.exit(main())
