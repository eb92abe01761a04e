"""Connections to callers, peers and servers, and their encoding."""
