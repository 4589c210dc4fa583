"""Stand-ins of the review's scripts: deployment, endpoints and callers."""
