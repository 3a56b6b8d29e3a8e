"""python -m tealsail: the relay on sockets."""
import sys

from .net.command import main

sys.exit(main())
