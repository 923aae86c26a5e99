"""Keep requests that crash targets from reaching more of them.

Read in this order: quarantine, the decisions of both request paths; trials,
which carries them between the entries of the earlier interface.
"""
