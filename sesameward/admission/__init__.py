"""Decide which requests run, wait or are refused where capacity is short.

The modules of this package do no I/O.
"""
