"""Instances, backend servers, models and their replicas."""
