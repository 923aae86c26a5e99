"""Call targets and agents over HTTP.

The transfers module runs HTTP transfers with libcurl. The target_client
module sends sub-requests and bookings to targets. The fleet module asks
agents for their state on behalf of operators.
"""
