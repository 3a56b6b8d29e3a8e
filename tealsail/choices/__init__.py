"""Decisions outside the decision module (tealsail/policy.py).  No I/O; time is passed in, and draws are seeded."""
