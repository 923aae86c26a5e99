"""Small stand-ins for the review's scripts, from the standard library only."""
