"""Logs, metrics and histograms."""
