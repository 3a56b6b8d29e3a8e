"""The command line: what is chosen, and what is printed."""
