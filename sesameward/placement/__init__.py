"""Decide where sub-requests go: relays and replicas, without I/O.

relays assigns the nodes that send to a target, load_view holds the figures of
targets' loads, and even_choice compares replicas by them.
"""
