"""Real relay processes at the least limits, among usual and hostile clients, killed and restarted; rules are checked.

The stand-ins and clients share no code with the relay: what they write and expect is built here from the protocol.
"""
