"""The scale run: real relays beside hollow ones, which have a relay's control code and no connections."""
