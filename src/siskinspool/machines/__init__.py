"""Machines of the world: instances, servers, models and their replicas."""
