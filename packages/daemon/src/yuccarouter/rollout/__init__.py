"""Leases, the roll-out controller and its sequential tests."""
