"""A seeded soak: real gateways under overlapping faults, checked by their callers."""
