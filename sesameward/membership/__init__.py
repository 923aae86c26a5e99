"""Track which nodes are members and spread rumors (small facts) to them.

Modules of the protocol logic, without I/O: events, roster, suspicion, probing,
rumors, datagrams, piggyback, outbox, swim, antientropy.
Modules of network I/O and message authentication: gossip, peers, message_auth.
"""
