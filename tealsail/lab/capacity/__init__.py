"""What one process costs as the fleet grows: slopes measured on the real code, and the roles of a fleet sized by them."""
