"""What one process costs as the fleet grows: measured slopes, and the roles of a fleet sized by them."""
