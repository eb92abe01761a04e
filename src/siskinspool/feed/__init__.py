"""The change feed: a few instances read the key-value service and inform the others."""
