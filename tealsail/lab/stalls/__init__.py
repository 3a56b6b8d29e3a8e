"""Soaks in which units and relays stand still: real relay processes are stopped, stand-ins of units stop reading."""
