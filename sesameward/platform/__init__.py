"""Adapt sesameward to one platform: names, formats and calls only.

boot reads the process's settings, objects decodes what the store holds,
store calls it, wire translates HTTP messages. Nothing in here decides.
"""
