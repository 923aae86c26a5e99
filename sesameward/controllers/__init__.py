"""Provide the controllers; each tracks one kind of entry or agent state."""
