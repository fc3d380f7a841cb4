"""A router of the fleet: its settings, its application and its state."""
