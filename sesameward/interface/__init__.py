"""Serve the HTTP interfaces of entries and agents, and explain requests.

handlers.py serves the callers of an entry, admin.py the operators of an
agent. request_log.py explains a request from the logs of several nodes.
"""
