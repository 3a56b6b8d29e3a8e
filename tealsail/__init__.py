"""tealsail: a front tier of relays that routes requests to units and decides by vote on new builds."""

__version__ = "0.2.0"
