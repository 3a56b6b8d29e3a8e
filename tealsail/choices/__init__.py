"""Every choice outside the release.  No I/O, no clock but the one handed in, no chance but the seeded."""
