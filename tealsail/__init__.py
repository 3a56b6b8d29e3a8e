"""tealsail: a front tier that watches over software updates."""
