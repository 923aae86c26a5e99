"""Choose replicas, hedge and retry, and limit concurrent work.

For each query, latency, estimates, replicas, snapshots, merging, hedging,
budget and fanout decide which targets get sub-requests. The load on entries,
connections and nodes is limited or divided by concurrency, admission, shares,
homes and entry_weight. None of these modules does network I/O.
"""
