"""siskinspool: a serving system for rarely used models.

Identical entry instances stand between callers and backend servers. The packages
mirror the world that the system acts in: ``machines`` (instances, servers, replicas),
``zones``, ``links`` (connections and their encoding) and ``contracts`` (what teams
and calls are promised). ``core`` holds what all of them build on.
"""

__version__ = "0.1.0"
