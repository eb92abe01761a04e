"""Configuration of tests with real processes."""

from __future__ import annotations
