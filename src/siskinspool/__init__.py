"""siskinspool: a serving system for rarely used models.

Identical entry instances stand between callers and backend servers. The packages
follow the objects that the system deals with: ``machines`` (instances, servers,
replicas), ``zones``, ``links`` (connections and their encoding) and ``contracts`` (the
limits and guarantees of teams and calls). ``core`` holds the types that all of them
use.
"""

__version__ = "0.1.0"
