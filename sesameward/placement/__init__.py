"""Decide where sub-requests go; decisions only, without I/O."""
