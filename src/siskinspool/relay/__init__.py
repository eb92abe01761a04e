"""Calls to servers through another instance, while there is no direct path."""
