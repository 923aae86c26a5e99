"""Let a booking take effect once.

Read in this order: bookings, then claim_gate and tickets, which play its
schedules.
"""
