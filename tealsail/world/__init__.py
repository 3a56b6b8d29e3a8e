"""The stand-ins: units, their list, the platform, clients, the network, faults; and the checker of the rules.

Each is a machine without I/O: it is handed the time and what came in, and keeps what goes out and when it wants to be
woken.  Two drivers run them: a heap of events in virtual time (tealsail/lab/virtual.py), and sockets on loopback.
"""
