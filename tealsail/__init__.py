"""tealsail: a front tier that watches over software updates."""

__version__ = "0.2.0"
