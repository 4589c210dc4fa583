"""Test tool that runs a small fleet on one machine."""
