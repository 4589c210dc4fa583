"""Usage of attempts and the writing of bill rows to the log."""
