"""Measures how messages, time and memory grow with the sizes of a site."""
