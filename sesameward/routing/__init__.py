"""Decide who is asked, when again, and how much may run at once.

Read in this order: latency, estimates, replicas, snapshots, merging, hedging,
budget, fanout; then concurrency, admission, shares, homes, entry_weight.
Nothing here uses a network.
"""
