"""Stand in for the platform and for targets; never imported elsewhere."""
