"""Simulate the platform and targets for tests, benchmarks and demos.

No module outside this package may import it, except tests and benchmarks.
"""
