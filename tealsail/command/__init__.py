"""The command line: its sub-commands, and the tables that they print."""
