"""What teams and calls are promised: rates, deadlines, idempotency."""
