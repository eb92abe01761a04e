"""Connections to callers, peers and servers, and message encoding."""
