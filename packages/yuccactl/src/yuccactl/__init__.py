"""The command-line program of the operators."""
