"""Checks of what a relay is given: the operator's document, and the platform's settings."""
