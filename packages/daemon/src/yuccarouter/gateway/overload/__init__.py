"""Admission, waiting and refusals under overload, and starts in an outage."""
