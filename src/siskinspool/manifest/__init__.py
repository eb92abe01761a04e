"""The operators' manifest: classes, checks, differences, revisions."""
