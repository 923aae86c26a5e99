"""Choose replicas, hedge and retry, and limit concurrent work.

fanout decides which sub-requests of a query are sent; the modules that it
uses choose the snapshot and the replicas, and limit hedges and retries.
The module admission limits the requests that run at the same time, the module
shares limits connections to targets, and homes assigns each target to the
nodes that probe it. None of the modules does network I/O.
"""
