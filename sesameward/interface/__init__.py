"""Answer callers and operators of entries and agents.

Read handlers for callers, admin for operators of one agent, and story, which
finds one request in the logs of several nodes.
"""
