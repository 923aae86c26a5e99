"""Keep requests that crash targets from reaching further targets.

quarantine decides how a request may be sent, for both request paths. trials
carries these decisions over gRPC between entries, which only the earlier
interface uses.
"""
