"""Randomized faults against real nodes; see __main__ for how to run it."""
