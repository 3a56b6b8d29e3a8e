"""The relay on sockets, one job a file.  Nothing is decided here: see tealsail/facade.py."""
