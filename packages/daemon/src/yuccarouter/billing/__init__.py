"""Usage records, bill rows and their confirmation."""
