"""Track which nodes are members and spread rumors (small facts) to them.

Protocol logic, without I/O: events, roster, suspicion, probing, rumors,
datagrams, piggyback, outbox, swim, antientropy. Network I/O and message
authentication: gossip, peers, seals.
"""
