"""Keep requests that crash targets from reaching further targets.

The module quarantine decides how a request may be sent; the processes of
sesameward/entry.py and of sesameward/serving both use it. The module trials
carries such decisions over gRPC from the process that makes them to others;
only sesameward/entry.py uses it.
"""
