"""Clients of the platform: log, VM list, ratings and weight store."""
