"""Fair shares of organisations and their keys across all daemons."""
