"""Measures what one process costs as the fleet grows, and sizes the roles of a fleet by the measured slopes."""
