"""Signals by which servers ask for no requests: leaving, and pauses."""
