"""Route callers' requests to one target, or to all shards of an index.

The main modules by purpose; node creates and connects their objects:

Decisions about one request, without I/O: routes, targets, replica_choice (of a
replica), budget_window (limit on repeats), target_limits with named_limits,
permit_ledger and coordinator_choice (request rates that targets name), relay
(one target), gather (all shards), topk (merging of replies), target_links
(whether this node has lost its connections to all targets), delegation (choice
of helper nodes that send sub-requests to targets for this node), evacuations
(of zones) and cold_targets. Related decisions are in the packages
organisations (identity and limits of callers), placement (relays and choice by
load) and admission (order and room).
HTTP connections: http_server for callers, pools and target_connection for
targets; link_watch checks those to targets. Memory: byte_limits for messages,
caller_memory for what callers and other nodes hold, peer_connections for the
connections between nodes, result_outbox for results to other nodes,
process_memory for the allocator.
One request from arrival to answer: front, then admission_gate, then run and
delegating_run with relay_run or gather_run, which takes the time to deliver
from round_trip; exchange sends a sub-request to a target, and
delegate_client and delegate_server send sub-requests through helper nodes.
Copies of store objects: takeover decides which node reads the store, mirror
reads it, store_log logs losses and restores, store_copy holds the objects in
the order of epochs, delivery passes on what changed, routing_state applies it
to routes and targets; kept_routes and restored_targets decide what a restored
store does not change, kept_rests holds the pauses of targets that are gone.
registration finds the other nodes.
Rumors between nodes: peers runs the gossip; silent_targets, leaving_targets
and crashes publish which targets are silent or leaving and which requests
crash targets. limit_exchange calls the coordinators of the limits of targets
and of organisations.
Operation: lifecycle (start and stop of the parts), entry_offer (announcement
to callers), endpoints, directory, node_status, lines (log output).
"""
