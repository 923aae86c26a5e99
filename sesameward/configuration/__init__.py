"""Distribute declared objects to all nodes and keep them up to date.

Suggested reading order: declared, objects, spread, leases, feed; then
platform_client and config_peers, which do the network I/O, and operations,
which implements the operators' commands.
"""
