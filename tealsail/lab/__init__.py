"""Recorded traffic, model runs, loopback trials, and what they say of two options.  Needs requirements-lab.txt."""
