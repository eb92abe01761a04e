"""Serving on a platform that brings its own operator, servers and metadata store."""
