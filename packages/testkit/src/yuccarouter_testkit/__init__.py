"""Stand-ins of outside systems, load tool, demo and benchmarks."""
