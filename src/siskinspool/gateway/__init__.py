"""Serving on a platform that provides its own operator, servers and metadata store."""
