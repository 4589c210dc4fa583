"""Follows the configuration stream and exchanges its records with peers."""
