"""Organisations: the customers that callers belong to, and their limits.

A caller identifies its organisation by a key (identity). Nodes keep to the
request rate of each organisation together: quotas takes the permits, and
quota_ledger grants them.
"""
