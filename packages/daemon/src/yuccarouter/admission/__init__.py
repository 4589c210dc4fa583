"""Admission of work to one endpoint."""
