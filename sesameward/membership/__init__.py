"""Know which nodes there are, and tell all of them small facts.

Decisions, without a network, in this order: events, roster, suspicion,
probing, rumors, datagrams, piggyback, outbox, swim, antientropy. Edges: seals,
gossip, peers.
"""
