"""The callers' HTTP API and the forwarding of requests to agents."""
