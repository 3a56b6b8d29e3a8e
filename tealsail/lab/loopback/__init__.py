"""The world on loopback addresses: the same machines as in virtual time, behind sockets, in real time."""
