"""Benchmarks; each compares with a naive version in one run."""
