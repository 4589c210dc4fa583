"""Versions of the sessions in progress while a roll-out is in its canary."""
