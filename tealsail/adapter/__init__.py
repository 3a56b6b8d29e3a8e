"""The bench's wire put before the decision module: frames, words and units."""
