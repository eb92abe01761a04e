"""Decides who is served next where work waits, and when a refused requester retries."""
