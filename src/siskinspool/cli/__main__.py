"""Runs the client as ``python -m siskinspool.cli``."""

from .main import main

main(prog_name="siskinspool")
