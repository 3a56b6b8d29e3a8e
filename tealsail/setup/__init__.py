"""The operator's document: what an installation adds to what the platform tells."""
