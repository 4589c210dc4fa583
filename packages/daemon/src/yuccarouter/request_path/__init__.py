"""Caller-facing HTTP and the forwarding of requests to agents."""
