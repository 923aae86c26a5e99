"""Hold the controllers, each of which keeps one kind of state."""
