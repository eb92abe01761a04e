"""Duties: what one gateway, the holder, does for the whole deployment."""
