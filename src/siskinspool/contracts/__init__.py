"""Contracts with teams and callers: rate limits, deadlines and idempotency."""
