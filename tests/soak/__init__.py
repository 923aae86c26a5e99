"""Randomized fault tests against node processes; __main__ runs them."""
