"""Adapt sesameward to one platform: its files, objects, API and headers.

boot reads the settings file of the process, objects decodes the objects of
the platform's store, store calls the store's HTTP API, and wire translates
HTTP headers and paths. sesameward/serving does the routing and the retries.
"""
