"""Keep declared objects current on all nodes.

Read in this order: declared, objects, spread, leases, feed; then the edges
platform_client, config_peers and, for operators, operations.
"""
