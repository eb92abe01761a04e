"""The operators' manifest: its classes, checks, differences and revisions."""
