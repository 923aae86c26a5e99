"""Inject each fault at each step of a request and check the promises.

Reading order: faults, steps, matrix, __main__.
"""
