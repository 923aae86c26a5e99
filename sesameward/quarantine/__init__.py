"""Keep requests that crash targets from reaching further targets.

quarantine decides how a request may be sent. Entries (sesameward/entry.py)
and nodes (sesameward/serving) use it. trials lets an entry ask another entry
for such a decision over gRPC; nodes don't use trials.
"""
