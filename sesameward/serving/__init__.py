"""Serve callers by routes: one target, or all shards of an index.

Read in this order: settings, routes, targets, topk, budget_window, choice,
gather, relay (decisions, without a network); target_connection, pools,
http_server (connections); front (one request's path), directory; mirror,
peers (what this node believes); node (the process).
"""
