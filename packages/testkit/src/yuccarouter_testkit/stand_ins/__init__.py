"""Test doubles of the platform, the engines and the plain services."""
