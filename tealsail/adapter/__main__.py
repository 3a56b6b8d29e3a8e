"""`python -m tealsail.adapter`: the simulator's protocol on standard input and output."""

import sys

from .protocol import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
