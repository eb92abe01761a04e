"""Keeps callers that send or read without regard from ending the process."""
