"""A relay on sockets: one module for each kind of connection.  It decides nothing itself: see tealsail/facade.py."""
