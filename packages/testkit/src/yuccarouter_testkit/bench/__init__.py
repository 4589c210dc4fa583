"""Benchmarks; each module has ``run(seed) -> dict``."""
