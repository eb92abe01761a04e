"""Availability zones: their state and the distance between them."""
