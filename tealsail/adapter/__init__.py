"""Runs the decision module on the simulator's line protocol: parsing, dispatch, and translation of names and units."""
