"""Adapt sesameward to one platform: its names, formats and API calls.

boot reads the process's settings, objects decodes the objects of the
platform's store, store calls the store's HTTP API, and wire translates HTTP
headers and paths. Routing and retry decisions are made in other packages.
"""
