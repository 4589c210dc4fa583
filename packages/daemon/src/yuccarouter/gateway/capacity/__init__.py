"""Current capacity of endpoints, and the expected times of requests."""
