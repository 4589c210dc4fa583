"""Runs the operators' program as ``python -m yuccactl``."""

from yuccactl import main

main.run()
