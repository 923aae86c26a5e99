"""Decide which requests run, wait or are refused where capacity is short.

control decides, with the waiting requests in order and the adaptive limits of
the node and of services in limits. The modules of this package do no I/O.
"""
