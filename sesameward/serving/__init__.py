"""Route callers' requests to one target, or to all shards of an index.

The modules, grouped by purpose, in an order that suits a first reading:

Decisions that need no network: settings, routes, targets, topk,
budget_window, choice, gather, relay, delegation, takeover, directory.
Connections: target_connection, pools, http_server, http_caller.
Handling of one request: front, run, gather_run, relay_run, exchange,
delegate_client and delegate_server.
State that a node keeps of the configuration, targets and other nodes:
mirror, beliefs, peers, silences, departures, crashes.
The process: endpoints, node_status, lines, node.
"""
