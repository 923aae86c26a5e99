"""Make a booking take effect at most once.

The bookings module decides each step of a booking whose claim is kept in the
store. The claim_gate module limits the claims in flight at the store. The
tickets module is an alternative that works without the store.
"""
