"""Check the promises to callers and operators on recorded histories.

Reading order: records, checks, shrink.
"""
