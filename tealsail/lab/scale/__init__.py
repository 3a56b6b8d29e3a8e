"""Scale runs: fleets of thousands of relays on one machine, a few of them real and the others hollow.

A hollow relay runs the control code of a real one (tealsail.net.relay) without connections to clients and backends;
hundreds of them share a process.  `runs.play` starts a run, and the director (director.py) plays it.
"""
