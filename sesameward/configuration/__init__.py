"""Distribute the objects that operators declare to all nodes.

Suggested reading order: declared, objects, spread, leases, feed; then
platform_client and config_peers, which do the network I/O, and operations,
which implements the operators' commands.
"""
