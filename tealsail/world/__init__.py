"""Simulated environment of the relays (units, their list, the platform, clients, the network, faults) and the checkers.

Each part is a state machine without I/O: it is given the time and its input, and keeps its output and the time at which
it has to be woken.  Two drivers run these machines: an event queue in virtual time (tealsail/lab/virtual.py), and
sockets on loopback.
"""
