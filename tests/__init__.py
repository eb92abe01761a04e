"""Tests of siskinspool."""
