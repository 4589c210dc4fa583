"""Launcher of a small fleet on one machine, a test tool."""
