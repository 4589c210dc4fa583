"""Benchmarks; each compares with a naive version in the same run."""
