"""Availability zones: their state and the order in which they are preferred."""
